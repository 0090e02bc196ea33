//! Actions that the agent carries out for the scheduler of its engine.

use super::{EngineRefusal, Order};

/// An action that the agent carries out for the scheduler of its engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Sends a request to the engine.
    Start {
        /// The key of the request.
        key: u64,
    },
    /// Refuses a request, which has not run and will not run.
    Refuse {
        /// The key of the request.
        key: u64,
        /// The reason for the refusal.
        reason: EngineRefusal,
        /// The expected time until the engine has room, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
    /// Sends an order to the engine; the agent reports its outcome with
    /// [`EngineScheduler::record_order_outcome`](super::EngineScheduler::record_order_outcome).
    Order(Order),
}
