//! The body of a response to a caller: complete in memory, or streamed as it arrives.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    magnoliasail_wire::{StreamAborted, StreamBody},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of a response to a caller.
pub(super) enum ResponseBody {
    /// A body that is complete in memory; `None` once it was sent.
    Complete(Option<Bytes>),
    /// A stream that is relayed as it arrives.
    Relayed(StreamBody),
}

impl ResponseBody {
    pub(super) const fn complete(bytes: Bytes) -> Self {
        Self::Complete(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relayed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Relayed(body) => body.size_hint(),
        }
    }
}
