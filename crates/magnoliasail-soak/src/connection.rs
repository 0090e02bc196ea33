//! A connection of a caller, of which a test decides when which bytes are sent.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longer than any answer takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

/// A connection to an entry, on which one request is sent after another.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Whether a response has named the end of the connection.
    has_last_response: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Panics
    ///
    /// Panics if nobody listens at `address`.
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("it accepts");
        stream.set_nodelay(true).expect("the option is set");
        Self {
            stream,
            has_last_response: false,
        }
    }

    /// Sends bytes. That the peer has closed the connection shows in the missing response.
    pub async fn send(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes()).await;
    }

    /// Reads a response with a length; returns its status, or `None` if the connection ends before it is complete.
    pub async fn status(&mut self) -> Option<u16> {
        timeout(ANSWER_TIMEOUT, self.read_response()).await.ok()?
    }

    async fn read_response(&mut self) -> Option<u16> {
        let mut received = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&received);
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "))?;
                if body.len() >= length.parse().ok()? {
                    self.has_last_response = head.contains("connection: close");
                    return head.split(' ').nth(1)?.parse().ok();
                }
            }
            if self.stream.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Returns whether no request may be sent any more: a response has named the end of the connection, or something
    /// has arrived that is no answer, or the end.
    pub async fn has_ended(&self) -> bool {
        let mut byte = [0];
        let peeked = timeout(Duration::ZERO, self.stream.peek(&mut byte)).await;
        self.has_last_response || peeked.is_ok()
    }

    /// Returns whether the connection is closed within a second.
    pub async fn is_closed_soon(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(Duration::from_secs(1), self.stream.read(&mut byte)).await;
        matches!(read, Ok(Ok(0)))
    }
}

/// Returns a plain request that may run more than once, with a key if one is needed.
#[must_use]
pub fn lookup(id: &str, key: Option<&str>) -> String {
    let key = key.map_or_else(String::new, |key| format!("x-api-key: {key}\r\n"));
    format!(
        "GET /safe/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: {id}\r\ndeadline-ms: 6000\r\n{key}\r\n"
    )
}
