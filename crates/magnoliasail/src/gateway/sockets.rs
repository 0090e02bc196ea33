//! Sockets that notice a peer which has gone silent.

use {
    snafu::{ResultExt, Snafu},
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Time for a connection to be established; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged bytes end a connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
const BACKLOG: u32 = 1_024;

/// Why a socket cannot be used.
#[derive(Debug, Snafu)]
pub(super) enum SocketError {
    /// The address cannot be listened on.
    #[snafu(display(
        "{address} cannot be listened on: {source}; check that no other process does"
    ))]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The peer refuses connections.
    #[snafu(display("{address} cannot be connected to: {source}; check that the peer runs"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The peer does not answer.
    #[snafu(display("{address} does not answer; check the network and that the VM runs"))]
    ConnectTimeout {
        /// The address.
        address: SocketAddr,
    },
}

/// Listens on an address.
pub(super) fn listen(address: &str) -> Result<TcpListener, SocketError> {
    let bind = || -> io::Result<TcpListener> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().context(ListenSnafu { address })
}

/// Connects to an address.
pub(super) async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| SocketError::ConnectTimeout { address })?
        .context(ConnectSnafu { address })?;
    set_socket_options(&stream).context(ConnectSnafu { address })?;
    Ok(stream)
}

/// Makes a connection send at once and notice a silent peer.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
