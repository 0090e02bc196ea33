//! A loopback proxy that delays, blocks and resets connections, or discards their traffic.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::sleep,
    },
};

const BUFFER_BYTES: usize = 16_384;
const CONTROL_POLL: Duration = Duration::from_millis(20);

/// How a proxy treats bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards everything.
    #[default]
    Open,
    /// Forwards everything after a delay.
    Delayed {
        /// The delay of each chunk that is read, in milliseconds.
        delay_ms: u64,
    },
    /// Discards bytes in both directions and opens no connection to the target.
    Blocked,
    /// Discards bytes towards the target.
    BlockedToServer,
    /// Discards bytes from the target.
    BlockedFromServer,
}

#[derive(Debug, Default)]
struct Control {
    mode: ProxyMode,
    /// Connections up to this number are reset.
    reset_up_to: u64,
    /// The traffic of connections up to this number is discarded.
    discard_up_to: u64,
    /// Number of the newest connection; they are numbered from 1.
    newest: u64,
}

/// A loopback proxy in front of one target address. Clones control the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    control: Arc<Mutex<Control>>,
}

impl Proxy {
    /// Starts a proxy that listens on `listen`, port 0 for any, and forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            control: Arc::default(),
        };
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().relay(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the proxy treats bytes and connections, also those that are open.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.with(|control| control.mode = mode);
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.with(|control| control.reset_up_to = control.newest);
    }

    /// Discards all further bytes on the open connections without closing them. New connections
    /// work.
    pub fn discard_traffic(&self) {
        self.with(|control| control.discard_up_to = control.newest);
    }

    fn with<T>(&self, act: impl FnOnce(&mut Control) -> T) -> T {
        act(&mut self.control.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn relay(self, stream: TcpStream, target: SocketAddr) {
        let number = self.with(|control| {
            control.newest += 1;
            control.newest
        });
        while self.with(|control| control.mode) == ProxyMode::Blocked {
            sleep(CONTROL_POLL).await;
        }
        let Ok(upstream) = TcpStream::connect(target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (client_read, client_write) = stream.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let forward = self.clone().copy(
            client_read,
            upstream_write,
            number,
            ProxyMode::BlockedToServer,
        );
        let backward = self.clone().copy(
            upstream_read,
            client_write,
            number,
            ProxyMode::BlockedFromServer,
        );
        // A side that fails ends both. Dropping a socket with unread bytes sends a reset. A side that has ended
        // cleanly has passed its end on, and the other one goes on.
        let _ = tokio::try_join!(forward, backward);
    }

    /// Copies bytes until the reading side ends, and passes its end on.
    ///
    /// # Errors
    ///
    /// Returns an error if a side fails or the connection is to be reset.
    async fn copy(
        self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        number: u64,
        blocking_mode: ProxyMode,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = tokio::select! {
                length = read.read(&mut buffer) => length?,
                () = self.wait_for_reset(number) => return Err(io::ErrorKind::ConnectionReset.into()),
            };
            let (mode, is_discarded) =
                self.with(|control| (control.mode, number <= control.discard_up_to));
            if let ProxyMode::Delayed { delay_ms } = mode {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            if length == 0 {
                return write.shutdown().await;
            }
            if is_discarded || mode == ProxyMode::Blocked || mode == blocking_mode {
                // A stream with missing bytes is corrupt, so what follows on it is discarded too.
                // The same holds for all older connections.
                self.with(|control| control.discard_up_to = control.discard_up_to.max(number));
                continue;
            }
            write.write_all(&buffer[..length]).await?;
        }
    }

    async fn wait_for_reset(&self, number: u64) {
        while self.with(|control| number > control.reset_up_to) {
            sleep(CONTROL_POLL).await;
        }
    }
}
