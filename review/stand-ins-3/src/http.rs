//! A small HTTP/1.1 implementation on blocking sockets, for stand-ins that decide about every byte.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message that was read: a request or a response, with its headers in lowercase.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the end of the body was shown by a length or by chunks.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Returns a parameter of the query, with `%XX` decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(percent_decode(pair))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        match (
            bytes[index],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads one message. Returns `None` if the connection ends before its first byte.
///
/// `on_data` is called with the length of the body each time that a part of it has arrived.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    mut on_data: impl FnMut(usize),
) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buffer)? {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    let is_response = message.first.starts_with("HTTP/");
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        message.is_complete = read_chunks(stream, buffer, &mut message.body, &mut on_data)?;
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        while buffer.len() < length {
            if !fill(stream, buffer)? {
                break;
            }
            on_data(buffer.len().min(length));
        }
        message.is_complete = buffer.len() >= length;
        message.body = buffer.drain(..length.min(buffer.len())).collect();
    } else if is_response {
        while fill(stream, buffer)? {
            on_data(buffer.len());
        }
        message.body = std::mem::take(buffer);
    } else {
        message.is_complete = true;
    }
    Ok(Some(message))
}

/// Reads a chunked body; returns whether its last chunk has arrived.
fn read_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
    on_data: &mut impl FnMut(usize),
) -> io::Result<bool> {
    loop {
        let line_end = loop {
            if let Some(at) = find(buffer, b"\r\n") {
                break at;
            }
            match fill(stream, buffer) {
                Ok(true) => {}
                Ok(false) | Err(_) => return Ok(false),
            }
        };
        let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let size = line.split(';').next().unwrap_or_default();
        let Ok(length) = usize::from_str_radix(size.trim(), 16) else {
            return Ok(false);
        };
        while buffer.len() < line_end + 2 + length + 2 {
            match fill(stream, buffer) {
                Ok(true) => {}
                Ok(false) | Err(_) => return Ok(false),
            }
        }
        body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + length]);
        buffer.drain(..line_end + 2 + length + 2);
        on_data(body.len());
        if length == 0 {
            return Ok(true);
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 65_536];
    let length = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..length]);
    Ok(length > 0)
}

fn find(buffer: &[u8], needle: &[u8]) -> Option<usize> {
    buffer
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes one chunk of a chunked body.
pub fn write_chunk(stream: &mut TcpStream, part: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(part);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; 0 if no response head arrived.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its length or its last chunk.
    pub is_complete: bool,
    /// Why there is no complete answer.
    pub error: String,
    pub took: Duration,
}

/// Sends a request on a new channel and reads the answer, for at most `limit`.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let started_at = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: HashMap::new(),
        body: Vec::new(),
        is_complete: false,
        error: String::new(),
        took: Duration::ZERO,
    };
    let outcome = (|| -> io::Result<Option<Message>> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        read_message(&mut stream, &mut Vec::new(), |_| {})
    })();
    answer.took = started_at.elapsed();
    match outcome {
        Ok(Some(message)) => {
            answer.status = message.status();
            answer.is_complete = message.is_complete;
            answer.headers = message.headers;
            answer.body = message.body;
            if !answer.is_complete {
                answer.error = "the answer was cut".to_owned();
            }
        }
        Ok(None) => answer.error = "the channel was closed without an answer".to_owned(),
        Err(error) => answer.error = error.to_string(),
    }
    answer
}
