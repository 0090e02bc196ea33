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
    crate::gateway::metrics::RetryCause,
    hyper::StatusCode,
    std::{
        fmt::{self, Display, Formatter},
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
    Failed,
    /// The stalled attempt failed with this output, and there is no other server.
    BothFailed(T, TakeoverFailure),
}

impl Dispatch {
    /// Makes one attempt at a server. Each time that the server stalls, another one is asked to take
    /// over, if a retry is allowed.
    pub(super) async fn attempt(
        &mut self,
        pick: &PickedServer,
        resume_after: Option<u64>,
    ) -> AttemptResult {
        let in_flight = InFlightGuard::new(&self.state, &pick.id);
        let options = AttemptOptions {
            resume_after,
            has_further_server: self.servers_reached + 1 < self.route.max_servers,
        };
        let state = Rc::clone(&self.state);
        let outgoing = Rc::clone(&self.outgoing);
        let stalled = Notify::new();
        let mut current = pin!(start_attempt(&state, pick, &outgoing, options, &stalled));
        let mut is_counted = false;
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
            let has_failed = |outcome: &_| !matches!(outcome, StartOutcome::Started { .. });
            match self.take_over(resume_after, &mut current, has_failed).await {
                Takeover::Failed => {}
                Takeover::NotNeeded(outcome) | Takeover::BothFailed(outcome, _) => break outcome,
                Takeover::Started(started) => {
                    self.record_failure(&pick.id);
                    self.state.metrics.count_retry(RetryCause::Stalled);
                    return AttemptResult::TakenOver(started);
                }
            }
        };
        if outcome.has_reached_server() && !is_counted {
            self.servers_reached += 1;
        }
        AttemptResult::Ended(outcome, in_flight)
    }

    /// Looks for another server to take over from a stalled attempt, until there is one or the
    /// attempt, `current`, goes on. The caller cancels the attempt once another server has started.
    pub(super) async fn take_over<T>(
        &mut self,
        resume_after: Option<u64>,
        current: &mut (impl Future<Output = T> + Unpin),
        has_failed: impl Fn(&T) -> bool,
    ) -> Takeover<T> {
        if !self.try_retry() {
            return Takeover::Failed;
        }
        // The search may stall and look for a further server, so its future contains itself.
        let mut search = Box::pin(self.find_successor(resume_after));
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
                result.map_or(Takeover::Failed, Takeover::Started)
            }
        };
        match takeover {
            Takeover::NotNeeded(_) => self.abandon_successor(),
            Takeover::Failed => self.is_attempt_in_flight = true,
            Takeover::Started(_) | Takeover::BothFailed(..) => {}
        }
        takeover
    }

    /// Sends the request to further servers until one starts a successful response.
    ///
    /// # Errors
    ///
    /// Returns why there is no such response.
    pub(super) async fn find_successor(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse, TakeoverFailure> {
        match self.start_response(resume_after).await {
            Ok(started) if started.status.is_success() => Ok(started),
            Ok(started) => Err(TakeoverFailure::ErrorStatus(started.status)),
            Err(refusal) => Err(TakeoverFailure::Refused(refusal.cause)),
        }
    }

    /// Accounts for a successor whose attempt was cancelled because it is not needed. It may have
    /// reached its server and run.
    const fn abandon_successor(&mut self) {
        if self.is_attempt_in_flight {
            self.servers_reached += 1;
            self.may_have_run = true;
        }
    }
}
