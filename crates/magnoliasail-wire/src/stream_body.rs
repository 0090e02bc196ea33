//! The body of a streamed response, which is written chunk by chunk.
//!
//! HTTP marks the end of a streamed body, so a body must distinguish a complete response from one
//! whose writer failed. Only [`StreamWriter::end`] ends a body normally. A writer that is dropped
//! without it, because of an error, a panic or an aborted task, ends the body with
//! [`StreamAborted`]. The end of the process closes the connection, which a client sees as an
//! aborted response too.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame},
    snafu::Snafu,
    std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// The writer of a body was dropped before it ended the body.
///
/// The connection to the client is closed so that the response does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the response was aborted; send the request again if it may run twice"))]
pub struct StreamAborted;

/// The [`StreamBody`] was dropped, so nobody reads what is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the response has gone; stop writing"))]
pub struct ReaderDropped;

/// Creates a body with a queue of at most `capacity` chunks between its writer and its reader.
///
/// # Panics
///
/// Panics if `capacity` is zero.
#[must_use]
pub fn stream_body(capacity: usize) -> (StreamWriter, StreamBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_ended = Arc::new(AtomicBool::new(false));
    let writer = StreamWriter {
        chunks: sender,
        is_ended: Arc::clone(&is_ended),
    };
    let body = StreamBody {
        chunks: receiver,
        is_ended,
        is_abort_reported: false,
    };
    (writer, body)
}

/// The writing end of a body; dropping it without [`StreamWriter::end`] aborts the body.
#[derive(Debug)]
pub struct StreamWriter {
    chunks: mpsc::Sender<Bytes>,
    is_ended: Arc<AtomicBool>,
}

impl StreamWriter {
    /// Writes a chunk, after waiting for room in the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if the body has been dropped.
    pub async fn write(&self, chunk: Bytes) -> Result<(), ReaderDropped> {
        self.chunks.send(chunk).await.map_err(|_| ReaderDropped)
    }

    /// Waits until the body is dropped, for example because the client has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body normally once the queued chunks have been read.
    pub fn end(self) {
        self.is_ended.store(true, Ordering::Release);
    }
}

/// The reading end of a body, which the HTTP server polls.
///
/// It returns [`StreamAborted`] once if the writer was dropped without [`StreamWriter::end`].
#[derive(Debug)]
pub struct StreamBody {
    chunks: mpsc::Receiver<Bytes>,
    is_ended: Arc<AtomicBool>,
    is_abort_reported: bool,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let body = self.get_mut();
        match body.chunks.poll_recv(context) {
            Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Poll::Ready(None)
                if body.is_abort_reported || body.is_ended.load(Ordering::Acquire) =>
            {
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                body.is_abort_reported = true;
                Poll::Ready(Some(Err(StreamAborted)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
