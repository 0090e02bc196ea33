//! Answers without end, which a server in trouble sends until the caller closes the connection.

use {
    super::backend_server::Body,
    crate::ledger::Ledger,
    bytes::Bytes,
    http_body_util::{BodyExt, combinators::BoxBody},
    hyper::Response,
    magnoliasail_wire::stream_body,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
};

/// Bytes after which the server gives up, and records that its caller goes on reading.
const MAX_BYTES: usize = 64 << 20;
const CHUNK: [u8; 16_384] = [b'x'; 16_384];
/// Bytes of the answer to a health check after which its caller counts as one that goes on reading. With a few hundred
/// connections, more would fill its memory.
const MAX_HEALTH_BYTES: usize = 1 << 20;
/// Time after which it counts so too.
const MAX_HEALTH_TIME: Duration = Duration::from_secs(3);
const HEALTH_CHUNK_INTERVAL: Duration = Duration::from_millis(4);

/// Where an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// From the first byte, which belongs to no answer.
    Garbage,
    /// In the head.
    Head,
    /// In the body, which has neither a length nor chunks.
    Body,
}

/// Answers the request with this id without end.
///
/// # Errors
///
/// Returns an error once the caller has closed the connection.
pub(super) async fn write_endless(
    mut stream: TcpStream,
    answer: EndlessAnswer,
    id: &str,
    ledger: Ledger,
) -> io::Result<()> {
    let start = match answer {
        EndlessAnswer::Garbage => String::new(),
        EndlessAnswer::Head => "HTTP/1.1 200 OK\r\nfiller: ".to_owned(),
        EndlessAnswer::Body => {
            format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: endless\r\n\r\n")
        }
    };
    stream.write_all(start.as_bytes()).await?;
    let mut written = 0;
    while written < MAX_BYTES {
        stream.write_all(&CHUNK).await?;
        written += CHUNK.len();
    }
    let detail = format!("{id}: {written} bytes were read of an answer, {answer:?}, without end");
    ledger.record_violation("answers without end are broken off", detail);
    Ok(())
}

/// Returns an answer to a health check whose body goes on until the caller closes the connection.
pub(super) fn endless_health(id: String, ledger: Ledger) -> Response<Body> {
    let (parts, body) = stream_body(1);
    let mut response = Response::new(BoxBody::new(body.map_err(io::Error::other)));
    if let Ok(id) = id.parse() {
        response.headers_mut().insert("instance-id", id);
    }
    tokio::spawn(async move {
        let started_at = Instant::now();
        let mut written = 0;
        while parts.write(Bytes::from_static(&CHUNK)).await.is_ok() {
            written += CHUNK.len();
            if written > MAX_HEALTH_BYTES || started_at.elapsed() > MAX_HEALTH_TIME {
                let detail =
                    format!("{id}: {written} bytes of an answer to a health check were taken");
                ledger.record_violation("answers without end are broken off", detail);
                return;
            }
            sleep(HEALTH_CHUNK_INTERVAL).await;
        }
    });
    response
}
