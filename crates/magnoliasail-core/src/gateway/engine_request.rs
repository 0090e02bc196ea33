//! A request in the queue of a model engine.

use {
    crate::TimeMs,
    std::sync::Arc,
    strum::{Display, EnumIter, FromRepr, IntoStaticStr},
};

/// A request in the queue of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Names the request among those of its agent.
    pub key: u64,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter's full name, with its base model; absent for the base model itself.
    pub adapter: Option<Arc<str>>,
    /// The rank, 0 first.
    pub rank: u32,
    /// Memory that the request may take, in tokens.
    pub kv_tokens: u64,
    /// When it arrived.
    pub arrived_ms: TimeMs,
    /// Until when its first event has its full worth.
    pub objective_ms: TimeMs,
    /// When its caller gives up.
    pub deadline_ms: TimeMs,
}

/// Why an agent refuses a request, which has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, Display, IntoStaticStr, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum EngineRefusal {
    /// The queue is too long for the request to finish in time.
    Overloaded = 1,
    /// The request's time ran out in the queue.
    Expired = 2,
    /// The engine does not hold the base model.
    ModelAbsent = 3,
    /// The engine is leaving, or its agent is.
    Draining = 4,
    /// The engine cannot be reached.
    EngineDown = 5,
    /// The engine itself refused the request.
    EngineRefused = 6,
    /// The engine beside the agent is not the one that was asked for.
    WrongServer = 7,
    /// No slot became free for the request's adapter.
    NoSlot = 8,
}
