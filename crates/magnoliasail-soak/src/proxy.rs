//! A loopback proxy that delays, resets, cuts and silences connections.

use {
    std::{
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
const HELD_POLL: Duration = Duration::from_millis(20);

/// What a proxy does to bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes everything on, later.
    Delayed {
        /// The delay, in milliseconds.
        delay_ms: u64,
    },
    /// Passes nothing on in either direction and accepts nothing.
    Blocked,
    /// Passes nothing on towards the server.
    BlockedToServer,
    /// Passes nothing back from the server.
    BlockedFromServer,
}

#[derive(Debug, Default)]
struct Control {
    mode: ProxyMode,
    /// Connections opened before this number are reset or silenced.
    reset_before: u64,
    silent_before: u64,
    next: u64,
}

/// A loopback proxy before one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    control: Arc<Mutex<Control>>,
}

impl Proxy {
    /// Starts a proxy on `listen` before `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = Self {
            control: Arc::default(),
        };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().relay(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Changes what the proxy does.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.with(|control| control.mode = mode);
    }

    /// Resets the connections that are open.
    pub fn reset_connections(&self) {
        self.with(|control| control.reset_before = control.next);
    }

    /// Silences the connections that are open for good; new ones work.
    pub fn discard_traffic(&self) {
        self.with(|control| control.silent_before = control.next);
    }

    fn with<T>(&self, act: impl FnOnce(&mut Control) -> T) -> T {
        act(&mut self.control.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn relay(self, stream: TcpStream, target: SocketAddr) {
        let number = self.with(|control| {
            control.next += 1;
            control.next
        });
        while self.with(|control| control.mode) == ProxyMode::Blocked {
            sleep(HELD_POLL).await;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = stream.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = self.clone().copy(
            client_read,
            server_write,
            number,
            ProxyMode::BlockedToServer,
        );
        let backward = self.clone().copy(
            server_read,
            client_write,
            number,
            ProxyMode::BlockedFromServer,
        );
        // Whichever side ends first ends both: what is dropped with bytes unread is a reset.
        tokio::select! {
            () = forward => {}
            () = backward => {}
        }
    }

    async fn copy(
        self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        number: u64,
        cut: ProxyMode,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = tokio::select! {
                length = read.read(&mut buffer) => length.unwrap_or(0),
                () = self.until_reset(number) => return,
            };
            if length == 0 {
                return;
            }
            let (mode, is_silent) =
                self.with(|control| (control.mode, number <= control.silent_before));
            if let ProxyMode::Delayed { delay_ms } = mode {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            if is_silent || mode == ProxyMode::Blocked || mode == cut {
                // Lost for good: a connection whose bytes went missing never works again.
                self.with(|control| control.silent_before = control.silent_before.max(number));
                continue;
            }
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn until_reset(&self, number: u64) {
        while self.with(|control| number > control.reset_before) {
            sleep(HELD_POLL).await;
        }
    }
}
