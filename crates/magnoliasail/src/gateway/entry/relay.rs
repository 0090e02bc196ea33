//! Relays a stream to a caller, event by event, and resumes it where its kind allows.

use {
    super::{
        answer_body::AnswerBody,
        attempt::{Attempt, Next},
        dispatch::{Begun, Dispatch},
        in_flight::InFlight,
    },
    crate::{
        events::{EventId, emit},
        gateway::metrics::{RetryCause, Stage},
    },
    bytes::BytesMut,
    hyper::{Response, StatusCode},
    magnoliasail_core::gateway::EventSplitter,
    magnoliasail_wire::{ReaderDropped, StreamWriter, stream_body},
    tokio::time::sleep_until,
};

/// Parts that may wait for a caller that reads slowly.
const WAITING_PARTS: usize = 64;

/// Relays one stream.
pub(super) struct Relay {
    dispatch: Dispatch,
    attempt: Option<Attempt>,
    in_flight: InFlight,
    splitter: EventSplitter,
    last_event: Option<u64>,
}

/// How a relay ended.
enum RelayEnd {
    Complete,
    BrokenOff(&'static str),
    CallerGone,
}

impl Relay {
    /// Starts to relay an answer that has begun.
    pub(super) fn start(dispatch: Dispatch, begun: Begun) -> Response<AnswerBody> {
        let (caller, body) = stream_body(WAITING_PARTS);
        let mut response = Response::new(AnswerBody::Relayed(body));
        *response.status_mut() = begun.status;
        *response.headers_mut() = begun.headers;
        let relay = Self {
            dispatch,
            attempt: Some(begun.attempt),
            in_flight: begun.in_flight,
            splitter: EventSplitter::default(),
            last_event: None,
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
        let end = tokio::select! {
            biased;
            () = caller.closed() => RelayEnd::CallerGone,
            () = sleep_until(deadline) => RelayEnd::BrokenOff("expired"),
            end = self.relay(&caller) => end,
        };
        match end {
            RelayEnd::Complete => {
                caller.end();
                self.dispatch.took(Stage::StreamWhole);
                self.dispatch.log_answered(StatusCode::OK);
            }
            // Dropping the writer breaks the answer off.
            RelayEnd::BrokenOff(cause) => self.log_broken_off(cause),
            // Dropping the attempt withdraws the request.
            RelayEnd::CallerGone => {}
        }
    }

    async fn relay(&mut self, caller: &StreamWriter) -> RelayEnd {
        loop {
            let next = match &mut self.attempt {
                Some(attempt) => attempt.next().await,
                None => Next::Broken,
            };
            match next {
                Next::Part(bytes) => {
                    if self.forward(&bytes, caller).await.is_err() {
                        return RelayEnd::CallerGone;
                    }
                }
                Next::End if !self.splitter.has_partial_event() => return RelayEnd::Complete,
                Next::End | Next::Broken => {
                    if !self.resume().await {
                        return RelayEnd::BrokenOff("broken_off");
                    }
                }
            }
        }
    }

    /// Passes whole events on, as one part.
    async fn forward(&mut self, bytes: &[u8], caller: &StreamWriter) -> Result<(), ReaderDropped> {
        self.splitter.push(bytes);
        let mut part = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let is_repeated =
                matches!((event.id, self.last_event), (Some(id), Some(last)) if id <= last);
            if is_repeated {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            part.extend_from_slice(&event.bytes);
        }
        if part.is_empty() {
            return Ok(());
        }
        caller.write(part.freeze()).await
    }

    /// Goes on at another server after the last event that the caller has.
    async fn resume(&mut self) -> bool {
        self.attempt = None;
        self.splitter.reset();
        self.dispatch.count_failure(self.in_flight.server());
        if !self.dispatch.may_send_again() {
            return false;
        }
        let Ok(begun) = self.dispatch.begin(self.last_event).await else {
            return false;
        };
        if !begun.status.is_success() {
            return false;
        }
        self.dispatch.state.metrics.count_retry(RetryCause::Resumed);
        emit(
            EventId::StreamResumed,
            format_args!(
                "request={} server={} after={:?} left_ms={}",
                self.dispatch.id(),
                begun.in_flight.server(),
                self.last_event,
                self.dispatch.left_ms()
            ),
        );
        self.attempt = Some(begun.attempt);
        self.in_flight = begun.in_flight;
        true
    }

    fn log_broken_off(&self, cause: &'static str) {
        emit(
            EventId::StreamBrokenOff,
            format_args!(
                "request={} server={} cause={cause} after={:?} left_ms={}",
                self.dispatch.id(),
                self.in_flight.server(),
                self.last_event,
                self.dispatch.left_ms()
            ),
        );
        self.dispatch.state.metrics.streams_broken.inc();
    }
}
