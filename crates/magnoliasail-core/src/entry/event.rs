//! Events that an entry handles, and the requests that callers submit.

use {
    crate::{VmList, message::AgentMessage, table::PublishedTable},
    bytes::Bytes,
    std::sync::Arc,
};

/// The kind of a caller's request, with the data that selects a server for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion by a model engine.
    Model {
        /// The model as the caller names it: `adapter` or `adapter@version`.
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

/// A request as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Number of the request, unique within the process.
    pub request: u64,
    /// Bearer key, which identifies the caller population.
    pub bearer: Arc<str>,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Body of the request.
    pub body: Bytes,
    /// Time that remains until the caller's deadline, in milliseconds.
    pub budget_ms: u64,
}

/// An event for an [`Entry`](super::Entry).
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller sent a request.
    Submit(Submission),
    /// A caller disconnected before its response ended.
    CallerGone {
        /// Number of the request.
        request: u64,
    },
    /// A link to an agent came up.
    LinkUp {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// A link was closed, or received nothing for the link's timeout.
    LinkDown {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// A message arrived from an agent.
    Message {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// The message from the agent.
        message: AgentMessage,
    },
    /// A list of VMs arrived from the platform.
    VmList(VmList),
    /// A table arrived from the platform, or a confirmation of the active one.
    Table(PublishedTable),
    /// The process resumed after a pause, so its information may be stale.
    Paused,
    /// The process was asked to shut down gracefully.
    Drain,
    /// Periodic tick, on which deadlines and other timeouts are checked.
    Tick,
}
