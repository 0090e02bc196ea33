//! Orders to a model engine.

use std::sync::Arc;

/// An order to load or unload a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter; absent for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The version to load; absent for the newest.
    pub version: Option<u64>,
    /// The number of orders that the engine must have accepted before.
    pub expected_sequence: u64,
    /// The fencing token of the agent that gives the order.
    pub fencing_token: u64,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads weights.
    Load,
    /// Drops weights.
    Unload,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Accepted,
    /// It was done at once, or held already.
    Done,
    /// The engine is busy or has accepted other orders meanwhile.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine does not know such an order.
    Rejected,
    /// No answer: the order may have been accepted.
    Unknown,
}
