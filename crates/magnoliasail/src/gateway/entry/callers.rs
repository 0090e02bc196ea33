//! Connections from callers, and the platform's readiness checks.

use {
    super::{
        caller_connection::{ConnectionPhase, serve_connection},
        response_body::ResponseBody,
        state::EntryState,
    },
    crate::{
        events::{EventId, emit},
        gateway::{phase::Phase, sockets::set_caller_socket_options},
    },
    bytes::Bytes,
    futures_util::FutureExt,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, future::pending, io, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        task::yield_now,
        time::sleep,
    },
};

/// Time for which connections are still accepted after the readiness check starts to fail: the
/// platform checks once a second and takes a VM out after two failures.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The connections of callers.
struct CallerConnections {
    state: Rc<EntryState>,
    phase: watch::Sender<ConnectionPhase>,
    /// Held by each connection until it has ended.
    is_open: mpsc::Sender<Infallible>,
}

impl CallerConnections {
    /// Serves a new connection until it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the options of its socket cannot be set.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        set_caller_socket_options(&stream)?;
        let is_open = self.is_open.clone();
        let connection = serve_connection(Rc::clone(&self.state), stream, self.phase.subscribe());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(is_open);
        });
        Ok(())
    }

    /// Serves the connections that are established already, so that closing the listener resets none of them.
    async fn serve_pending(&self, listener: &TcpListener) {
        loop {
            // The runtime looks for what has arrived while the process did not run.
            yield_now().await;
            let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                return;
            };
            if let Err(error) = self.serve(stream) {
                emit(EventId::AcceptFailed, error);
            }
        }
    }

    /// Closes the connections that are idle, and waits until all have ended.
    async fn close(
        self,
        phase: &mut watch::Receiver<Phase>,
        mut all_closed: mpsc::Receiver<Infallible>,
    ) {
        self.phase.send_replace(ConnectionPhase::ClosingIdle);
        drop(self.is_open);
        let close_at_exit = async {
            Phase::Stopping.reached(phase).await;
            self.phase.send_replace(ConnectionPhase::Stopping);
            pending().await
        };
        tokio::select! {
            _ = all_closed.recv() => {}
            () = close_at_exit => {}
        }
    }
}

/// Serves callers until the process drains and the requests in progress have finished.
pub(super) async fn serve_callers(
    state: Rc<EntryState>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
) {
    let (is_open, all_closed) = mpsc::channel(1);
    let connections = CallerConnections {
        state,
        phase: watch::Sender::new(ConnectionPhase::Open),
        is_open,
    };
    {
        let drain_notice_over = async {
            Phase::Draining.reached(&mut phase).await;
            connections.state.start_draining();
            sleep(DRAIN_NOTICE).await;
        };
        tokio::pin!(drain_notice_over);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut drain_notice_over => break,
            };
            if let Err(error) = accepted.and_then(|(stream, _)| connections.serve(stream)) {
                emit(EventId::AcceptFailed, error);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    connections.serve_pending(&listener).await;
    drop(listener);
    connections.close(&mut phase, all_closed).await;
}

/// Responds to the platform's readiness checks: 200 if the entry accepts new connections, 503 if not.
pub(super) async fn serve_readiness(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let state = Rc::clone(&state);
        let service = service_fn(move |_: Request<Incoming>| {
            let status = if state.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            let mut response = Response::new(ResponseBody::complete(Bytes::new()));
            *response.status_mut() = status;
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
    }
}
