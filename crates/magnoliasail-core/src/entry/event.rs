//! What happens to an entry.

use {
    crate::{VmList, message::AgentMessage, table::Offer},
    bytes::Bytes,
    std::sync::Arc,
};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion.
    Model {
        /// `adapter` or `adapter@version`.
        model: Arc<str>,
    },
    /// A call of a plain service.
    Service {
        /// Name of the service.
        service: Arc<str>,
        /// HTTP method.
        method: Arc<str>,
        /// Path and query below the service, starting with a slash.
        path: Arc<str>,
        /// Media type of the body.
        content_type: Arc<str>,
        /// Idempotency key, if the caller sent one.
        key: Option<Arc<str>>,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Number of the request, unique within the process.
    pub request: u64,
    /// Bearer key.
    pub bearer: Arc<str>,
    /// What the caller asks for.
    pub kind: RequestKind,
    /// Body of the request.
    pub body: Bytes,
    /// Time until the deadline, in milliseconds.
    pub budget_ms: u64,
}

/// An event for an [`Entry`](super::Entry).
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller sent a request.
    Submit(Submission),
    /// A caller went away.
    CallerGone {
        /// Number of the request.
        request: u64,
    },
    /// A link to an agent came up.
    LinkUp {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// A link ended or fell silent.
    LinkDown {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// A message arrived.
    Message {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// The message.
        message: AgentMessage,
    },
    /// The platform published a list of VMs.
    VmList(VmList),
    /// The platform published a table, or confirmed the one in force.
    Table(Offer),
    /// The process was paused and has woken.
    Paused,
    /// The process was asked to shut down gracefully.
    Drain,
    /// Time passed.
    Tick,
}
