//! The socket of a connection to a server, which remembers whether what was to be sent has been sent.
//!
//! A response that has neither a length nor chunks ends with its connection. A server that gives up while it is sent a long
//! request ends the connection in the same way, and the reset that follows is reported only to the next write. That the
//! request was not sent completely, or that a reset has followed, shows that such a response is not complete.

use {
    socket2::SockRef,
    std::{
        cell::Cell,
        io,
        net::Shutdown,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{io::ReadBuf, net::TcpStream},
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

    /// Reads what has arrived.
    pub(super) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }

    /// Calls `write`, and records whether it has written something.
    pub(super) fn poll_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = self.poll_unrecorded_write(context, write);
        let is_written = matches!(result, Poll::Ready(Ok(_)));
        self.has_unsent_bytes.set(!is_written);
        result
    }

    fn poll_unrecorded_write(
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

    /// Tells the server that nothing more is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has failed.
    pub(super) fn shut_down(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }
}
