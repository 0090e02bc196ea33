//! An accept loop that bounds connections and time, and shuts down gracefully.
//!
//! gotham's own server does none of these, so its router runs under this one.

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

const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
const TOO_MANY_CONNECTIONS: &str = concat!(
    r#"{"error":{"message":"too many connections: reuse connections, or come back later","#,
    r#""type":"server_error","code":"too_many_connections","outcome":"not_run"}}"#
);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    pub(crate) max_connections: usize,
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

/// Serves a router until `shutdown` holds true, then finishes what is in progress.
pub(crate) async fn serve<H, R>(
    listener: TcpListener,
    router: H,
    limits: ServerLimits,
    mut shutdown: watch::Receiver<bool>,
    refused: R,
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
            Ok(_) = shutdown.wait_for(|&is_down| is_down) => break,
        };
        let Ok((stream, address)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            refused();
            tokio::spawn(refuse(stream));
            continue;
        };
        // Without it, small parts of a stream wait for acknowledgements.
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

async fn refuse(mut stream: TcpStream) {
    let length = TOO_MANY_CONNECTIONS.len();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n\
         {TOO_MANY_CONNECTIONS}"
    );
    let _ = timeout(REFUSAL_TIMEOUT, stream.write_all(answer.as_bytes())).await;
}
