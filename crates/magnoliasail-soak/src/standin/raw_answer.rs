//! Answers that a server in trouble writes byte by byte.

use {
    super::endless::{EndlessAnswer, write_endless},
    crate::ledger::Ledger,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Time from an early answer to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// An answer to the first request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawAnswer {
    /// An answer without end.
    Endless(EndlessAnswer),
    /// A part of an answer that has neither a length nor chunks. The server sends it before it has read the body of
    /// the request, and resets the connection.
    Early(EarlyEnd),
    /// A complete answer with this status.
    Status(&'static str),
}

/// How the connection of an early answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// With a reset.
    Reset,
    /// With a clean end of what the server sends, and a reset a moment later.
    EndThenReset,
}

/// Serves the first request of a connection.
///
/// # Errors
///
/// Returns an error once the caller has closed the connection.
pub(super) async fn serve_raw(
    mut stream: TcpStream,
    answer: RawAnswer,
    part: &str,
    ledger: Ledger,
) -> io::Result<()> {
    let request = read_head(&mut stream).await?;
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "))
        .unwrap_or_default();
    match answer {
        RawAnswer::Endless(answer) => write_endless(stream, answer, id, ledger).await,
        RawAnswer::Early(end) => {
            ledger.record_run(id, "early");
            let head = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: early\r\n\r\n{part}"
            );
            stream.write_all(head.as_bytes()).await?;
            if end == EarlyEnd::EndThenReset {
                stream.shutdown().await?;
            }
            // Dropping a socket with unread bytes sends a reset.
            sleep(RESET_DELAY).await;
            Ok(())
        }
        RawAnswer::Status(status) => {
            ledger.record_run(id, "status");
            let answer = format!(
                "HTTP/1.1 {status} Odd\r\nrequest-id: {id}\r\nresponse-stamp: odd\r\n\
                 content-length: 3\r\nconnection: close\r\n\r\nodd"
            );
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.map(|_| ())
        }
    }
}

/// Returns whether the first request of a connection is one that the server answers well in any case.
pub(super) async fn is_control_request(stream: &TcpStream, answer: RawAnswer) -> bool {
    let mut start = [0; 16];
    let length = stream.peek(&mut start).await.unwrap_or(0);
    let start = &start[..length];
    let is_health_check = start.starts_with(b"GET /healthz");
    start.starts_with(b"GET /report")
        || start.starts_with(b"POST /order")
        || (is_health_check && !matches!(answer, RawAnswer::Endless(_)))
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
