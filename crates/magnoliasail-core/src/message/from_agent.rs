//! Messages from an agent to an entry.

use {
    super::shared::{Adapter, SuspectNotice, TablePages, TableQuery},
    prost::{Message, Oneof, bytes::Bytes},
};

/// A message from an agent to an entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgentMessage {
    /// Payload; absent in a heartbeat, and if a newer sender uses a kind unknown to the receiver.
    #[prost(
        oneof = "agent_message::Kind",
        tags = "1, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub kind: Option<agent_message::Kind>,
}

/// Payload types of [`AgentMessage`].
pub mod agent_message {
    use super::*;

    /// Payload of an [`AgentMessage`].
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Kind {
        /// Opens a link, as the first message on it.
        #[prost(message, tag = "1")]
        Hello(AgentHello),
        /// Accepts an attempt.
        #[prost(message, tag = "3")]
        Accepted(Accepted),
        /// Starts the response.
        #[prost(message, tag = "4")]
        Head(Head),
        /// Carries a chunk of the response's body.
        #[prost(message, tag = "5")]
        Chunk(Chunk),
        /// Ends the response.
        #[prost(message, tag = "6")]
        End(End),
        /// Refuses an attempt, which has not run and will not.
        #[prost(message, tag = "7")]
        Refused(Refused),
        /// Reports the failure of an attempt that may have run.
        #[prost(message, tag = "8")]
        Failed(Failed),
        /// Reports the load of the server.
        #[prost(message, tag = "9")]
        Load(LoadReport),
        /// Announces that the server takes no new work.
        #[prost(message, tag = "10")]
        Drain(DrainNotice),
        /// Sends the table.
        #[prost(message, tag = "11")]
        Table(TablePages),
        /// Requests the table.
        #[prost(message, tag = "12")]
        TableQuery(TableQuery),
        /// Reports the status of a request's fingerprint.
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

/// Opens a link and identifies the agent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgentHello {
    /// Name of the agent's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the agent's process; increases with every restart.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the agent's active table; zero for none.
    #[prost(uint64, tag = "3")]
    pub table_version: u64,
    /// Whether the agent is draining.
    #[prost(bool, tag = "4")]
    pub draining: bool,
}

/// Accepts an attempt, which is queued or running; the adapter of a model request is pinned.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Starts the response of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// HTTP status of the server's response.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Media type of the response.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Exact model that the engine reports to have run; empty for a service call.
    #[prost(string, tag = "4")]
    pub model: String,
}

/// Carries a chunk of a response's body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Chunk {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Sequence number of the chunk in the response, starting from zero.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Data of the chunk.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
}

/// Ends a response that was sent completely.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct End {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Number of chunks in the complete response.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
}

/// Refuses an attempt, which proves that it has not run and will not run.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Refused {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Code of the [`RefusalReason`](crate::RefusalReason).
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// Delay after which the caller may retry, in milliseconds; zero for unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Whether the refusal also proves that no earlier attempt with the job's key has run.
    #[prost(bool, tag = "4")]
    pub covers_key: bool,
    /// Epoch of the job's key after the refusal; zero if the refusal reports none.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// The server's load at the time of the refusal.
    #[prost(message, optional, tag = "6")]
    pub load: Option<LoadReport>,
}

/// Reports the failure of an attempt that may have run.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Failed {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Code of the [`RefusalReason`](crate::RefusalReason).
    #[prost(uint32, tag = "2")]
    pub reason: u32,
}

/// Reports the load of a server and the changes of its adapter slots.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadReport {
    /// Requests that the server is running.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that are queued in the agent.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Maximum number of requests that the server runs at once.
    #[prost(uint32, tag = "3")]
    pub capacity: u32,
    /// Number of adapter slots of the engine.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Number of slots that hold a pinned adapter.
    #[prost(uint32, tag = "5")]
    pub pinned: u32,
    /// Number of adapters that are being loaded.
    #[prost(uint32, tag = "6")]
    pub loading: u32,
    /// Whether `resident` lists all adapters and replaces what the receiver has recorded.
    #[prost(bool, tag = "7")]
    pub full: bool,
    /// Adapters that have become resident or started loading; all of them if `full` is set.
    #[prost(message, repeated, tag = "8")]
    pub resident: Vec<Adapter>,
    /// Adapters that were evicted since the last report.
    #[prost(message, repeated, tag = "9")]
    pub evicted: Vec<Adapter>,
    /// Number of loads that the weight store refused since the last report.
    #[prost(uint32, tag = "10")]
    pub store_refusals: u32,
    /// Number of loads that completed since the last report.
    #[prost(uint32, tag = "11")]
    pub loads: u32,
    /// Total time for which requests waited for loads since the last report, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub stalled_ms: u64,
    /// Recent uses of the adapter that the next load would evict, in thousandths.
    #[prost(uint32, tag = "14")]
    pub victim_milli_uses: u32,
    /// Whether the engine has restarted with empty slots since the last report.
    #[prost(bool, tag = "13")]
    pub cold: bool,
}

/// Announces that the server takes no new work.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DrainNotice {}
