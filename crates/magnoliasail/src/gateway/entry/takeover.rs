//! One attempt at a server, and its replacement by another server while it stalls.
//!
//! A server that sends nothing for a while may be sound and go on. Its attempt is given up only once
//! another server has responded; if no other server takes the request, the entry goes on waiting.

use {
    super::{
        attempt::{AttemptOptions, StartOutcome, start_attempt},
        dispatch::{Dispatch, StartedResponse},
        in_flight::InFlightGuard,
        refusal::RefusalCause,
        state::PickedServer,
    },
    crate::{
        events::{EventId, emit},
        gateway::metrics::RetryCause,
    },
    hyper::StatusCode,
    std::{
        fmt::{self, Display, Formatter},
        future::ready,
        pin::pin,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// How an attempt at a server ended.
pub(super) enum AttemptResult {
    /// The attempt ended by itself.
    Ended(StartOutcome, InFlightGuard),
    /// Another server responded while this one stalled, and the attempt was cancelled.
    TakenOver(StartedResponse),
}

/// Why no other server took a request over.
#[derive(Clone, Copy, Debug)]
pub(super) enum TakeoverFailure {
    /// The request may not be repeated, no further server is allowed or the retry budget is spent.
    RetryDenied,
    /// No server took the request.
    Refused(RefusalCause),
    /// The other server answered with an error.
    ErrorStatus(StatusCode),
}

impl Display for TakeoverFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::RetryDenied => formatter.write_str("retry_denied"),
            Self::Refused(cause) => write!(formatter, "refused:{cause}"),
            Self::ErrorStatus(status) => write!(formatter, "status:{}", status.as_u16()),
        }
    }
}

/// How the search for the successor of a stalled attempt ended.
#[expect(
    clippy::large_enum_variant,
    reason = "the value is short-lived, and taken apart where it is returned"
)]
pub(super) enum Takeover<T> {
    /// The stalled attempt went on with this output, and the search was cancelled.
    NotNeeded(T),
    /// Another server responded.
    Started(StartedResponse),
    /// There is no other server, and the stalled attempt is still in progress.
    Failed(TakeoverFailure),
    /// The stalled attempt failed with this output, and there is no other server.
    BothFailed(T, TakeoverFailure),
}

impl Dispatch {
    /// Makes one attempt at a server. Each time that the server stalls, another one is asked to take
    /// over, if a retry is allowed.
    pub(super) async fn make_attempt(
        &mut self,
        pick: &PickedServer,
        resume_after: Option<u64>,
    ) -> AttemptResult {
        let in_flight = InFlightGuard::new(&self.state, pick, &self.outgoing);
        let options = AttemptOptions {
            resume_after,
            may_move: self.may_move,
            has_further_server: self.servers_reached + 1 < self.route.max_servers,
        };
        let state = Rc::clone(&self.state);
        let outgoing = Rc::clone(&self.outgoing);
        let stalled = Notify::new();
        let mut current = pin!(start_attempt(&state, pick, &outgoing, options, &stalled));
        let mut is_counted = false;
        let has_failed = |outcome: &_| !matches!(outcome, StartOutcome::Started { .. });
        let may_respond = |status: StatusCode| !status.is_server_error();
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = &mut current => break outcome,
                () = stalled.notified() => {}
            }
            if !is_counted {
                self.servers_reached += 1;
                is_counted = true;
            }
            match self
                .take_over(resume_after, &mut current, has_failed, may_respond)
                .await
            {
                Takeover::Failed(_) => {}
                Takeover::NotNeeded(outcome) | Takeover::BothFailed(outcome, _) => break outcome,
                Takeover::Started(started) => {
                    self.record_failure(&pick.id);
                    self.state.metrics.count_retry(RetryCause::Stalled);
                    return AttemptResult::TakenOver(started);
                }
            }
            // A stall that was reported during the search needs no search of its own.
            take_permit(&stalled).await;
        };
        if outcome.has_reached_server() && !is_counted {
            self.servers_reached += 1;
        }
        if !matches!(outcome, StartOutcome::Started { .. }) {
            in_flight.end();
        }
        AttemptResult::Ended(outcome, in_flight)
    }

    /// Looks for another server to take over from a stalled attempt, until there is one or the
    /// attempt, `current`, goes on. The caller cancels the attempt once another server has started.
    /// `may_respond` states with which status another server may take over.
    pub(super) async fn take_over<T>(
        &mut self,
        resume_after: Option<u64>,
        current: &mut (impl Future<Output = T> + Unpin),
        has_failed: impl Fn(&T) -> bool,
        may_respond: impl Fn(StatusCode) -> bool,
    ) -> Takeover<T> {
        // The report of the stall may have waited behind other work while the attempt went on.
        tokio::select! {
            biased;
            output = &mut *current => return Takeover::NotNeeded(output),
            () = ready(()) => {}
        }
        let in_flight_before = self.attempts_in_flight;
        // The search may stall and look for a further server, so its future contains itself.
        let mut search = Box::pin(self.find_successor(resume_after, may_respond));
        let takeover = tokio::select! {
            biased;
            output = current => {
                if has_failed(&output) {
                    match search.await {
                        Ok(started) => Takeover::Started(started),
                        Err(failure) => Takeover::BothFailed(output, failure),
                    }
                } else {
                    drop(search);
                    Takeover::NotNeeded(output)
                }
            }
            result = &mut search => {
                drop(search);
                result.map_or_else(Takeover::Failed, Takeover::Started)
            }
        };
        self.abandon_attempts(in_flight_before);
        self.log_takeover(&takeover);
        takeover
    }

    /// Sends the request to further servers until one starts a response with an accepted status.
    /// It takes a retry, which is returned if the request is sent to no server.
    ///
    /// # Errors
    ///
    /// Returns why there is no such response.
    pub(super) async fn find_successor(
        &mut self,
        resume_after: Option<u64>,
        may_respond: impl Fn(StatusCode) -> bool,
    ) -> Result<StartedResponse, TakeoverFailure> {
        if !self.try_retry() {
            return Err(TakeoverFailure::RetryDenied);
        }
        let reached_before = self.servers_reached;
        let result = self.start_response(resume_after).await;
        if self.servers_reached == reached_before {
            self.state.refund_retry(&self.route.service);
        }
        match result {
            Ok(started) if may_respond(started.status) => Ok(started),
            Ok(started) => Err(TakeoverFailure::ErrorStatus(started.status)),
            Err(refusal) => Err(TakeoverFailure::Refused(refusal.cause)),
        }
    }

    /// Accounts for attempts of a search that was cancelled. Each may have reached its server and
    /// run.
    const fn abandon_attempts(&mut self, in_flight_before: u32) {
        let abandoned = self.attempts_in_flight - in_flight_before;
        if abandoned > 0 {
            self.attempts_in_flight = in_flight_before;
            self.servers_reached += abandoned;
            self.may_have_run = true;
        }
    }

    fn log_takeover<T>(&self, takeover: &Takeover<T>) {
        let outcome = match takeover {
            Takeover::NotNeeded(_) => "not_needed".to_owned(),
            Takeover::Started(started) => format!("started server={}", started.in_flight.server()),
            Takeover::Failed(failure) => format!("failed cause={failure}"),
            Takeover::BothFailed(_, failure) => format!("both_failed cause={failure}"),
        };
        emit(
            EventId::TakeoverEnded,
            format_args!(
                "request={} left_ms={} outcome={outcome}",
                self.id(),
                self.left_ms()
            ),
        );
    }
}

/// Takes the permit of a notification that nobody waited for, if there is one.
async fn take_permit(notify: &Notify) {
    tokio::select! {
        biased;
        () = notify.notified() => {}
        () = ready(()) => {}
    }
}
