//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, with percent escapes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns the first header with this name.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match escaped {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads messages from a connection; bytes beyond a message are kept for the next one.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the lines up to an empty line; `None` if the connection ends before.
    fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(head.split("\r\n").map(str::to_owned).collect()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one chunk of a chunked body; it is empty at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads a request; `None` if the connection ends before.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(lines) = self.head()? else {
            return Ok(None);
        };
        let mut words = lines[0].split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let headers = parse_headers(&lines[1..]);
        let body = self.body(&headers)?;
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }

    /// Reads the head of a response; `None` if the connection ends before.
    pub fn response_head(&mut self) -> io::Result<Option<(u16, Vec<(String, String)>)>> {
        let Some(lines) = self.head()? else {
            return Ok(None);
        };
        let status = lines[0]
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        Ok(Some((status, parse_headers(&lines[1..]))))
    }

    /// Reads a body with a length or in chunks.
    pub fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        if is_chunked(headers) {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let length = header(headers, "content-length").and_then(|length| length.parse().ok());
        self.exact(length.unwrap_or(0))
    }
}

/// Returns whether a body comes in chunks.
pub fn is_chunked(headers: &[(String, String)]) -> bool {
    header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}

/// Returns the string value of a key in flat JSON, such as the body of an order.
pub fn json_text(json: &str, key: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{key}\":"))?.1.trim_start();
    let rest = rest.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns the number of a key in flat JSON.
pub fn json_number(json: &str, key: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{key}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
