//! The socket of a connection to a server, which remembers whether what was to be sent has been sent.
//!
//! A response that has neither a length nor chunks ends with its connection. A server that gives up while it is sent a long
//! request ends the connection in the same way, and the reset that follows is reported only to the next write. That the
//! request was not sent completely, or that a reset has followed, shows that such a response is not complete.

use {
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The most that the kernel takes of a request before the server does. What it has taken counts as sent.
const SEND_BUFFER_BYTES: usize = 16_384;

/// The socket of a connection, shared by the connection and the responses on it.
#[derive(Debug)]
pub(super) struct ServerSocket {
    stream: TcpStream,
    /// Whether the last write failed or waits for the server to read.
    has_unsent_bytes: Cell<bool>,
}

impl ServerSocket {
    /// Takes a connected socket over.
    ///
    /// # Errors
    ///
    /// Returns an error if its send buffer cannot be limited.
    pub(super) fn new(stream: TcpStream) -> io::Result<Rc<Self>> {
        SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        Ok(Rc::new(Self {
            stream,
            has_unsent_bytes: Cell::new(false),
        }))
    }

    /// Returns whether a part of the last request has not been sent, or whether the server has reset the connection.
    pub(super) fn is_cut_off(&self) -> bool {
        self.has_unsent_bytes.get() || !matches!(self.stream.take_error(), Ok(None))
    }

    fn record_write<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let is_written = matches!(result, Poll::Ready(Ok(_)));
        self.has_unsent_bytes.set(!is_written);
        result
    }

    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// The stream of a connection to a server.
#[derive(Debug)]
pub(super) struct ServerStream(pub(super) Rc<ServerSocket>);

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        socket.record_write(socket.poll_try_write(context, |stream| stream.try_write(bytes)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        let write = |stream: &TcpStream| stream.try_write_vectored(slices);
        socket.record_write(socket.poll_try_write(context, write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
