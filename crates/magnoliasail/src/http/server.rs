//! An accept loop that limits connections and the time for a request head, and drains on shutdown.
//!
//! gotham's own server does none of this, so its router runs under this one.

use {
    gotham::{handler::NewHandler, service::call_handler, state::State},
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
    },
    std::{
        panic::{AssertUnwindSafe, RefUnwindSafe, UnwindSafe},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        time::{sleep, timeout},
    },
};

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
const TOO_MANY_CONNECTIONS_JSON: &str = concat!(
    r#"{"error":{"message":"too many connections: reuse connections, or retry later","#,
    r#""type":"server_error","code":"too_many_connections","outcome":"not_run"}}"#
);

/// Limits of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Open connections; further ones are refused with status 503.
    pub(crate) max_connections: usize,
    /// Time within which a connection must send the head of a request.
    pub(crate) head_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 256,
            head_timeout: Duration::from_secs(5),
        }
    }
}

/// Serves a router until `shutdown` becomes true, then completes the requests in flight.
///
/// `on_refused` is called for each connection that exceeds the connection limit.
pub(crate) async fn serve<H, R>(
    listener: TcpListener,
    router: H,
    limits: ServerLimits,
    mut shutdown: watch::Receiver<bool>,
    on_refused: R,
) where
    H: NewHandler + Clone + Send + Sync + UnwindSafe + RefUnwindSafe + 'static,
    R: Fn(),
{
    let connections = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    let router = Arc::new(router);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = shutdown.wait_for(|&is_shutdown| is_shutdown) => break,
        };
        let Ok((stream, address)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            on_refused();
            tokio::spawn(refuse_connection(stream));
            continue;
        };
        // Without TCP_NODELAY, small parts of a stream wait for acknowledgements of earlier ones.
        let _ = stream.set_nodelay(true);
        let router = Arc::clone(&router);
        let service = service_fn(move |request| {
            let state = State::from_request(request, address);
            call_handler(Arc::clone(&router), AssertUnwindSafe(state))
        });
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout);
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn refuse_connection(mut stream: TcpStream) {
    let length = TOO_MANY_CONNECTIONS_JSON.len();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n\
         {TOO_MANY_CONNECTIONS_JSON}"
    );
    let _ = timeout(REFUSAL_TIMEOUT, stream.write_all(response.as_bytes())).await;
}
