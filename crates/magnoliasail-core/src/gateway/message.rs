//! The messages on a link between an entry and the agent beside a model engine.

use prost::{Message, Oneof, bytes::Bytes};

/// A message from an entry.
#[derive(Clone, PartialEq, Message)]
pub struct ToAgent {
    /// The message itself.
    #[prost(oneof = "ToAgentKind", tags = "1, 2")]
    pub kind: Option<ToAgentKind>,
}

/// The kinds of [`ToAgent`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ToAgentKind {
    /// Asks for a request to be run.
    #[prost(message, tag = "1")]
    Submit(Submit),
    /// Withdraws a request.
    #[prost(uint64, tag = "2")]
    Cancel(u64),
}

/// A request for the engine beside an agent.
#[derive(Clone, PartialEq, Message)]
pub struct Submit {
    /// Names the attempt on its link.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The id of the one server that may run it.
    #[prost(string, tag = "2")]
    pub server_id: String,
    /// Time until the first event has lost its full worth, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub objective_ms: u64,
    /// Time that is left, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub deadline_ms: u64,
    /// The rank, 0 first.
    #[prost(uint32, tag = "5")]
    pub rank: u32,
    /// The last event that the caller has, if the stream is resumed here.
    #[prost(uint64, optional, tag = "6")]
    pub resume_after: Option<u64>,
    /// The method.
    #[prost(string, tag = "7")]
    pub method: String,
    /// The path and query.
    #[prost(string, tag = "8")]
    pub target: String,
    /// The headers that go on to the engine.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// The body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Whether the stream may go on at another engine, so that one that stalls is given up.
    #[prost(bool, tag = "11")]
    pub is_resumable: bool,
}

/// A header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A message from an agent.
#[derive(Clone, PartialEq, Message)]
pub struct ToEntry {
    /// The message itself.
    #[prost(oneof = "ToEntryKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<ToEntryKind>,
}

/// The kinds of [`ToEntry`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ToEntryKind {
    /// Refuses an attempt, which has not run and will not.
    #[prost(message, tag = "1")]
    Refused(Refused),
    /// Starts an answer.
    #[prost(message, tag = "2")]
    Head(Head),
    /// Carries a part of an answer.
    #[prost(message, tag = "3")]
    Part(Part),
    /// Ends an answer that is whole.
    #[prost(uint64, tag = "4")]
    End(u64),
    /// Gives up an attempt that may have run.
    #[prost(uint64, tag = "5")]
    Broken(u64),
    /// Reports the engine's state.
    #[prost(message, tag = "6")]
    State(EngineState),
    /// Tells what the engine holds.
    #[prost(message, tag = "7")]
    Holdings(HoldingsUpdate),
}

/// Refuses an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The reason, as the code of an `EngineRefusal`.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// When a place is expected, in milliseconds from now.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// Starts an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The headers that go on to the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
}

/// A part of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Part {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// The state of the engine beside an agent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EngineState {
    /// Requests that run or wait at the agent.
    #[prost(uint32, tag = "1")]
    pub load: u32,
    /// Whether new requests are taken.
    #[prost(bool, tag = "2")]
    pub is_serving: bool,
    /// The number of entries that are linked to the agent.
    #[prost(uint32, tag = "3")]
    pub entries: u32,
    /// Requests that the engine runs at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// When an engine that does not take requests is expected to, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "5")]
    pub ready_in_ms: u64,
    /// Adapters that wait for a slot.
    #[prost(uint32, tag = "6")]
    pub adapters_waiting: u32,
    /// Slots that are free, or whose adapter no request uses.
    #[prost(uint32, tag = "7")]
    pub slots_available: u32,
}

/// What an engine holds, or what has changed of it; adapters are named by the hash of their names.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HoldingsUpdate {
    /// Whether this is everything, and what was told before is void.
    #[prost(bool, tag = "1")]
    pub is_whole: bool,
    /// Adapters in slots or on their way.
    #[prost(fixed64, repeated, tag = "2")]
    pub resident: Vec<u64>,
    /// Adapters of which the host has a copy.
    #[prost(fixed64, repeated, tag = "3")]
    pub copied: Vec<u64>,
    /// Adapters that are held no more.
    #[prost(fixed64, repeated, tag = "4")]
    pub absent: Vec<u64>,
}
