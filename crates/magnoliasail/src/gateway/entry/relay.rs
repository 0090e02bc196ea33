//! Relays a stream to a caller event by event.
//!
//! Only complete events are forwarded. If the server fails, a resumable stream continues at another
//! server after the last event that the caller has; any other stream ends early. A server that sends
//! nothing for a while has not failed: its stream goes on unless another server takes over.

use {
    super::{
        attempt::{Attempt, BodyUpdate},
        dispatch::{Dispatch, RespondingServer, StartedResponse},
        in_flight::InFlightGuard,
        response_body::ResponseBody,
        takeover::{Takeover, TakeoverFailure},
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            byte_limit::TooLong,
            metrics::{RetryCause, Stage},
        },
    },
    bytes::BytesMut,
    hyper::{Response, StatusCode},
    magnoliasail_core::gateway::{EventSplitter, RequestKind},
    magnoliasail_wire::{ReaderDropped, StreamWriter, stream_body},
    std::pin::pin,
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
    has_ended: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.has_ended {
            self.log_abort(AbortCause::Stopped);
        }
    }
}

/// How the relay of a stream ended.
enum RelayOutcome {
    Complete,
    /// The stream ended early.
    Aborted(AbortCause),
    CallerGone,
}

/// Why a stream ended early.
#[derive(Clone, Copy, Debug)]
enum AbortCause {
    /// The deadline passed.
    Expired,
    /// The server failed, and the stream was not resumed.
    BrokenOff(TakeoverFailure),
    /// The process exits.
    Stopped,
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
            has_ended: false,
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
            () = sleep_until(deadline) => RelayOutcome::Aborted(AbortCause::Expired),
            outcome = self.relay(&caller) => outcome,
        };
        self.has_ended = true;
        let is_early_end = !matches!(outcome, RelayOutcome::Complete);
        if is_early_end && self.has_forwarded {
            self.dispatch.replicate_aborted_origin(&self.in_flight);
        }
        match outcome {
            RelayOutcome::Complete => {
                self.in_flight.end();
                caller.end();
                let outgoing = &self.dispatch.outgoing;
                let state = &self.dispatch.state;
                state.record_completion(self.in_flight.pick(), outgoing, StatusCode::OK);
                self.dispatch.record_stage(Stage::StreamWhole);
                let server = RespondingServer::new(&self.in_flight);
                self.dispatch.log_answered(StatusCode::OK, &server);
            }
            // Dropping the writer aborts the response.
            RelayOutcome::Aborted(cause) => self.log_abort(cause),
            // Dropping the attempt cancels the request.
            RelayOutcome::CallerGone => {}
        }
    }

    async fn relay(&mut self, caller: &StreamWriter) -> RelayOutcome {
        let mut pending = None;
        loop {
            let next = match (pending.take(), &mut self.attempt) {
                (Some(update), _) => update,
                (None, Some(attempt)) => attempt.next().await,
                (None, None) => BodyUpdate::Aborted,
            };
            let resumption = match next {
                BodyUpdate::Part(bytes) => {
                    if self.forward(&bytes, caller).await.is_err() {
                        return RelayOutcome::CallerGone;
                    }
                    if self.splitter.has_overlong_event() {
                        self.dispatch.state.record_overlong_response(
                            &self.in_flight,
                            TooLong {
                                max_bytes: EventSplitter::MAX_EVENT_BYTES,
                            },
                        );
                        self.resume().await.map(|()| None)
                    } else {
                        Ok(None)
                    }
                }
                BodyUpdate::Stalled => self.replace_stalled().await,
                BodyUpdate::End if !self.splitter.has_partial_event() => {
                    return RelayOutcome::Complete;
                }
                BodyUpdate::Unproven => self.resume_elsewhere().await.map(|()| None),
                BodyUpdate::End | BodyUpdate::Aborted => self.resume().await.map(|()| None),
            };
            match resumption {
                Ok(update) => pending = update,
                Err(failure) => return RelayOutcome::Aborted(AbortCause::BrokenOff(failure)),
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
            self.dispatch.record_origin(&self.in_flight);
        }
        caller.write(part.freeze()).await
    }

    /// Resumes the stream, which its server has broken off, at another server.
    ///
    /// # Errors
    ///
    /// Returns why the stream ends early.
    async fn resume(&mut self) -> Result<(), TakeoverFailure> {
        self.dispatch.record_broken_off(self.in_flight.pick());
        self.resume_elsewhere().await
    }

    /// Resumes the stream at another server after the last event that the caller has.
    ///
    /// # Errors
    ///
    /// Returns why the stream ends early.
    async fn resume_elsewhere(&mut self) -> Result<(), TakeoverFailure> {
        self.attempt = None;
        self.in_flight.end();
        let started = self
            .dispatch
            .find_successor(self.last_event_id, |status| status.is_success())
            .await?;
        self.continue_with(started);
        Ok(())
    }

    /// Looks for another server while the current one sends nothing, and returns the next update of
    /// the current one if that comes first.
    ///
    /// # Errors
    ///
    /// Returns why the stream ends early, if the current attempt fails and there is no other server.
    async fn replace_stalled(&mut self) -> Result<Option<BodyUpdate>, TakeoverFailure> {
        let Some(attempt) = &mut self.attempt else {
            return Ok(None);
        };
        let has_partial_event = self.splitter.has_partial_event();
        let has_failed = |update: &_| match update {
            BodyUpdate::Aborted | BodyUpdate::Unproven => true,
            BodyUpdate::End => has_partial_event,
            BodyUpdate::Part(_) | BodyUpdate::Stalled => false,
        };
        let takeover = {
            let mut current = pin!(attempt.next_after_stall());
            self.dispatch
                .take_over(self.last_event_id, &mut current, has_failed, |status| {
                    status.is_success()
                })
                .await
        };
        match takeover {
            Takeover::NotNeeded(update) => Ok(Some(update)),
            Takeover::Failed(_) => Ok(None),
            Takeover::BothFailed(_, failure) => Err(failure),
            Takeover::Started(started) => {
                self.dispatch.record_failure(self.in_flight.server());
                self.continue_with(started);
                Ok(None)
            }
        }
    }

    /// Replaces the current attempt, which is cancelled, by that of another server.
    fn continue_with(&mut self, started: StartedResponse) {
        self.dispatch.state.metrics.count_retry(RetryCause::Resumed);
        emit(
            EventId::StreamResumed,
            format_args!(
                "request={} server={} software_version={} started_ms={:?} after={:?} left_ms={}",
                self.dispatch.id(),
                started.in_flight.server(),
                started.in_flight.software_version().unwrap_or("-"),
                started.in_flight.pick().started_ms,
                self.last_event_id,
                self.dispatch.left_ms()
            ),
        );
        self.splitter.reset();
        self.attempt = Some(started.attempt);
        self.in_flight = started.in_flight;
    }

    fn log_abort(&self, cause: AbortCause) {
        let (cause, resumption) = match cause {
            AbortCause::Expired => ("expired", "-".to_owned()),
            AbortCause::Stopped => ("stopped", "-".to_owned()),
            AbortCause::BrokenOff(failure) => ("broken_off", failure.to_string()),
        };
        emit(
            EventId::StreamBrokenOff,
            format_args!(
                "request={} server={} software_version={} cause={cause} resumption={resumption} after={:?} left_ms={}",
                self.dispatch.id(),
                self.in_flight.server(),
                self.in_flight.software_version().unwrap_or("-"),
                self.last_event_id,
                self.dispatch.left_ms()
            ),
        );
        self.dispatch.state.metrics.streams_broken.inc();
    }
}
