//! What happens on a connection of a caller, as far as it decides when the connection may be closed.

use {
    super::response_body::ResponseBody,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    magnoliasail_wire::StreamAborted,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The state of a connection, shared by its stream and its responses.
#[derive(Debug, Default)]
pub(super) struct ConnectionActivity {
    /// Requests whose response has not been handed over to the connection completely.
    in_progress: Cell<u32>,
    has_requests: Cell<bool>,
    /// Whether bytes have arrived since the last response, which are no whole request head.
    has_partial_request: Cell<bool>,
    /// Whether bytes of a response wait because the caller reads slowly.
    is_write_blocked: Cell<bool>,
}

impl ConnectionActivity {
    /// Records that a whole request head has arrived. The request is in progress until the result is dropped.
    pub(super) fn start_request(self: &Rc<Self>) -> RequestInProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        self.has_requests.set(true);
        self.has_partial_request.set(false);
        RequestInProgress(Rc::clone(self))
    }

    /// Returns whether neither a request nor a response is under way, as far as the entry can know.
    pub(super) fn is_idle(&self) -> bool {
        self.has_requests.get() && !self.has_partial_request.get() && self.is_answered()
    }

    /// Returns whether each request of which the head has arrived has its whole response.
    pub(super) fn is_answered(&self) -> bool {
        self.in_progress.get() == 0 && !self.is_write_blocked.get()
    }

    /// Returns whether nothing has arrived on the connection.
    pub(super) fn is_unused(&self) -> bool {
        !self.has_requests.get() && !self.has_partial_request.get()
    }
}

/// A request until its response ends.
#[derive(Debug)]
pub(super) struct RequestInProgress(Rc<ConnectionActivity>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let activity = &self.0;
        activity.in_progress.set(activity.in_progress.get() - 1);
        // What has arrived meanwhile was the body.
        activity.has_partial_request.set(false);
    }
}

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

/// The stream of a connection, which records what is read and whether writing is blocked.
#[derive(Debug)]
pub(super) struct ObservedStream {
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
}

impl ObservedStream {
    pub(super) const fn new(stream: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn record_write<T>(&self, result: Poll<T>) -> Poll<T> {
        self.activity.is_write_blocked.set(result.is_pending());
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > length {
            self.activity.has_partial_request.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
