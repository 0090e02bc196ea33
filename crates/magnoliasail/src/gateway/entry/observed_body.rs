//! The body of a response, which keeps its request in progress until it ends.

use {
    super::{connection_activity::RequestInProgress, response_body::ResponseBody},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    magnoliasail_wire::StreamAborted,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of a response, during which its request is in progress.
pub(super) struct ObservedBody {
    body: ResponseBody,
    _request: RequestInProgress,
}

impl ObservedBody {
    pub(super) const fn new(body: ResponseBody, request: RequestInProgress) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for ObservedBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
