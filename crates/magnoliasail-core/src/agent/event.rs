//! What happens to an agent.

use {
    super::{LinkId, RunId},
    crate::message::EntryMessage,
    bytes::Bytes,
    std::sync::Arc,
};

/// Why a run ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// No byte of the request reached the server.
    NotSent,
    /// The server refused the request because the adapter is not resident.
    NotResident,
    /// The server failed the request.
    ServerError,
    /// The connection broke or fell silent while the server ran the request.
    ConnectionLost,
    /// The run was cancelled as ordered.
    Cancelled,
}

/// An event for an [`Agent`](super::Agent).
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry opened a link.
    LinkUp {
        /// The link.
        link: LinkId,
    },
    /// A link ended or fell silent.
    LinkDown {
        /// The link.
        link: LinkId,
    },
    /// A message arrived.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: EntryMessage,
    },
    /// The server started an answer.
    Head {
        /// The run.
        run: RunId,
        /// HTTP status.
        status: u32,
        /// Media type.
        content_type: Arc<str>,
        /// Model that the engine named, empty for plain services.
        model: Arc<str>,
    },
    /// The server sent a part of an answer.
    Chunk {
        /// The run.
        run: RunId,
        /// The data.
        data: Bytes,
    },
    /// The server ended an answer.
    End {
        /// The run.
        run: RunId,
    },
    /// A run ended without an answer.
    RunFailed {
        /// The run.
        run: RunId,
        /// Why it ended.
        failure: RunFailure,
    },
    /// An adapter became resident.
    Loaded {
        /// Index of the slot.
        slot: usize,
        /// Generation of the slot for which the load was ordered.
        generation: u64,
    },
    /// A load failed.
    LoadFailed {
        /// Index of the slot.
        slot: usize,
        /// Generation of the slot for which the load was ordered.
        generation: u64,
        /// Whether the weight store refused it for its rate.
        is_store_refusal: bool,
    },
    /// The server crashed or restarted and has lost all adapters.
    ServerCrashed,
    /// The operator or the platform asked for a graceful shutdown.
    Drain,
    /// Time passed.
    Tick,
}
