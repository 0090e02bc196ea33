//! One connection of a caller, and how it ends when the process exits.
//!
//! A caller may send its next request at any time while a connection is open, so that a request may be on its way
//! when the entry closes the connection. Such a request gets no answer, and its caller cannot know whether it ran.
//! A draining entry therefore
//!
//! 1. names the end of the connection in each response that begins from then on,
//! 2. reads what has arrived before it closes a connection, and waits for the rest of a request that has arrived in part and
//!    for the first request of a new connection,
//! 3. sends a refusal with the close of an idle connection. A caller whose next request was on its way reads it
//!    as the answer, which says that the request has not run and may be sent elsewhere; any other caller
//!    reads the end of the connection,
//! 4. reads and discards what still arrives until the caller has closed its side, since a socket that is closed with unread
//!    bytes resets the connection, and the caller may lose what was sent to it.

use {
    super::{
        connection_activity::ConnectionActivity,
        observed_body::ObservedBody,
        observed_stream::ObservedStream,
        refusal::{RefusalCause, closing_response},
        request::handle_request,
        state::EntryState,
    },
    crate::events::{EventId, emit},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::poll_fn,
        pin::pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
        task::yield_now,
        time::{sleep, timeout},
    },
};

/// Time for which an idle connection stays open beyond the configured timeout, on which callers
/// rely.
const IDLE_MARGIN_MS: u64 = 1_000;
const MIN_READ_BUFFER_BYTES: usize = 32_768;
/// Time for the first request of a connection that was accepted just before connections are closed. Callers open
/// connections to send at once.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);
/// Time for a caller to read the end of its connection and to close its side.
const LINGER_TIME: Duration = Duration::from_millis(2_000);
const DISCARD_BUFFER_BYTES: usize = 2_048;

/// Which connections of callers a process keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionPhase {
    /// All.
    Open,
    /// Those with a request in progress, or which has arrived in part.
    ClosingIdle,
    /// Those with a request in progress; the process exits in a moment.
    Stopping,
}

impl ConnectionPhase {
    async fn reached(self, current: &mut watch::Receiver<Self>) {
        // The sender lives until all connections have ended.
        let _ = current.wait_for(|&phase| phase >= self).await;
    }
}

/// How a connection ended, seen from the entry.
enum ConnectionEnd {
    /// A response named the end, or the caller closed its side.
    Agreed,
    /// The entry closes the connection, which the caller may be using.
    Closed,
    Failed,
}

/// Serves the requests on a connection until it ends.
pub(super) async fn serve_connection(
    state: Rc<EntryState>,
    stream: TcpStream,
    mut phase: watch::Receiver<ConnectionPhase>,
) {
    let limits = *state.table.borrow().limits();
    let activity = Rc::<ConnectionActivity>::default();
    let service = {
        let (state, activity) = (Rc::clone(&state), Rc::clone(&activity));
        service_fn(move |request: Request<Incoming>| {
            let in_progress = activity.start_request();
            let response = handle_request(Rc::clone(&state), request);
            Box::pin(async move {
                let response = response.await?;
                Ok::<_, Infallible>(response.map(|body| ObservedBody::new(body, in_progress)))
            })
        })
    };
    let stream = ObservedStream::new(stream, Rc::clone(&activity));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms + IDLE_MARGIN_MS,
        ))
        .max_buf_size(MIN_READ_BUFFER_BYTES.max(limits.max_head_bytes))
        .serve_connection(TokioIo::new(stream), service);
    let end = run_until_end(
        |context| connection.poll_without_shutdown(context),
        &activity,
        &mut phase,
    )
    .await;
    let mut stream = connection.into_parts().io.into_inner().into_inner();
    match end {
        // It drops the request in progress, which cancels it.
        ConnectionEnd::Failed => {}
        ConnectionEnd::Agreed => {
            let _ = stream.shutdown().await;
            if *phase.borrow() > ConnectionPhase::Open {
                discard_until_closed(&mut stream).await;
            }
        }
        ConnectionEnd::Closed => refuse_next_request(&state, stream).await,
    }
}

/// Polls a connection until it ends by itself, or may be closed in the current phase.
async fn run_until_end(
    mut poll_connection: impl FnMut(&mut Context<'_>) -> Poll<hyper::Result<()>>,
    activity: &ConnectionActivity,
    phase: &mut watch::Receiver<ConnectionPhase>,
) -> ConnectionEnd {
    tokio::select! {
        biased;
        result = poll_fn(&mut poll_connection) => return ended(&result),
        () = ConnectionPhase::ClosingIdle.reached(phase) => {}
    }
    // The runtime looks for what has arrived while the process did not run.
    yield_now().await;
    let mut run_until = async |may_close: fn(&ConnectionActivity) -> bool| {
        poll_fn(|context| match poll_connection(context) {
            Poll::Ready(result) => Poll::Ready(ended(&result)),
            Poll::Pending if may_close(activity) => Poll::Ready(ConnectionEnd::Closed),
            Poll::Pending => Poll::Pending,
        })
        .await
    };
    let mut first_request_time = pin!(sleep(FIRST_REQUEST_TIME));
    tokio::select! {
        biased;
        end = run_until(ConnectionActivity::is_idle) => return end,
        () = &mut first_request_time => {}
    }
    let may_close = |activity: &ConnectionActivity| activity.is_idle() || activity.is_unused();
    tokio::select! {
        biased;
        end = run_until(may_close) => return end,
        () = ConnectionPhase::Stopping.reached(phase) => {}
    }
    run_until(ConnectionActivity::is_answered).await
}

const fn ended(result: &hyper::Result<()>) -> ConnectionEnd {
    match result {
        Ok(()) => ConnectionEnd::Agreed,
        Err(_) => ConnectionEnd::Failed,
    }
}

/// Closes a connection with a refusal for a request that may be on its way.
async fn refuse_next_request(state: &EntryState, mut stream: TcpStream) {
    let is_sent = stream.write_all(&closing_response()).await.is_ok();
    if !is_sent || stream.shutdown().await.is_err() {
        return;
    }
    let discarded_bytes = discard_until_closed(&mut stream).await;
    if discarded_bytes > 0 {
        let cause = RefusalCause::ConnectionClosed;
        state.metrics.count_refusal(cause.into());
        emit(
            EventId::RequestCrossedClose,
            format_args!("cause={cause} discarded_bytes={discarded_bytes}"),
        );
    }
}

/// Reads until the caller has closed its side, for a limited time; returns the number of bytes.
async fn discard_until_closed(stream: &mut TcpStream) -> usize {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    let reading = async {
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            discarded_bytes += length;
        }
    };
    let _ = timeout(LINGER_TIME, reading).await;
    discarded_bytes
}
