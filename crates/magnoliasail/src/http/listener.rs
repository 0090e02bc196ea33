//! Listening sockets that stay open while the worker that accepts on them is restarted.
//!
//! The process binds a socket once. Each run of a worker gets a duplicate of it, so that a restart
//! neither loses the port nor refuses connections meanwhile.

use {
    snafu::{ResultExt, Snafu},
    std::net::{SocketAddr, TcpListener},
};

/// The error of a daemon that cannot listen on an address of its settings.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; choose a free address of this machine"))]
pub(crate) struct StartError {
    address: String,
    source: std::io::Error,
}

/// Binds a non-blocking listener that every run of a worker can use.
///
/// # Errors
///
/// Returns an error if the address is invalid, in use or not one of this machine.
pub(crate) fn listen(address: &str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).context(StartSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(StartSnafu { address })?;
    Ok(listener)
}

/// Returns the address that a listener is bound to, with the port that the system chose.
///
/// `address` is the configured address, for the error message.
///
/// # Errors
///
/// Returns an error if the operating system does not report the address.
pub(crate) fn local_address(
    listener: &TcpListener,
    address: &str,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(StartSnafu { address })
}

/// Duplicates a listener and registers the duplicate with the Tokio runtime of this thread.
///
/// # Panics
///
/// Panics outside a Tokio runtime, or if the process has no file descriptor left.
pub(crate) fn to_tokio_listener(listener: &TcpListener) -> tokio::net::TcpListener {
    let duplicate = listener.try_clone().expect("the listener is duplicated");
    tokio::net::TcpListener::from_std(duplicate).expect("the runtime registers the listener")
}
