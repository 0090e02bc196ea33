//! What the scheduler of an engine wants done.

use super::{EngineRefusal, Order};

/// What the scheduler of an engine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Send a request to the engine.
    Start {
        /// The request.
        key: u64,
    },
    /// Refuse a request, which has not run and will not.
    Refuse {
        /// The request.
        key: u64,
        /// The reason.
        reason: EngineRefusal,
        /// When a place is expected, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Give an order to the engine and report what became of it.
    Order(Order),
}
