//! HTTP connection pool for one server, with one request at a time on each connection.

use {
    super::{
        byte_limit::{ByteLimit, TooLong},
        server_socket::ServerSocket,
        server_stream::ServerStream,
        sockets::{ConnectSnafu, SocketError, connect},
        steady_clock::SteadyClock,
    },
    crate::events::{EventId, emit},
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
    },
    hyper_util::rt::TokioIo,
    magnoliasail_core::gateway::IdleLimit,
    magnoliasail_platform::headers,
    snafu::{ResultExt, Snafu},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Largest body of a response.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest time for which a connection may be idle before reuse.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Subtracted from the idle timeout that a server announces, as it may close a connection earlier.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// A reused connection that fails within this time after sending had been dropped by the server
/// while it was idle.
const STALE_DETECTION_TIME: Duration = Duration::from_millis(20);
const READ_BUFFER_BYTES: usize = 16_384;

/// Why a server gave no usable response.
#[derive(Debug, Snafu)]
pub(super) enum SendError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("nothing was sent: {source}"))]
    Unconnected {
        /// The error of the connection attempt.
        source: SocketError,
    },
    /// All connections that the pool allows are in use; nothing was sent.
    #[snafu(display(
        "nothing was sent: all {open} connections to {address} are in use; try another server"
    ))]
    Exhausted {
        /// The address of the server.
        address: SocketAddr,
        /// The number of open connections.
        open: usize,
    },
    /// The connection failed while the request was sent or its response head awaited. The request
    /// may have run.
    #[snafu(display("the connection to {address} failed: {source}; the request may have run"))]
    ConnectionLost {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the connection.
        source: hyper::Error,
    },
    /// The response carries the id of another request. This request may have run.
    #[snafu(display("{address} sent the response to another request; this request may have run"))]
    Mismatched {
        /// The address of the server.
        address: SocketAddr,
    },
    /// The response has a status that ends no request.
    #[snafu(display(
        "{address} sent the status {status}, which ends no request; the request may have run"
    ))]
    UnusableStatus {
        /// The address of the server.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The response body is too long or ended early.
    #[snafu(display(
        "the response body from {address} is incomplete: {cause}; the request may have run"
    ))]
    Truncated {
        /// The address of the server.
        address: SocketAddr,
        /// The message of the underlying error.
        cause: String,
    },
    /// The response is longer than a response may be.
    #[snafu(display(
        "the response from {address} is too long: {source}; the request may have run"
    ))]
    Overlong {
        /// The address of the server.
        address: SocketAddr,
        /// The limit.
        source: TooLong,
    },
    /// The complete response did not arrive in time.
    #[snafu(display("{address} did not respond within {limit_ms} ms"))]
    Timeout {
        /// The address of the server.
        address: SocketAddr,
        /// The time limit, in milliseconds.
        limit_ms: u64,
    },
}

impl SendError {
    /// Returns whether nothing was sent, so that the request has not run.
    pub(super) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unconnected { .. } | Self::Exhausted { .. })
    }

    /// Returns whether the server's host refused the connection, so that no process listens at its
    /// address.
    pub(super) fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Unconnected { source: SocketError::Connect { source, .. } }
            if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether no connection was attempted because the pool is exhausted. Such an error
    /// says nothing about the server.
    pub(super) const fn is_pool_exhausted(&self) -> bool {
        matches!(self, Self::Exhausted { .. })
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Adaptive limit on the idle time of connections, shared by the pools of one process.
pub(super) type SharedIdleLimit = Rc<RefCell<IdleLimit>>;

/// An open connection to the server.
struct Connection {
    sender: Sender,
    /// When it was opened. All that arrives on it comes from the process that accepted it.
    opened_at: Instant,
    socket: Rc<ServerSocket>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Idle time after which the connection is not reused.
    max_idle_time: Duration,
}

/// Connection pool for one server.
pub(super) struct Pool {
    address: SocketAddr,
    max_open: Cell<usize>,
    open_count: Rc<Cell<usize>>,
    /// Idle connections; the one used last is at the end.
    idle: RefCell<Vec<IdleConnection>>,
    clock: SteadyClock,
    idle_limit: SharedIdleLimit,
}

/// Head of a server's response, with the connection on which its body arrives.
pub(super) struct ServerResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    limit: ByteLimit,
    connection: Connection,
    pool: Rc<Pool>,
}

/// When the connection was opened on which a response arrived; an extension of the response.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenedAt(pub(super) Instant);

impl Pool {
    /// Creates a pool of at most `max_open` connections, of which none is open yet.
    pub(super) fn new(
        address: SocketAddr,
        max_open: usize,
        idle_limit: SharedIdleLimit,
    ) -> Rc<Self> {
        Rc::new(Self {
            address,
            max_open: Cell::new(max_open),
            open_count: Rc::default(),
            idle: RefCell::default(),
            clock: SteadyClock::new(),
            idle_limit,
        })
    }

    /// Sets the maximum number of open connections. Connections beyond it stay open until they are
    /// idle for too long.
    pub(super) fn set_max_open(&self, max_open: usize) {
        self.max_open.set(max_open);
    }

    /// Sends a request and returns the head of its response.
    ///
    /// If `is_idempotent`, a connection that has been idle for long may be reused. The server may
    /// have dropped it, in which case it is unknown whether the request ran.
    pub(super) async fn send(
        self: &Rc<Self>,
        request: Request<Bytes>,
        request_id: Option<&str>,
        is_idempotent: bool,
    ) -> Result<ServerResponse, SendError> {
        let mut request = request.map(Full::new);
        loop {
            let (mut connection, idle_time) = match self.take_idle(is_idempotent).await {
                Some((connection, idle_time)) => (connection, Some(idle_time)),
                None => (self.open().await?, None),
            };
            let sent_at = Instant::now();
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut failure) => match failure.take_message() {
                    // The idle connection had been closed; nothing was sent on it.
                    Some(unsent_request) if idle_time.is_some() => {
                        request = unsent_request;
                        continue;
                    }
                    _ => {
                        if let Some(idle_time) = idle_time {
                            self.record_loss(idle_time, sent_at.elapsed());
                        }
                        return Err(SendError::ConnectionLost {
                            address: self.address,
                            source: failure.into_error(),
                        });
                    }
                },
            };
            let (head, body) = response.into_parts();
            // No request asks for another protocol.
            if head.status.is_informational() {
                return Err(SendError::UnusableStatus {
                    address: self.address,
                    status: head.status,
                });
            }
            if !headers::matches_request(head.status, &head.headers, request_id) {
                return Err(SendError::Mismatched {
                    address: self.address,
                });
            }
            return Ok(ServerResponse {
                status: head.status,
                headers: head.headers,
                body,
                limit: ByteLimit::new(MAX_BODY_BYTES),
                connection,
                pool: Rc::clone(self),
            });
        }
    }

    /// Sends an idempotent request and returns the complete response, with [`OpenedAt`] among its extensions.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::send`] does, if the body is incomplete or too long, or if all of
    /// it takes longer than `limit`.
    pub(super) async fn call(
        self: &Rc<Self>,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let exchange = async {
            let response = self.send(request, None, true).await?;
            let (status, opened_at) = (response.status, response.opened_at());
            let (headers, body) = response.collect().await?;
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response.extensions_mut().insert(OpenedAt(opened_at));
            Ok(response)
        };
        timeout(limit, exchange)
            .await
            .unwrap_or(Err(SendError::Timeout {
                address: self.address,
                limit_ms: limit.as_millis() as u64,
            }))
    }

    /// Takes the most recently used idle connection that may be reused, and returns it with its
    /// idle time. Connections that have been idle for too long are closed.
    async fn take_idle(&self, is_idempotent: bool) -> Option<(Connection, Duration)> {
        loop {
            let idle = self.idle.borrow_mut().pop()?;
            let max_idle_time = if is_idempotent {
                idle.max_idle_time
            } else {
                idle.max_idle_time.min(self.idle_limit())
            };
            let idle_time = idle.idle_since.elapsed();
            let mut connection = idle.connection;
            // A connection that was just released becomes ready once its task has run.
            if idle_time < max_idle_time && connection.sender.ready().await.is_ok() {
                return Some((connection, idle_time));
            }
        }
    }

    /// Returns how long a connection may be idle before it is reused for a request that must not
    /// run twice.
    fn idle_limit(&self) -> Duration {
        let now_ms = self.clock.now_ms();
        Duration::from_millis(self.idle_limit.borrow().limit_ms(now_ms))
    }

    /// Lowers the idle limit if a reused connection failed so soon after sending that the server
    /// must have dropped it while it was idle.
    fn record_loss(&self, idle_time: Duration, time_since_sending: Duration) {
        if time_since_sending > STALE_DETECTION_TIME {
            return;
        }
        let (idle_ms, now_ms) = (idle_time.as_millis() as u64, self.clock.now_ms());
        self.idle_limit.borrow_mut().record_loss(idle_ms, now_ms);
        emit(
            EventId::IdleConnectionLost,
            format_args!("server={} idle_ms={idle_ms}", self.address),
        );
    }

    async fn open(&self) -> Result<Connection, SendError> {
        let open = self.open_count.get();
        if open >= self.max_open.get() {
            return Err(SendError::Exhausted {
                address: self.address,
                open,
            });
        }
        let guard = OpenGuard::new(&self.open_count);
        let stream = connect(self.address)
            .await
            .map_err(|source| SendError::Unconnected { source })?;
        let opened_at = Instant::now();
        let address = self.address;
        let socket = ServerSocket::new(stream)
            .context(ConnectSnafu { address })
            .context(UnconnectedSnafu)?;
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(ServerStream(Rc::clone(&socket))))
            .await;
        let (sender, connection) = handshake.map_err(|source| SendError::ConnectionLost {
            address: self.address,
            source,
        })?;
        tokio::task::spawn_local(async move {
            // An error is reported to the request that the connection carried.
            let _ = connection.await;
            drop(guard);
        });
        Ok(Connection {
            sender,
            opened_at,
            socket,
        })
    }

    /// Returns a connection to the pool, unless the server closes it.
    fn keep_idle(&self, connection: Connection, headers: &HeaderMap) {
        if headers::closes_connection(headers) || connection.sender.is_closed() {
            return;
        }
        let max_idle_time =
            headers::server_idle_timeout_ms(headers).map_or(MAX_IDLE_TIME, |timeout_ms| {
                Duration::from_millis(timeout_ms)
                    .saturating_sub(IDLE_MARGIN)
                    .min(MAX_IDLE_TIME)
            });
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            max_idle_time,
        });
    }
}

impl ServerResponse {
    /// Returns the next part of the body, or `None` at its end.
    pub(super) async fn next_part(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None if self.is_cut_off() => return Err(self.lost_request()),
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.count(bytes.len())?;
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => {
                    return Err(SendError::Truncated {
                        address: self.pool.address,
                        cause: error.to_string(),
                    });
                }
            }
        }
    }

    /// Returns when the connection was opened on which the response arrives.
    pub(super) const fn opened_at(&self) -> Instant {
        self.connection.opened_at
    }

    /// Returns whether the response has a length or chunks, or cannot have a body, so that its end shows that it
    /// is complete.
    pub(super) fn is_framed(&self) -> bool {
        let has_no_body = matches!(
            self.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        has_no_body
            || self.headers.contains_key(CONTENT_LENGTH)
            || self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns whether the response is a success that ended with its connection before the whole request was sent, or
    /// whether the server has reset the connection. Such a response may have been cut at any place.
    pub(super) fn is_cut_off(&self) -> bool {
        self.status.is_success() && !self.is_framed() && self.connection.socket.is_cut_off()
    }

    /// Returns what shows later whether the server has reset the connection.
    pub(super) fn socket(&self) -> Rc<ServerSocket> {
        Rc::clone(&self.connection.socket)
    }

    /// Returns the error of a response that ended before its request was sent.
    fn lost_request(&self) -> SendError {
        SendError::Truncated {
            address: self.pool.address,
            cause: "the connection ended before the request was sent".to_owned(),
        }
    }

    /// Returns the error of a response that ended with its connection because its server is gone.
    pub(super) fn lost_end(&self) -> SendError {
        SendError::Truncated {
            address: self.pool.address,
            cause: "the connection ended and the server is gone".to_owned(),
        }
    }

    /// Returns the error of a response that another start of the server has sent, or may have.
    pub(super) fn sent_by_other_start(&self) -> SendError {
        SendError::Truncated {
            address: self.pool.address,
            cause: "no report shows that the required start of the server sent it".to_owned(),
        }
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub(super) fn release(self) {
        self.pool.keep_idle(self.connection, &self.headers);
    }

    /// Reads the complete body, and returns the connection to the pool.
    pub(super) async fn collect(mut self) -> Result<(HeaderMap, Bytes), SendError> {
        let mut body = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            body.extend_from_slice(&part);
        }
        self.pool.keep_idle(self.connection, &self.headers);
        Ok((self.headers, body.freeze()))
    }

    /// Reads the rest of the body and discards it, and returns the connection to the pool. It is closed instead if more
    /// than `max_bytes` arrive, or if the end takes longer than `limit`.
    pub(super) async fn discard(
        mut self,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<(), SendError> {
        self.limit = ByteLimit::new(max_bytes);
        let address = self.pool.address;
        let rest = async {
            while self.next_part().await?.is_some() {}
            Ok(())
        };
        let is_over = timeout(limit, rest).await.unwrap_or_else(|_| {
            Err(SendError::Timeout {
                address,
                limit_ms: limit.as_millis() as u64,
            })
        });
        is_over?;
        self.release();
        Ok(())
    }

    /// Counts bytes of the body. The connection of a response that is too long is closed when the response
    /// is dropped.
    fn count(&mut self, bytes: usize) -> Result<(), SendError> {
        let address = self.pool.address;
        self.limit
            .add(bytes)
            .map_err(|source| SendError::Overlong { address, source })
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
