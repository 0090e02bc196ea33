//! Orders to a model engine, and their outcomes.

use std::sync::Arc;

/// An order to load or unload a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// The name of the base model.
    pub model: Arc<str>,
    /// The name of the adapter, without its base model; absent for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The adapter version to load; absent for the newest.
    pub version: Option<u64>,
    /// The number of orders that the engine must have accepted before this one.
    pub expected_sequence: u64,
    /// The fencing token of the agent that issues the order.
    pub fencing_token: u64,
}

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads the weights of a base model or an adapter.
    Load,
    /// Unloads the weights of a base model or an adapter.
    Unload,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has accepted the order and is carrying it out.
    Accepted,
    /// The engine completed the order at once, or there was nothing to do.
    Done,
    /// The engine is busy, or its order count differs from the expected one.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine does not support the order.
    Rejected,
    /// There was no answer: the order may have been accepted.
    Unknown,
}
