//! The events that an agent handles.

use {
    super::{LinkId, RunId},
    crate::message::EntryMessage,
    bytes::Bytes,
    std::sync::Arc,
};

/// Why a run ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// No byte of the request reached the server.
    NotSent,
    /// The server refused the request because the adapter is not resident.
    NotResident,
    /// The server failed the request.
    ServerError,
    /// The connection was lost or timed out; the server may have run the request.
    ConnectionLost,
    /// The run was cancelled on the agent's order.
    Cancelled,
}

/// An event that an [`Agent`](super::Agent) handles.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry opened a link.
    LinkUp {
        /// ID of the link.
        link: LinkId,
    },
    /// A link closed or timed out.
    LinkDown {
        /// ID of the link.
        link: LinkId,
    },
    /// A message arrived from an entry.
    Message {
        /// ID of the link.
        link: LinkId,
        /// The message from the entry.
        message: EntryMessage,
    },
    /// The server sent the head of an answer.
    Head {
        /// ID of the run.
        run: RunId,
        /// HTTP status of the answer.
        status: u32,
        /// Media type of the answer's body.
        content_type: Arc<str>,
        /// Model that the engine reports to have used, empty for plain services.
        model: Arc<str>,
    },
    /// The server sent a chunk of an answer's body.
    Chunk {
        /// ID of the run.
        run: RunId,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// The server completed an answer.
    End {
        /// ID of the run.
        run: RunId,
    },
    /// A run ended without a complete answer.
    RunFailed {
        /// ID of the run.
        run: RunId,
        /// Why the run failed.
        failure: RunFailure,
    },
    /// An adapter became resident.
    Loaded {
        /// Index of the slot.
        slot: usize,
        /// Generation of the slot when the load was ordered.
        generation: u64,
    },
    /// A load failed.
    LoadFailed {
        /// Index of the slot.
        slot: usize,
        /// Generation of the slot when the load was ordered.
        generation: u64,
        /// Whether the weight store refused the load because of its rate limit.
        is_store_refusal: bool,
    },
    /// The server crashed or restarted and has lost all adapters.
    ServerCrashed,
    /// The operator or the platform requested a graceful shutdown.
    Drain,
    /// The periodic timer fired; deadlines, retries and reports are checked.
    Tick,
}
