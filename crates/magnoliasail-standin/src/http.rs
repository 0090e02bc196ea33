//! The HTTP server that all stand-ins share.
//!
//! It applies the faults that all stand-ins have in common. `POST /admin/faults` replaces the
//! faults, and `POST /admin/silence` leaves all requests on connections older than its own
//! unanswered.

use {
    crate::{ActiveFaults, Faults},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, service},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto::Builder,
    },
    serde::Serialize,
    std::{
        convert::Infallible,
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The behaviour of one kind of stand-in, which the shared HTTP server calls.
pub trait Server: Send + Sync + 'static {
    /// Returns the current faults.
    fn faults(&self) -> &ActiveFaults;

    /// Answers a request, after the common faults have been applied.
    ///
    /// `path` includes the query. `/admin/faults` and `/admin/silence` never get here.
    fn call(
        self: Arc<Self>,
        method: String,
        path: String,
        request: Request<Bytes>,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Returns `true` while the server is down; new connections are then dropped.
    fn is_down(&self) -> bool {
        false
    }

    /// Resolves at the next simulated crash, which closes the connections that are open by then.
    fn crashed(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Binds a listener to an address, given as `host:port`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts and serves connections of a stand-in until the future is dropped.
pub async fn serve<S: Server>(listener: TcpListener, server: Arc<S>) {
    let silenced_up_to = Arc::new(AtomicU64::new(0));
    let mut connections = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if server.is_down() {
            continue;
        }
        let _ = stream.set_nodelay(true);
        connections += 1;
        let connection = Connection {
            number: connections,
            silenced_up_to: Arc::clone(&silenced_up_to),
            server: Arc::clone(&server),
        };
        let crashing_server = Arc::clone(&server);
        tokio::spawn(async move {
            let service = service::service_fn(move |request| connection.clone().handle(request));
            let builder = Builder::new(TokioExecutor::new());
            let serving = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = serving => {}
                () = crashing_server.crashed() => {}
            }
        });
    }
}

struct Connection<S> {
    /// Number of the connection in the order of acceptance, from 1.
    number: u64,
    /// Highest number of a silenced connection; shared by all connections.
    silenced_up_to: Arc<AtomicU64>,
    server: Arc<S>,
}

impl<S> Clone for Connection<S> {
    fn clone(&self) -> Self {
        Self {
            number: self.number,
            silenced_up_to: Arc::clone(&self.silenced_up_to),
            server: Arc::clone(&self.server),
        }
    }
}

impl<S: Server> Connection<S> {
    fn is_silenced(&self) -> bool {
        self.number <= self.silenced_up_to.load(Ordering::SeqCst)
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, io::Error> {
        let method = request.method().as_str().to_owned();
        let path = request
            .uri()
            .path_and_query()
            .map_or_else(String::new, ToString::to_string);
        let (parts, body) = request.into_parts();
        let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
        if path.starts_with("/admin/") {
            if let Some(response) = self.admin(&path, &bytes) {
                return Ok(response);
            }
        } else {
            self.apply_common_faults().await;
        }
        let request = Request::from_parts(parts, bytes);
        let response = Arc::clone(&self.server).call(method, path, request).await;
        if self.is_silenced() {
            std::future::pending::<()>().await;
        }
        Ok(response)
    }

    /// Applies the faults `lose` and `delay_ms` and the silencing of older connections.
    async fn apply_common_faults(&self) {
        let faults = self.server.faults().get();
        if faults.lose || self.is_silenced() {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }

    fn admin(&self, path: &str, body: &Bytes) -> Option<Response<Body>> {
        match path {
            "/admin/faults" => Some(match serde_json::from_slice::<Faults>(body) {
                Ok(faults) => {
                    self.server.faults().set(faults);
                    json_response(StatusCode::OK, &"set")
                }
                Err(error) => json_response(StatusCode::BAD_REQUEST, &error.to_string()),
            }),
            "/admin/silence" => {
                self.silenced_up_to.store(self.number - 1, Ordering::SeqCst);
                Some(json_response(StatusCode::OK, &"silenced"))
            }
            _ => None,
        }
    }
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(text))
        .map_err(|error: Infallible| match error {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
