//! The body of a response to a caller: complete in memory, or streamed as it arrives.

use {
    crate::gateway::buffer_budget::HeldBytes,
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
    Complete {
        bytes: Option<Bytes>,
        /// What counts towards the budget of the process until the body was sent.
        _held: Option<HeldBytes>,
    },
    /// A stream that is relayed as it arrives.
    Relayed(StreamBody),
}

impl ResponseBody {
    pub(super) const fn complete(bytes: Bytes) -> Self {
        Self::Complete {
            bytes: Some(bytes),
            _held: None,
        }
    }

    /// Creates a body whose bytes count towards the budget of the process until it was sent.
    pub(super) const fn held(bytes: Bytes, held: HeldBytes) -> Self {
        Self::Complete {
            bytes: Some(bytes),
            _held: Some(held),
        }
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
            Self::Complete { bytes, .. } => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Relayed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Relayed(body) => body.size_hint(),
        }
    }
}
