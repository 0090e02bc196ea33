//! Listeners that outlive the duties which use them.

use {
    snafu::{ResultExt, Snafu},
    std::net::{SocketAddr, TcpListener},
};

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{address} cannot be listened on: {source}; choose a free address"))]
pub(crate) struct StartError {
    address: String,
    source: std::io::Error,
}

/// Binds a listener that a duty can take over, also after a restart.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub(crate) fn listen(address: &str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).context(StartSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(StartSnafu { address })?;
    Ok(listener)
}

/// Returns the address that a listener got.
///
/// # Errors
///
/// Returns an error if the system cannot tell.
pub(crate) fn local_address(
    listener: &TcpListener,
    address: &str,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(StartSnafu { address })
}

/// Hands a copy of a listener to the runtime of this thread.
///
/// # Panics
///
/// Panics if the system gives no further descriptor.
pub(crate) fn to_tokio_listener(listener: &TcpListener) -> tokio::net::TcpListener {
    let copy = listener.try_clone().expect("a listener can be copied");
    tokio::net::TcpListener::from_std(copy).expect("a runtime takes a listener")
}
