//! Connections of callers, and the platform's questions whether the entry is ready.

use {
    super::{answer_body::AnswerBody, request::answer, state::EntryState},
    crate::{
        events::{EventId, emit},
        gateway::sockets::set_socket_options,
    },
    bytes::Bytes,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Time for which connections are still accepted after the entry said that it is not ready: the
/// platform asks once a second and takes a VM out after two misses.
const NOTICE: Duration = Duration::from_millis(2_600);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Time by which an idle connection outlives what callers rely on.
const IDLE_MARGIN_MS: u64 = 1_000;
const BUFFER_BYTES: usize = 32_768;

/// Serves callers until `draining` holds true and what is in progress is finished.
pub(super) async fn serve_callers(
    state: Rc<EntryState>,
    listener: TcpListener,
    mut draining: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let notice_over = async {
        let _ = draining.wait_for(|&is_draining| is_draining).await;
        sleep(NOTICE).await;
    };
    tokio::pin!(notice_over);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut notice_over => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(&state, stream, &graceful),
            Err(error) => {
                emit(EventId::AcceptFailed, error);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(state: &Rc<EntryState>, stream: TcpStream, graceful: &GracefulShutdown) {
    if let Err(error) = set_socket_options(&stream) {
        emit(EventId::AcceptFailed, error);
        return;
    }
    let limits = *state.table.borrow().limits();
    let service = {
        let state = Rc::clone(state);
        service_fn(move |request| answer(Rc::clone(&state), request))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms + IDLE_MARGIN_MS,
        ))
        .max_buf_size(BUFFER_BYTES.max(limits.max_head_bytes))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::task::spawn_local(async move {
        // A connection that ends with an error has told its request by dropping it.
        let _ = connection.await;
    });
}

/// Answers the platform's questions whether the entry takes new connections.
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
            let mut response = Response::new(AnswerBody::whole(Bytes::new()));
            *response.status_mut() = status;
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
    }
}
