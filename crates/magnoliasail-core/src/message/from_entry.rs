//! Messages from an entry to an agent.

use {
    super::shared::{Adapter, SuspectNotice, TablePages, TableQuery},
    prost::{Message, Oneof, bytes::Bytes},
};

/// A message from an entry to an agent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryMessage {
    /// Payload; absent in a heartbeat, and if a newer sender uses a kind unknown to the receiver.
    #[prost(oneof = "entry_message::Kind", tags = "1, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<entry_message::Kind>,
}

/// Payload types of [`EntryMessage`].
pub mod entry_message {
    use super::*;

    /// Payload of an [`EntryMessage`].
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Kind {
        /// Opens a link, as the first message on it.
        #[prost(message, tag = "1")]
        Hello(EntryHello),
        /// Submits one attempt.
        #[prost(message, tag = "3")]
        Submit(Submit),
        /// Cancels an attempt.
        #[prost(message, tag = "4")]
        Cancel(Cancel),
        /// Resumes an attempt on a new link.
        #[prost(message, tag = "5")]
        Resume(Resume),
        /// Confirms that the end of an attempt was received.
        #[prost(message, tag = "6")]
        Acknowledge(Acknowledge),
        /// Reports who holds the agent's service slot.
        #[prost(message, tag = "7")]
        Holder(HolderNotice),
        /// Sends the table, or confirms its version.
        #[prost(message, tag = "8")]
        Table(TablePages),
        /// Requests the table.
        #[prost(message, tag = "9")]
        TableQuery(TableQuery),
        /// Reports the status of a request's fingerprint.
        #[prost(message, tag = "10")]
        Suspect(SuspectNotice),
    }
}

macro_rules! entry_message_from {
    ($($kind:ident($message:ty)),* $(,)?) => {
        $(impl From<$message> for EntryMessage {
            fn from(message: $message) -> Self {
                Self { kind: Some(entry_message::Kind::$kind(message)) }
            }
        })*
    };
}

entry_message_from!(
    Hello(EntryHello),
    Submit(Submit),
    Cancel(Cancel),
    Resume(Resume),
    Acknowledge(Acknowledge),
    Holder(HolderNotice),
    Table(TablePages),
    TableQuery(TableQuery),
    Suspect(SuspectNotice),
);

/// Opens a link and identifies the entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryHello {
    /// Random identity of the entry's process, which owns its attempts across links.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Version of the entry's active table; zero for none.
    #[prost(uint64, tag = "2")]
    pub table_version: u64,
}

/// Submits one attempt of a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submit {
    /// Number of the attempt, unique within the entry's process.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Fingerprint of the request's content.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    /// Time that remains until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub budget_ms: u64,
    /// Priority of the caller population; higher runs first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Model or service that the body is for.
    #[prost(oneof = "submit::Work", tags = "6, 7")]
    pub work: Option<submit::Work>,
}

/// Payload types of [`Submit::work`].
pub mod submit {
    use super::*;

    /// Work that an attempt submits.
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Work {
        /// A request to a model engine.
        #[prost(message, tag = "6")]
        Model(ModelWork),
        /// A call of a plain service; a job if it has a key.
        #[prost(message, tag = "7")]
        Job(JobWork),
    }
}

/// Target of an attempt at a model request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ModelWork {
    /// Exact adapter and version to run.
    #[prost(message, optional, tag = "1")]
    pub adapter: Option<Adapter>,
    /// Recent uses of the adapter in the whole fleet, as estimated by the entry, in thousandths.
    #[prost(uint32, tag = "3")]
    pub past_milli_uses: u32,
}

/// Target of an attempt at a call of a plain service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JobWork {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query below the service, starting with a slash.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Media type of the body.
    #[prost(string, tag = "4")]
    pub content_type: String,
    /// Idempotency key; empty for a call that may be repeated.
    #[prost(string, tag = "5")]
    pub key: String,
    /// Highest epoch of the key that the entry has received in a refusal; zero for none.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
}

/// Cancels an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancel {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Resumes the response of an attempt on a new link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Resume {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Sequence number of the first chunk that the entry lacks.
    #[prost(uint64, tag = "2")]
    pub next_sequence: u64,
}

/// Confirms that the end of an attempt was received, so that the agent may discard its response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Acknowledge {
    /// Number of the attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Reports who holds the agent's service slot, according to the platform's list.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HolderNotice {
    /// Time on the platform's clock up to which the list was complete, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub as_of_ms: u64,
    /// Name of the VM that holds the slot; empty for none.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Whether the list marks the agent's VM as leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}
