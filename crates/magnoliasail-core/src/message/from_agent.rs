//! Messages from an agent to an entry.

use {
    super::shared::{Adapter, SuspectNotice, TablePages, TableQuery},
    prost::{Message, Oneof, bytes::Bytes},
};

/// A message from an agent to an entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgentMessage {
    /// The message itself; absent in a heartbeat, and when the sender is newer than the receiver.
    #[prost(
        oneof = "agent_message::Kind",
        tags = "1, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub kind: Option<agent_message::Kind>,
}

/// The kinds of [`AgentMessage`].
pub mod agent_message {
    use super::*;

    /// A kind of [`AgentMessage`].
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Kind {
        /// Opens a link.
        #[prost(message, tag = "1")]
        Hello(AgentHello),
        /// Accepts an attempt.
        #[prost(message, tag = "3")]
        Accepted(Accepted),
        /// Starts the answer.
        #[prost(message, tag = "4")]
        Head(Head),
        /// Carries a part of the answer.
        #[prost(message, tag = "5")]
        Chunk(Chunk),
        /// Ends the answer.
        #[prost(message, tag = "6")]
        End(End),
        /// Refuses an attempt, which has not run and will not.
        #[prost(message, tag = "7")]
        Refused(Refused),
        /// Gives up an attempt that may have run.
        #[prost(message, tag = "8")]
        Failed(Failed),
        /// Reports load.
        #[prost(message, tag = "9")]
        Load(LoadReport),
        /// Announces that the server is leaving.
        #[prost(message, tag = "10")]
        Drain(DrainNotice),
        /// Passes on the table.
        #[prost(message, tag = "11")]
        Table(TablePages),
        /// Asks for the table.
        #[prost(message, tag = "12")]
        TableQuery(TableQuery),
        /// Passes on a verdict.
        #[prost(message, tag = "13")]
        Suspect(SuspectNotice),
    }
}

macro_rules! agent_message_from {
    ($($kind:ident($message:ty)),* $(,)?) => {
        $(impl From<$message> for AgentMessage {
            fn from(message: $message) -> Self {
                Self { kind: Some(agent_message::Kind::$kind(message)) }
            }
        })*
    };
}

agent_message_from!(
    Hello(AgentHello),
    Accepted(Accepted),
    Head(Head),
    Chunk(Chunk),
    End(End),
    Refused(Refused),
    Failed(Failed),
    Load(LoadReport),
    Drain(DrainNotice),
    Table(TablePages),
    TableQuery(TableQuery),
    Suspect(SuspectNotice),
);

/// Opens a link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgentHello {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the agent; grows across restarts.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the table in force at the agent, zero for none.
    #[prost(uint64, tag = "3")]
    pub table_version: u64,
    /// Whether the agent is draining.
    #[prost(bool, tag = "4")]
    pub draining: bool,
}

/// Accepts an attempt: its adapter is pinned and it waits or runs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Starts the answer of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// HTTP status of the server.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Media type of the answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Model that the engine said it ran, empty for plain services.
    #[prost(string, tag = "4")]
    pub model: String,
}

/// Carries a part of an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Chunk {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Position of the chunk in the answer, from zero.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The data.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
}

/// Ends an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct End {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Number of chunks in the whole answer.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
}

/// Refuses an attempt: a proof that it has not run and will not.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Refused {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Code of the [`RefusalReason`](crate::RefusalReason).
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// When to come back, in milliseconds; zero for unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Whether the refusal also proves that no earlier attempt of the job's key ran.
    #[prost(bool, tag = "4")]
    pub covers_key: bool,
    /// Epoch of the job's key after the refusal.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// The server's load at the time of the refusal.
    #[prost(message, optional, tag = "6")]
    pub load: Option<LoadReport>,
}

/// Gives up an attempt that may have run.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Failed {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Code of the [`RefusalReason`](crate::RefusalReason).
    #[prost(uint32, tag = "2")]
    pub reason: u32,
}

/// Reports the load of a server and what has changed in its slots.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadReport {
    /// Requests that the engine runs.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait in the agent.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Requests that the engine may run at once.
    #[prost(uint32, tag = "3")]
    pub capacity: u32,
    /// Adapter slots of the engine.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Slots that hold a pinned adapter.
    #[prost(uint32, tag = "5")]
    pub pinned: u32,
    /// Adapters that are being loaded.
    #[prost(uint32, tag = "6")]
    pub loading: u32,
    /// Whether `resident` replaces what the receiver knew.
    #[prost(bool, tag = "7")]
    pub full: bool,
    /// Adapters that have become resident or are being loaded.
    #[prost(message, repeated, tag = "8")]
    pub resident: Vec<Adapter>,
    /// Adapters that have been evicted.
    #[prost(message, repeated, tag = "9")]
    pub evicted: Vec<Adapter>,
    /// Loads that the weight store refused since the last report.
    #[prost(uint32, tag = "10")]
    pub store_refusals: u32,
    /// Loads that completed since the last report.
    #[prost(uint32, tag = "11")]
    pub loads: u32,
    /// Time that requests have waited for loads since the last report, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub stalled_ms: u64,
    /// Recent uses of the adapter that the next load would evict, in thousandths.
    #[prost(uint32, tag = "14")]
    pub victim_milli_uses: u32,
    /// Whether the engine has restarted since the last report and is cold.
    #[prost(bool, tag = "13")]
    pub cold: bool,
}

/// Announces that the server takes no new work.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DrainNotice {}
