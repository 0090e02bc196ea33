//! Answers without end, which a server in trouble sends until the caller closes the connection.

use {
    crate::ledger::Ledger,
    std::io,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Bytes after which the server gives up, and records that its caller goes on reading.
const MAX_BYTES: usize = 64 << 20;
const CHUNK: [u8; 16_384] = [b'x'; 16_384];

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
