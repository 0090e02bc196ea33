//! What an entry asks its daemon to do.

use {
    crate::{Outcome, RefusalReason, RetryReason, Verdict, message::EntryMessage, table::Table},
    bytes::Bytes,
    std::sync::Arc,
};

/// The final answer to a request that did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request was given up.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub outcome: Outcome,
    /// When to come back, in milliseconds; zero if coming back does not help.
    pub retry_after_ms: u64,
}

/// An action of an [`Entry`](super::Entry).
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Opens a link.
    Connect {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// Address on which the agent accepts links.
        address: Arc<str>,
    },
    /// Closes a link for good.
    Disconnect {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// Sends a message.
    Send {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// The message.
        message: EntryMessage,
    },
    /// Starts an answer.
    Head {
        /// Number of the request.
        request: u64,
        /// HTTP status.
        status: u32,
        /// Media type.
        content_type: Arc<str>,
        /// Exact model, empty for a plain service.
        model: Arc<str>,
        /// Name of the VM that answers.
        vm: Arc<str>,
    },
    /// Passes on a part of an answer.
    Data {
        /// Number of the request.
        request: u64,
        /// The data.
        data: Bytes,
    },
    /// Ends an answer that is whole.
    Completed {
        /// Number of the request.
        request: u64,
    },
    /// Gives a request up.
    Failed {
        /// Number of the request.
        request: u64,
        /// The final answer.
        failure: Failure,
    },
    /// An attempt was repeated.
    Retried {
        /// Why it was repeated.
        reason: RetryReason,
    },
    /// A frame of an attempt that is over was dropped.
    DroppedFrame,
    /// A table version came into force.
    TableApplied {
        /// The table.
        table: Arc<Table>,
    },
    /// A table version was rejected.
    TableRejected {
        /// What is wrong and what to do.
        message: String,
    },
    /// A verdict on a request became known.
    QuarantineChanged {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// The verdict.
        status: Verdict,
    },
    /// The drain is complete.
    Drained,
}
