//! HTTP/1.1 on raw sockets, so that a stand-in decides how an answer is framed and how it ends.

use std::collections::HashMap;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

/// The start line and the headers of a message; header names are in lower case.
pub struct Head {
    pub start: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or("/");
        target.split('?').next().unwrap_or("/")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A response as a client saw it.
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub is_complete: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            pending: Vec::new(),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let length = self.stream.read(&mut buffer).await?;
        self.pending.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.pending, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.pending, b"\r\n") {
                let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Appends `length` bytes to `body`; returns whether all of them came.
    async fn read_exact(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = length;
        while left > 0 {
            if self.pending.is_empty() && self.fill().await? == 0 {
                return Ok(false);
            }
            let taken = left.min(self.pending.len());
            body.extend(self.pending.drain(..taken));
            left -= taken;
        }
        Ok(true)
    }

    /// Reads a body into `body` as its head frames it; returns whether it is whole.
    pub async fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<bool> {
        if let Some(length) = head.header("content-length") {
            let length = length.parse().unwrap_or(0);
            return self.read_exact(length, body).await;
        }
        if head.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.read_line().await? else {
                    return Ok(false);
                };
                let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                    return Ok(false);
                };
                if !self.read_exact(length, body).await? {
                    return Ok(false);
                }
                if self.read_line().await?.is_none() {
                    return Ok(false);
                }
                if length == 0 {
                    return Ok(true);
                }
            }
        }
        if head.start.starts_with("HTTP/") {
            body.append(&mut self.pending);
            while self.fill().await? > 0 {
                body.append(&mut self.pending);
            }
        }
        Ok(true)
    }

    /// Writes a whole answer with a length.
    pub async fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).await
    }

    /// Writes one chunk of a chunked body.
    pub async fn chunk(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes()).await
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut buffer = [0; 1];
        match self.stream.try_read(&mut buffer) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a request and reads the answer. What arrived before an error is kept.
    pub async fn call(&mut self, request: &str) -> Answer {
        let mut answer = Answer {
            status: 0,
            headers: HashMap::new(),
            body: Vec::new(),
            is_complete: false,
        };
        if self.stream.write_all(request.as_bytes()).await.is_err() {
            return answer;
        }
        if let Ok(Some(head)) = self.read_head().await {
            answer.status = head.status();
            let whole = self.read_body(&head, &mut answer.body).await;
            answer.is_complete = whole.unwrap_or(false);
            answer.headers = head.headers;
        }
        answer
    }
}

fn find(bytes: &[u8], sought: &[u8]) -> Option<usize> {
    bytes
        .windows(sought.len())
        .position(|window| window == sought)
}
