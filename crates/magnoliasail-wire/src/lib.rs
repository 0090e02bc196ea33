//! Links between magnoliasail's processes.
//!
//! A link is a TCP connection on which both ends have proved that they hold one of the fleet's
//! keys. It carries length-delimited `prost` messages, and empty frames as heartbeats. An end that
//! receives no frame within [`LinkSettings::timeout_ms`] closes the link. This crate only reports
//! the loss of a link; the core decides how to react to it.
//!
//! The crate also provides the body of a streamed response, [`StreamBody`], which ends normally
//! only after its writer has called [`StreamWriter::end`].
//!
//! ```
//! use magnoliasail_wire::LinkKeys;
//!
//! let keys = LinkKeys::new("current-secret").with_next("next-secret");
//! assert!(keys.verify(b"challenge", &LinkKeys::new("next-secret").sign(b"challenge")));
//! assert!(!keys.verify(b"challenge", &LinkKeys::new("other").sign(b"challenge")));
//! ```

mod handshake;
mod keys;
mod link;
mod settings;
mod stream_body;

pub use self::{
    handshake::{accept, connect},
    keys::LinkKeys,
    link::{Link, LinkResult, Outbox},
    settings::LinkSettings,
    stream_body::{ReaderDropped, StreamAborted, StreamBody, StreamWriter, stream_body},
};

use {snafu::Snafu, std::io};

/// An error that prevents a link from opening or closes an open link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The TCP connection failed, or the operating system supplied no random bytes for a nonce.
    #[snafu(display("the connection failed: {source}; check that the peer runs and is reachable"))]
    Connection {
        /// The I/O error of the connection.
        source: io::Error,
    },
    /// The peer's signature matches none of the fleet's keys.
    #[snafu(display(
        "the peer holds none of the fleet's keys; give both ends the same link.key or link.next_key"
    ))]
    Unauthenticated,
    /// The handshake took longer than the timeout, or no frame arrived within it.
    #[snafu(display("no data from the peer within {timeout_ms} ms; the link is opened again"))]
    TimedOut {
        /// The timeout that was exceeded, in milliseconds.
        timeout_ms: u64,
    },
    /// A frame holds no valid message; the ends probably run different releases.
    #[snafu(display("a frame could not be decoded: {source}; run the same release on both ends"))]
    Malformed {
        /// The error of the message decoder.
        source: prost::DecodeError,
    },
}
