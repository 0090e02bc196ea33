//! Links between magnoliasail's processes.
//!
//! A link is a TCP connection on which both ends have proved that they hold one of the fleet's
//! keys. It carries length-delimited `prost` messages and empty frames as heartbeats; an end that
//! hears nothing for too long closes it. The crate decides nothing: what a lost link means is up
//! to the core.
//!
//! Beside the links stands the body of a streamed answer, which ends in order only when its writer
//! says so.
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

/// Why a link could not be opened or had to be closed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}; check that the peer runs and is reachable"))]
    Connection {
        /// The cause.
        source: io::Error,
    },
    /// The peer does not hold a key of the fleet.
    #[snafu(display(
        "the peer holds none of the fleet's keys; give both the same link_key or next_link_key"
    ))]
    Unauthenticated,
    /// The peer was silent for too long.
    #[snafu(display("the peer was silent for {timeout_ms} ms; the link is opened anew"))]
    TimedOut {
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// A frame could not be decoded.
    #[snafu(display("a frame could not be decoded: {source}; run the same release on both ends"))]
    Malformed {
        /// The cause.
        source: prost::DecodeError,
    },
}
