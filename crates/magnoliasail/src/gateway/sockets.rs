//! Sockets with timeouts that detect an unresponsive peer.

use {
    snafu::{ResultExt, Snafu},
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Time limit for establishing a connection. It is shorter than the second after which the kernel
/// retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection with unacknowledged data is closed.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The same for connections from callers, which may pause reading.
const CALLER_SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without traffic before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
const LISTEN_BACKLOG: u32 = 1_024;

/// Error when opening a socket.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum SocketError {
    /// Listening on an address failed.
    #[snafu(display(
        "cannot listen on {address}: {source}; check that no other process uses the port"
    ))]
    Listen {
        /// The address to listen on, from the settings.
        address: String,
        /// The error of the system, or of parsing the address.
        source: io::Error,
    },
    /// Connecting to a peer failed.
    #[snafu(display("cannot connect to {address}: {source}; check that the peer is running"))]
    Connect {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The peer did not respond to the connection attempt in time.
    #[snafu(display(
        "connecting to {address} timed out; check the network and that the VM is running"
    ))]
    ConnectTimeout {
        /// The address of the peer.
        address: SocketAddr,
    },
}

/// Listens on an address of the form IP:PORT, IPv4 only.
pub(super) fn listen(address: &str) -> Result<TcpListener, SocketError> {
    let bind = || -> io::Result<TcpListener> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().context(ListenSnafu { address })
}

/// Connects to an address and sets the options of the socket.
pub(super) async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| SocketError::ConnectTimeout { address })?
        .context(ConnectSnafu { address })?;
    set_socket_options(&stream).context(ConnectSnafu { address })?;
    Ok(stream)
}

/// Sets the options of a connection from a caller. A caller that stops reading for some seconds and goes on gets
/// its whole response; one that does not go on is ended by its deadline.
pub(super) fn set_caller_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(CALLER_SEND_TIMEOUT))
}

/// Disables Nagle's algorithm, and sets the timeouts that detect an unresponsive peer.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
