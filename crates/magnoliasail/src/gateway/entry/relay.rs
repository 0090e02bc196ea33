//! Relays a stream to a caller event by event.
//!
//! Only complete events are forwarded. If the server fails, a resumable stream continues at another
//! server after the last event that the caller has; any other stream ends early.

use {
    super::{
        attempt::{Attempt, BodyUpdate},
        dispatch::{Dispatch, StartedResponse},
        in_flight::InFlightGuard,
        response_body::ResponseBody,
    },
    crate::{
        events::{EventId, emit},
        gateway::metrics::{RetryCause, Stage},
    },
    bytes::BytesMut,
    hyper::{Response, StatusCode},
    magnoliasail_core::gateway::{EventSplitter, RequestKind},
    magnoliasail_wire::{ReaderDropped, StreamWriter, stream_body},
    tokio::time::sleep_until,
};

/// Parts that are queued for a caller that reads slowly; when the queue is full, reading from the
/// server pauses.
const PART_QUEUE_CAPACITY: usize = 64;

/// The relay of one stream from a server to a caller.
pub(super) struct StreamRelay {
    dispatch: Dispatch,
    attempt: Option<Attempt>,
    in_flight: InFlightGuard,
    splitter: EventSplitter,
    last_event_id: Option<u64>,
    /// Whether an event of this answer was forwarded to the caller.
    has_forwarded: bool,
}

/// How the relay of a stream ended.
enum RelayOutcome {
    Complete,
    /// The stream ended early, for the given cause.
    Aborted(&'static str),
    CallerGone,
}

impl StreamRelay {
    /// Spawns the relay of a stream that has started; returns the response to the caller.
    pub(super) fn start(dispatch: Dispatch, started: StartedResponse) -> Response<ResponseBody> {
        let (caller, body) = stream_body(PART_QUEUE_CAPACITY);
        let mut response = Response::new(ResponseBody::Relayed(body));
        *response.status_mut() = started.status;
        *response.headers_mut() = started.headers;
        let outgoing = &dispatch.outgoing;
        let last_event_id = outgoing
            .metadata
            .last_event_id
            .filter(|_| outgoing.kind == RequestKind::ResumableStream);
        let relay = Self {
            dispatch,
            attempt: Some(started.attempt),
            in_flight: started.in_flight,
            splitter: EventSplitter::default(),
            last_event_id,
            has_forwarded: false,
        };
        tokio::task::spawn_local(relay.run(caller));
        response
    }

    async fn run(mut self, caller: StreamWriter) {
        let deadline = self
            .dispatch
            .state
            .clock
            .instant(self.dispatch.outgoing.deadline_ms);
        let outcome = tokio::select! {
            biased;
            () = caller.closed() => RelayOutcome::CallerGone,
            () = sleep_until(deadline) => RelayOutcome::Aborted("expired"),
            outcome = self.relay(&caller) => outcome,
        };
        let is_early_end = !matches!(outcome, RelayOutcome::Complete);
        if is_early_end && self.has_forwarded {
            self.dispatch.replicate_origin();
        }
        match outcome {
            RelayOutcome::Complete => {
                caller.end();
                self.dispatch.record_stage(Stage::StreamWhole);
                self.dispatch.log_answered(StatusCode::OK);
            }
            // Dropping the writer aborts the response.
            RelayOutcome::Aborted(cause) => self.log_abort(cause),
            // Dropping the attempt cancels the request.
            RelayOutcome::CallerGone => {}
        }
    }

    async fn relay(&mut self, caller: &StreamWriter) -> RelayOutcome {
        loop {
            let next = match &mut self.attempt {
                Some(attempt) => attempt.next().await,
                None => BodyUpdate::Aborted,
            };
            match next {
                BodyUpdate::Part(bytes) => {
                    if self.forward(&bytes, caller).await.is_err() {
                        return RelayOutcome::CallerGone;
                    }
                }
                BodyUpdate::End if !self.splitter.has_partial_event() => {
                    return RelayOutcome::Complete;
                }
                BodyUpdate::End | BodyUpdate::Aborted => {
                    if !self.resume().await {
                        return RelayOutcome::Aborted("broken_off");
                    }
                }
            }
        }
    }

    /// Forwards the events that these bytes complete, as one part.
    ///
    /// Events that the caller already has are skipped.
    async fn forward(&mut self, bytes: &[u8], caller: &StreamWriter) -> Result<(), ReaderDropped> {
        self.splitter.push(bytes);
        let mut part = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let is_duplicate =
                matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last);
            if is_duplicate {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            part.extend_from_slice(&event.bytes);
        }
        if part.is_empty() {
            return Ok(());
        }
        if !self.has_forwarded {
            self.has_forwarded = true;
            self.dispatch.record_origin();
        }
        caller.write(part.freeze()).await
    }

    /// Resumes the stream at another server after the last event that the caller has; returns
    /// whether it was resumed.
    async fn resume(&mut self) -> bool {
        self.attempt = None;
        self.splitter.reset();
        self.dispatch.record_failure(self.in_flight.server());
        if !self.dispatch.try_retry() {
            return false;
        }
        let Ok(started) = self.dispatch.start_response(self.last_event_id).await else {
            return false;
        };
        if !started.status.is_success() {
            return false;
        }
        self.dispatch.state.metrics.count_retry(RetryCause::Resumed);
        emit(
            EventId::StreamResumed,
            format_args!(
                "request={} server={} software_version={} after={:?} left_ms={}",
                self.dispatch.id(),
                started.in_flight.server(),
                self.dispatch.software_version_text(),
                self.last_event_id,
                self.dispatch.left_ms()
            ),
        );
        self.attempt = Some(started.attempt);
        self.in_flight = started.in_flight;
        true
    }

    fn log_abort(&self, cause: &'static str) {
        emit(
            EventId::StreamBrokenOff,
            format_args!(
                "request={} server={} software_version={} cause={cause} after={:?} left_ms={}",
                self.dispatch.id(),
                self.in_flight.server(),
                self.dispatch.software_version_text(),
                self.last_event_id,
                self.dispatch.left_ms()
            ),
        );
        self.dispatch.state.metrics.streams_broken.inc();
    }
}
