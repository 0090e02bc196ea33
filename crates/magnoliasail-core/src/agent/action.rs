//! The actions that an agent asks its daemon to carry out.

use {
    super::{LinkId, RunId},
    crate::{AdapterRef, RefusalReason, SuspectStatus, message::AgentMessage},
    bytes::Bytes,
    std::sync::Arc,
};

/// A request that the daemon sends to the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRequest {
    /// The adapter or the plain service that the request addresses.
    pub target: RequestTarget,
    /// Priority of the caller population.
    pub priority: u32,
    /// Body of the request.
    pub body: Bytes,
    /// Time left until the caller's deadline, in milliseconds.
    pub budget_ms: u64,
}

/// The target of a [`ServerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A chat completion by a resident adapter.
    Model {
        /// Adapter that answers the request.
        adapter: AdapterRef,
    },
    /// A call of a plain service.
    Service {
        /// HTTP method of the call.
        method: Arc<str>,
        /// Path and query of the call.
        path: Arc<str>,
        /// Media type of the body.
        content_type: Arc<str>,
        /// Idempotency key, empty if the call may be repeated.
        key: Arc<str>,
        /// Fencing token of this incarnation, zero if the call may be repeated.
        fencing_token: u64,
    },
}

/// An action that an [`Agent`](super::Agent) asks its daemon to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Sends a message to an entry.
    Send {
        /// ID of the link.
        link: LinkId,
        /// The message to send.
        message: AgentMessage,
    },
    /// Sends a request to the server.
    Run {
        /// ID of the run.
        run: RunId,
        /// The request to send.
        request: ServerRequest,
        /// Time for which the request waited for its adapter, in milliseconds.
        stall_ms: u64,
    },
    /// Cancels a run at the server.
    ///
    /// The daemon reports the end of the run with [`AgentEvent::End`](super::AgentEvent::End) or
    /// [`AgentEvent::RunFailed`](super::AgentEvent::RunFailed).
    CancelRun {
        /// ID of the run.
        run: RunId,
    },
    /// Loads an adapter into a slot, after unloading the adapter that it replaces.
    Load {
        /// Index of the slot.
        slot: usize,
        /// Generation of the slot.
        generation: u64,
        /// Adapter to load.
        adapter: AdapterRef,
        /// Adapter to unload first.
        evicted: Option<AdapterRef>,
    },
    /// Reports that a load completed.
    Loaded,
    /// Reports that a table version was applied.
    TableApplied {
        /// Version of the applied table.
        version: u64,
    },
    /// Reports that a table version was rejected.
    TableRejected {
        /// What is wrong and what to do.
        message: String,
    },
    /// Reports that an attempt was refused or failed.
    Refused {
        /// Reason for the refusal or failure.
        reason: RefusalReason,
    },
    /// Reports that the quarantine status of a request changed.
    QuarantineChanged {
        /// Fingerprint of the request's content.
        fingerprint: u64,
        /// New status of the request.
        status: SuspectStatus,
    },
    /// Reports that the drain is complete and the process may exit.
    Drained,
}
