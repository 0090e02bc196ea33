//! Kept connections to one server, each with one request at a time.

use {
    super::{
        sockets::{SocketError, connect},
        steady_clock::SteadyClock,
    },
    crate::events::{EventId, emit},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::HeaderMap,
    },
    hyper_util::rt::TokioIo,
    magnoliasail_core::gateway::IdleLimit,
    magnoliasail_platform::headers,
    snafu::Snafu,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Largest answer that is kept in memory whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 << 20;
/// Longest time for which an idle connection is trusted.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time by which a server may close an idle connection earlier than it says.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after sending within which the loss of a connection tells that it had been forgotten.
const SOON: Duration = Duration::from_millis(20);
const READ_BUFFER_BYTES: usize = 16_384;

/// Why a server gave no answer.
#[derive(Debug, Snafu)]
pub(super) enum SendError {
    /// No connection: nothing was sent.
    #[snafu(display("nothing was sent: {source}"))]
    Unconnected {
        /// The cause.
        source: SocketError,
    },
    /// The connections that one process may have are all in use: nothing was sent.
    #[snafu(display("nothing was sent: {open} connections to {address} are open; try another"))]
    Exhausted {
        /// The server.
        address: SocketAddr,
        /// Open connections.
        open: usize,
    },
    /// The connection broke after the request was sent, which may have run.
    #[snafu(display("{address} broke off: {source}; the request may have run"))]
    Broken {
        /// The server.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The answer belongs to another request; this one may have run.
    #[snafu(display("{address} answered another request; this one may have run"))]
    Mismatched {
        /// The server.
        address: SocketAddr,
    },
    /// The answer is too long or broke off.
    #[snafu(display("{address} broke off its answer: {cause}; the request may have run"))]
    Truncated {
        /// The server.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// No answer came in time.
    #[snafu(display("{address} did not answer within {limit_ms} ms"))]
    Silent {
        /// The server.
        address: SocketAddr,
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
}

impl SendError {
    /// Tells whether nothing was sent.
    pub(super) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unconnected { .. } | Self::Exhausted { .. })
    }

    /// Tells whether the server was not even asked, so that the error says nothing of it.
    pub(super) const fn is_pool_exhausted(&self) -> bool {
        matches!(self, Self::Exhausted { .. })
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// How long idle connections are trusted, shared by the pools of one process.
pub(super) type SharedIdleLimit = Rc<RefCell<IdleLimit>>;

struct Idle {
    sender: Sender,
    since: Instant,
    limit: Duration,
}

/// Kept connections to one server.
pub(super) struct Pool {
    address: SocketAddr,
    max_open: Cell<usize>,
    open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Idle>>,
    clock: SteadyClock,
    trust: SharedIdleLimit,
}

/// The head of an answer, with the connection that carries its body.
pub(super) struct ServerResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    sender: Sender,
    pool: Rc<Pool>,
}

impl Pool {
    /// Creates a pool of at most `max_open` connections.
    pub(super) fn new(address: SocketAddr, max_open: usize, trust: SharedIdleLimit) -> Rc<Self> {
        Rc::new(Self {
            address,
            max_open: Cell::new(max_open),
            open: Rc::default(),
            idle: RefCell::default(),
            clock: SteadyClock::new(),
            trust,
        })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// `may_repeat` tells whether a connection that has been idle for long may be used: the server
    /// may have dropped it, and then it is unknown whether the request ran.
    pub(super) async fn send(
        self: &Rc<Self>,
        request: Request<Bytes>,
        request_id: Option<&str>,
        may_repeat: bool,
    ) -> Result<ServerResponse, SendError> {
        let mut request = request.map(Full::new);
        loop {
            let (mut sender, idle_time) = match self.take_idle(may_repeat).await {
                Some((sender, idle_time)) => (sender, Some(idle_time)),
                None => (self.open().await?, None),
            };
            let sent_at = Instant::now();
            let answer = match sender.try_send_request(request).await {
                Ok(answer) => answer,
                Err(mut failure) => match failure.take_message() {
                    // The kept connection had been closed; nothing was sent on it.
                    Some(message) if idle_time.is_some() => {
                        request = message;
                        continue;
                    }
                    _ => {
                        if let Some(idle_time) = idle_time {
                            self.lost(idle_time, sent_at.elapsed());
                        }
                        return Err(SendError::Broken {
                            address: self.address,
                            source: failure.into_error(),
                        });
                    }
                },
            };
            let (head, body) = answer.into_parts();
            if !headers::matches_request(head.status, &head.headers, request_id) {
                return Err(SendError::Mismatched {
                    address: self.address,
                });
            }
            return Ok(ServerResponse {
                status: head.status,
                headers: head.headers,
                body,
                sender,
                pool: Rc::clone(self),
            });
        }
    }

    /// Makes a call and returns the whole answer.
    pub(super) async fn call(
        self: &Rc<Self>,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let whole = async {
            let answer = self.send(request, None, true).await?;
            let status = answer.status;
            let (_, body) = answer.collect().await?;
            Ok((status, body))
        };
        timeout(limit, whole)
            .await
            .unwrap_or(Err(SendError::Silent {
                address: self.address,
                limit_ms: limit.as_millis() as u64,
            }))
    }

    /// Takes the connection that was used last, if it may still be used.
    async fn take_idle(&self, may_repeat: bool) -> Option<(Sender, Duration)> {
        loop {
            let connection = self.idle.borrow_mut().pop()?;
            let limit = if may_repeat {
                connection.limit
            } else {
                connection.limit.min(self.trusted())
            };
            let idle_time = connection.since.elapsed();
            let mut sender = connection.sender;
            // One that has just been given back is ready as soon as its task has run.
            if idle_time < limit && sender.ready().await.is_ok() {
                return Some((sender, idle_time));
            }
        }
    }

    /// Returns for how long a connection may have been idle that carries what must not run twice.
    fn trusted(&self) -> Duration {
        let now_ms = self.clock.now_ms();
        Duration::from_millis(self.trust.borrow().limit_ms(now_ms))
    }

    /// Learns from the loss of a kept connection how long one may be idle.
    fn lost(&self, idle_time: Duration, after: Duration) {
        if after > SOON {
            return;
        }
        let (idle_ms, now_ms) = (idle_time.as_millis() as u64, self.clock.now_ms());
        self.trust.borrow_mut().record_loss(idle_ms, now_ms);
        emit(
            EventId::IdleConnectionLost,
            format_args!("server={} idle_ms={idle_ms}", self.address),
        );
    }

    async fn open(&self) -> Result<Sender, SendError> {
        let open = self.open.get();
        if open >= self.max_open.get() {
            return Err(SendError::Exhausted {
                address: self.address,
                open,
            });
        }
        let guard = OpenGuard::new(&self.open);
        let stream = connect(self.address)
            .await
            .map_err(|source| SendError::Unconnected { source })?;
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|source| SendError::Broken {
            address: self.address,
            source,
        })?;
        tokio::task::spawn_local(async move {
            // What went wrong is told to the request that the connection carried.
            let _ = connection.await;
            drop(guard);
        });
        Ok(sender)
    }

    fn keep(&self, sender: Sender, headers: &HeaderMap) {
        if headers::closes_connection(headers) || sender.is_closed() {
            return;
        }
        let limit = headers::keep_alive_timeout_ms(headers).map_or(IDLE_LIMIT, |limit_ms| {
            Duration::from_millis(limit_ms)
                .saturating_sub(IDLE_MARGIN)
                .min(IDLE_LIMIT)
        });
        self.idle.borrow_mut().push(Idle {
            sender,
            since: Instant::now(),
            limit,
        });
    }
}

impl ServerResponse {
    /// Returns the next part of the body, or nothing when it is whole.
    pub(super) async fn next_part(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
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

    /// Gives the connection back after the body was read to its end.
    pub(super) fn release(self) {
        self.pool.keep(self.sender, &self.headers);
    }

    /// Returns the whole body.
    pub(super) async fn collect(self) -> Result<(HeaderMap, Bytes), SendError> {
        let address = self.pool.address;
        let body = Limited::new(self.body, MAX_WHOLE_BYTES)
            .collect()
            .await
            .map_err(|error| SendError::Truncated {
                address,
                cause: error.to_string(),
            })?
            .to_bytes();
        self.pool.keep(self.sender, &self.headers);
        Ok((self.headers, body))
    }
}

/// Counts a connection as open.
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
