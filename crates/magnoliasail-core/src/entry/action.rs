//! Actions that an entry requests from its daemon.

use {
    crate::{
        Outcome, RefusalReason, RetryReason, SuspectStatus, message::EntryMessage, table::Table,
    },
    bytes::Bytes,
    std::sync::Arc,
};

/// The final result of a request that did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as the entry can prove.
    pub outcome: Outcome,
    /// Delay after which the caller may retry, in milliseconds; zero if a retry does not help.
    pub retry_after_ms: u64,
}

/// An action that an [`Entry`](super::Entry) requests, or an event that it reports to its daemon.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Opens a link to an agent; replaces an open one.
    Connect {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// Address on which the agent accepts links.
        address: Arc<str>,
    },
    /// Closes a link to an agent that has left the platform's list, and does not reopen it.
    Disconnect {
        /// Name of the agent's VM.
        vm: Arc<str>,
    },
    /// Sends a message to an agent.
    Send {
        /// Name of the agent's VM.
        vm: Arc<str>,
        /// The message to send.
        message: EntryMessage,
    },
    /// Starts the response to a request.
    Head {
        /// Number of the request.
        request: u64,
        /// HTTP status of the response.
        status: u32,
        /// Media type of the response.
        content_type: Arc<str>,
        /// Exact model and version that ran, empty for a service call.
        model: Arc<str>,
        /// Name of the VM that sends the response.
        vm: Arc<str>,
    },
    /// Relays a chunk of a response's body.
    Data {
        /// Number of the request.
        request: u64,
        /// Data of the chunk.
        data: Bytes,
    },
    /// Ends a response that was relayed completely.
    Completed {
        /// Number of the request.
        request: u64,
    },
    /// Ends a request that failed.
    Failed {
        /// Number of the request.
        request: u64,
        /// Reason, outcome and retry delay.
        failure: Failure,
    },
    /// Reports that a request is attempted again.
    Retried {
        /// Why the earlier attempt did not suffice.
        reason: RetryReason,
    },
    /// Reports that a message from an agent was dropped.
    ///
    /// Its attempt has ended, or it was out of order.
    DroppedFrame,
    /// Reports that a new version of the table was applied.
    TableApplied {
        /// The table that is now active.
        table: Arc<Table>,
    },
    /// Reports that a new version of the table was rejected; the active one stays.
    TableRejected {
        /// What is wrong with the table and how to correct it.
        message: String,
    },
    /// Reports that the quarantine status of a request changed, as notified by an agent.
    QuarantineChanged {
        /// Fingerprint of the request's content.
        fingerprint: u64,
        /// New status of the request.
        status: SuspectStatus,
    },
    /// Reports that the drain is complete and no request is left.
    Drained,
}
