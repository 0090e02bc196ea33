//! The way of an answer from the deciding duty to the connection that awaits it.

use {bytes::Bytes, magnoliasail_core::entry::Failure, std::sync::Arc, tokio::sync::mpsc};

const REPLY_PARTS: usize = 8_192;

/// A part of an answer.
#[derive(Clone, Debug)]
pub(crate) enum ReplyPart {
    /// Starts the answer.
    Head {
        status: u16,
        content_type: Arc<str>,
        model: Arc<str>,
        vm: Arc<str>,
    },
    /// Carries data.
    Data(Bytes),
    /// Ends an answer that is whole.
    Done,
    /// Gives the request up.
    Failed(Failure),
}

/// The writing end; a full channel means that the caller reads too slowly.
pub(crate) type ReplyWriter = mpsc::Sender<ReplyPart>;

/// The reading end.
pub(crate) type ReplyReader = mpsc::Receiver<ReplyPart>;

/// Creates the channel of one request.
pub(crate) fn reply_channel() -> (ReplyWriter, ReplyReader) {
    mpsc::channel(REPLY_PARTS)
}
