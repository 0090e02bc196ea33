//! The HTTP server that every stand-in shares.

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

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A stand-in as an HTTP server.
pub trait Server: Send + Sync + 'static {
    /// Returns the faults in force.
    fn faults(&self) -> &ActiveFaults;

    /// Answers a call that no fault of the server as a whole has caught.
    fn call(
        self: Arc<Self>,
        method: String,
        path: String,
        request: Request<Bytes>,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Tells whether the server is down, so that new connections are dropped.
    fn is_down(&self) -> bool {
        false
    }

    /// Resolves when connections that are open now must be cut.
    fn crashed(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves a stand-in until the future is dropped.
pub async fn serve<S: Server>(listener: TcpListener, server: Arc<S>) {
    let silenced = Arc::new(AtomicU64::new(0));
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
            silenced: Arc::clone(&silenced),
            server: Arc::clone(&server),
        };
        let cut = Arc::clone(&server);
        tokio::spawn(async move {
            let service = service::service_fn(move |request| connection.clone().handle(request));
            let builder = Builder::new(TokioExecutor::new());
            let serving = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = serving => {}
                () = cut.crashed() => {}
            }
        });
    }
}

struct Connection<S> {
    number: u64,
    silenced: Arc<AtomicU64>,
    server: Arc<S>,
}

impl<S> Clone for Connection<S> {
    fn clone(&self) -> Self {
        Self {
            number: self.number,
            silenced: Arc::clone(&self.silenced),
            server: Arc::clone(&self.server),
        }
    }
}

impl<S: Server> Connection<S> {
    fn is_silent(&self) -> bool {
        self.number <= self.silenced.load(Ordering::SeqCst)
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
            self.suffer().await;
        }
        let request = Request::from_parts(parts, bytes);
        let response = Arc::clone(&self.server).call(method, path, request).await;
        if self.is_silent() {
            std::future::pending::<()>().await;
        }
        Ok(response)
    }

    /// Applies the faults that are the same for every stand-in.
    async fn suffer(&self) {
        let faults = self.server.faults().get();
        if faults.lose || self.is_silent() {
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
                self.silenced.store(self.number - 1, Ordering::SeqCst);
                Some(json_response(StatusCode::OK, &"silenced"))
            }
            _ => None,
        }
    }
}

/// Builds a JSON answer.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(text))
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
