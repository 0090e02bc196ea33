//! A client of the platform: sends one request on a new channel.

use {
    crate::{
        http::{Reader, header, is_chunked},
        record::Record,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "ficu95.example";

/// A request of a client.
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    /// Further lines of the head, each with its line end.
    pub headers: String,
    pub body: String,
    pub deadline: Duration,
    /// The time after which the client closes its channel, if it does so early.
    pub gives_up_after: Option<Duration>,
}

/// How a request ended, as the client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response with its status and whole body.
    Answer {
        status: u16,
        stamp: Option<String>,
        body: String,
        retry_after: Option<String>,
    },
    /// The head came with this status, and the channel ended before the whole body.
    CutOff { status: u16, body: String },
    /// The channel ended without a response.
    Closed,
    /// The time limit passed.
    TimedOut,
    /// The client gave up.
    GaveUp,
}

impl Outcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }
}

impl Call {
    /// Sends the request and waits for the whole response.
    pub fn send(&self, front: SocketAddr, record: &Record) -> Outcome {
        let name = format!("{} {}", self.id, self.headers.trim().replace("\r\n", "; "));
        record.line(format!("client sends {name}"));
        let outcome = self.exchange(front).unwrap_or(Outcome::Closed);
        let text = match &outcome {
            Outcome::Answer {
                status,
                stamp,
                body,
                retry_after,
            } => format!(
                "{status}, stamp {stamp:?}, retry after {retry_after:?}, {} bytes: {}",
                body.len(),
                body.chars().take(60).collect::<String>().replace('\n', "|")
            ),
            other => format!("{other:?}").chars().take(120).collect(),
        };
        record.line(format!("client gets  {}: {text}", self.id));
        outcome
    }

    fn exchange(&self, front: SocketAddr) -> io::Result<Outcome> {
        let started = Instant::now();
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let limit = self.gives_up_after.unwrap_or(self.deadline);
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.headers,
            self.body.len(),
            self.body
        );
        stream.write_all(head.as_bytes())?;
        let mut reader = Reader::new(stream.try_clone()?);
        let set_limit = |stream: &TcpStream| {
            let left = limit.saturating_sub(started.elapsed());
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
        };
        let late = || {
            if self.gives_up_after.is_some() {
                Outcome::GaveUp
            } else {
                Outcome::TimedOut
            }
        };
        set_limit(&stream)?;
        let (status, headers) = match reader.response_head() {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(Outcome::Closed),
            Err(error) if is_timeout(&error) => return Ok(late()),
            Err(_) => return Ok(Outcome::Closed),
        };
        let mut body = Vec::new();
        if is_chunked(&headers) {
            loop {
                set_limit(&stream)?;
                match reader.chunk() {
                    Ok(chunk) if chunk.is_empty() => break,
                    Ok(chunk) => body.extend_from_slice(&chunk),
                    Err(error) if is_timeout(&error) => return Ok(late()),
                    Err(_) => {
                        let body = String::from_utf8_lossy(&body).into_owned();
                        return Ok(Outcome::CutOff { status, body });
                    }
                }
                if started.elapsed() >= limit {
                    return Ok(late());
                }
            }
        } else {
            match reader.body(&headers) {
                Ok(bytes) => body = bytes,
                Err(error) if is_timeout(&error) => return Ok(late()),
                Err(_) => {
                    return Ok(Outcome::CutOff {
                        status,
                        body: String::new(),
                    });
                }
            }
        }
        Ok(Outcome::Answer {
            status,
            stamp: header(&headers, "response-stamp").map(str::to_owned),
            body: String::from_utf8_lossy(&body).into_owned(),
            retry_after: header(&headers, "retry-after").map(str::to_owned),
        })
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
