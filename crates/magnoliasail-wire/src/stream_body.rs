//! The body of an answer that is written part by part.
//!
//! HTTP marks the end of a streamed body, so a body must tell an answer that is whole from one whose
//! writer has gone. Only [`StreamWriter::end`] ends a body in order; a writer that is dropped, be it
//! by an error, a panic or the end of its process, breaks the body off.

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

/// The answer broke off; its connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off; send the request again if it may run twice"))]
pub struct StreamAborted;

/// The reader of a body has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the answer has gone; stop writing it"))]
pub struct ReaderDropped;

/// Creates a body of which at most `parts` parts wait to be read.
///
/// # Panics
///
/// Panics if `parts` is zero.
#[must_use]
pub fn stream_body(parts: usize) -> (StreamWriter, StreamBody) {
    let (sender, receiver) = mpsc::channel(parts);
    let is_ended = Arc::new(AtomicBool::new(false));
    let writer = StreamWriter {
        parts: sender,
        is_ended: Arc::clone(&is_ended),
    };
    let body = StreamBody {
        parts: receiver,
        is_ended,
        is_broken: false,
    };
    (writer, body)
}

/// The writing end of a body; dropping it without [`StreamWriter::end`] breaks the body off.
#[derive(Debug)]
pub struct StreamWriter {
    parts: mpsc::Sender<Bytes>,
    is_ended: Arc<AtomicBool>,
}

impl StreamWriter {
    /// Writes a part once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the body has been dropped.
    pub async fn write(&self, part: Bytes) -> Result<(), ReaderDropped> {
        self.parts.send(part).await.map_err(|_| ReaderDropped)
    }

    /// Waits until the body has been dropped.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Ends the body in order.
    pub fn end(self) {
        self.is_ended.store(true, Ordering::Release);
    }
}

/// The reading end of a body.
#[derive(Debug)]
pub struct StreamBody {
    parts: mpsc::Receiver<Bytes>,
    is_ended: Arc<AtomicBool>,
    is_broken: bool,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let body = self.get_mut();
        match body.parts.poll_recv(context) {
            Poll::Ready(Some(part)) => Poll::Ready(Some(Ok(Frame::data(part)))),
            Poll::Ready(None) if body.is_broken || body.is_ended.load(Ordering::Acquire) => {
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                body.is_broken = true;
                Poll::Ready(Some(Err(StreamAborted)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
