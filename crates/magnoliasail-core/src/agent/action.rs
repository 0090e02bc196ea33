//! What an agent asks its daemon to do.

use {
    super::{LinkId, RunId},
    crate::{AdapterRef, RefusalReason, SuspectStatus, message::AgentMessage},
    bytes::Bytes,
    std::sync::Arc,
};

/// A request for the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// What to run.
    pub target: RunTarget,
    /// Priority of the caller population.
    pub priority: u32,
    /// Body of the request.
    pub body: Bytes,
    /// Time that remains until the caller's deadline, in milliseconds.
    pub budget_ms: u64,
}

/// What a [`RunOrder`] is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunTarget {
    /// A chat completion by a resident adapter.
    Model {
        /// The adapter.
        adapter: AdapterRef,
    },
    /// A call of a plain service.
    Call {
        /// HTTP method.
        method: Arc<str>,
        /// Path and query.
        path: Arc<str>,
        /// Media type of the body.
        content_type: Arc<str>,
        /// Idempotency key, empty if the call may be repeated.
        key: Arc<str>,
        /// Fencing number, zero if the call may be repeated.
        fencing: u64,
    },
}

/// An action of an [`Agent`](super::Agent).
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Sends a message.
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: AgentMessage,
    },
    /// Hands a request to the server.
    Run {
        /// The run.
        run: RunId,
        /// The request.
        order: RunOrder,
        /// Time for which the request has waited for its adapter, in milliseconds.
        stall_ms: u64,
    },
    /// Cancels a run at the server; its end is awaited.
    CancelRun {
        /// The run.
        run: RunId,
    },
    /// Loads an adapter into a slot, in place of another.
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
    /// A load has completed.
    Loaded,
    /// A table version came into force.
    TableAdopted {
        /// Version of the table.
        version: u64,
    },
    /// A table version was rejected.
    TableRejected {
        /// What is wrong and what to do.
        message: String,
    },
    /// An attempt was refused or given up.
    Refused {
        /// The reason.
        reason: RefusalReason,
    },
    /// A verdict on a request changed.
    Verdict {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// The verdict.
        verdict: SuspectStatus,
    },
    /// The drain is complete.
    Drained,
}
