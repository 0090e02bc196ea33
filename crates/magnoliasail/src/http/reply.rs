//! The bounded channel that carries a reply from the entry's `decide` worker to the caller's
//! connection.

use {bytes::Bytes, magnoliasail_core::entry::Failure, std::sync::Arc, tokio::sync::mpsc};

/// Capacity of a reply channel, in parts.
const REPLY_QUEUE_CAPACITY: usize = 8_192;

/// One part of a reply, in the order head, data, end.
#[derive(Clone, Debug)]
pub(crate) enum ReplyPart {
    /// Starts the reply with its status, the model and the VM of the server.
    Head {
        status: u16,
        content_type: Arc<str>,
        model: Arc<str>,
        vm: Arc<str>,
    },
    /// Carries the next bytes of the body.
    Data(Bytes),
    /// Ends a reply whose body is complete.
    Completed,
    /// Ends the request with a failure, before or after the head.
    Failed(Failure),
}

/// The sending half of a reply channel; it is full if the caller reads too slowly.
pub(crate) type ReplyWriter = mpsc::Sender<ReplyPart>;

/// The receiving half of a reply channel.
pub(crate) type ReplyReader = mpsc::Receiver<ReplyPart>;

/// Creates the reply channel of one request.
pub(crate) fn reply_channel() -> (ReplyWriter, ReplyReader) {
    mpsc::channel(REPLY_QUEUE_CAPACITY)
}
