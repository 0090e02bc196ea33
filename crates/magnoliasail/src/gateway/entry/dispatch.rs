//! Sends a request to servers of its service until one responds.
//!
//! Servers are asked in the order of their placement cost. After a refusal, the request has not run
//! and may go to the next one. After a failure at which the request may have run, only an
//! idempotent request goes to another server. Each send after the first takes a retry from the
//! service's budget; asking another agent after one has refused does not.

use {
    super::{
        attempt::{Attempt, OutgoingRequest, StartOutcome},
        collected_response::{Incomplete, collect_response},
        in_flight::InFlightGuard,
        quota_charge::QuotaCharge,
        refusal::{Refusal, RefusalCause, refusal_response},
        relay::StreamRelay,
        response_body::ResponseBody,
        startup_wait::{WAIT_POLL_INTERVAL, log_wait, wait_for_quarantines},
        state::{EntryState, PickedServer, retry_jitter_ms},
        takeover::AttemptResult,
    },
    crate::gateway::{
        metrics::{RetryCause, Stage},
        phase::Phase,
    },
    hyper::{HeaderMap, Response, StatusCode},
    magnoliasail_core::gateway::{EngineRefusal, RouteMatch, VersionConstraint},
    magnoliasail_platform::headers,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout},
};

/// Longest wait of a request for agents that are still connecting or have just connected.
const MAX_AGENT_WAIT: Duration = Duration::from_millis(600);
/// Servers and agents that are asked before a request is refused.
const MAX_PLACEMENTS: usize = 3;

/// A request that is being sent to servers, with the state of its attempts.
pub(super) struct Dispatch {
    pub(super) state: Rc<EntryState>,
    pub(super) route: RouteMatch,
    pub(super) outgoing: Rc<OutgoingRequest>,
    /// The time of arrival by the entry's clock.
    pub(super) arrived_ms: u64,
    /// The full name of the adapter, `model/adapter`, or of the base model.
    affinity_key: String,
    /// Ids of the servers that were asked, or whose agents were.
    pub(super) tried: Vec<Arc<str>>,
    /// Whether agents may hand the request back so that another engine serves it sooner.
    pub(super) may_move: bool,
    /// The software versions that may run the request: one, once the caller has an event of the
    /// stream.
    pub(super) version: VersionConstraint,
    /// Number of servers that received the request.
    pub(super) servers_reached: u32,
    /// Number of attempts in flight, each of which may run the request.
    pub(super) attempts_in_flight: u32,
    /// Whether an earlier attempt has run the request, or may have.
    pub(super) may_have_run: bool,
    /// The server that responded last.
    responding_server: Option<RespondingServer>,
    /// What the request was charged to the quota of its account.
    pub(super) charge: Option<QuotaCharge>,
    /// Whether there is a response or a refusal, so that the caller has not left before it.
    is_answered: bool,
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.is_answered {
            self.log_caller_left();
        }
    }
}

/// A response whose head has arrived.
pub(super) struct StartedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) attempt: Attempt,
    pub(super) in_flight: InFlightGuard,
}

/// The server whose response a caller gets, as logged.
pub(super) struct RespondingServer {
    pub(super) id: Arc<str>,
    pub(super) software_version: Option<Arc<str>>,
}

impl RespondingServer {
    pub(super) fn new(in_flight: &InFlightGuard) -> Self {
        Self {
            id: Arc::clone(in_flight.server()),
            software_version: in_flight.software_version().map(Arc::from),
        }
    }
}

impl Dispatch {
    /// Creates the dispatch of a request that was read completely.
    pub(super) fn new(
        state: &Rc<EntryState>,
        route: RouteMatch,
        outgoing: OutgoingRequest,
        arrived_ms: u64,
    ) -> Self {
        let model = outgoing.metadata.model.as_deref().unwrap_or_default();
        let affinity_key = match &outgoing.metadata.adapter {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.to_owned(),
        };
        Self {
            state: Rc::clone(state),
            route,
            outgoing: Rc::new(outgoing),
            arrived_ms,
            affinity_key,
            tried: Vec::new(),
            version: VersionConstraint::Any,
            servers_reached: 0,
            attempts_in_flight: 0,
            responding_server: None,
            is_answered: false,
            may_have_run: false,
            charge: None,
            may_move: true,
        }
    }

    /// Sends the request and returns its response: complete, as a stream that has started, or a
    /// refusal.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        self.state.count_request(&self.route.service);
        let deadline = self.state.clock.instant(self.outgoing.deadline_ms);
        let mut phase = self.state.phase.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.obtain_response() => outcome,
            () = sleep_until(deadline) => Err(self.expired()),
            () = Phase::Stopping.reached(&mut phase) => Err(self.stopped()),
        };
        self.is_answered = true;
        let refusal = match outcome {
            Ok(ReceivedResponse::Complete(response)) => {
                self.record_stage(Stage::PlainWhole);
                if let Some(server) = &self.responding_server {
                    self.log_answered(response.status(), server);
                }
                return response;
            }
            Ok(ReceivedResponse::Started(started)) => {
                self.record_stage(Stage::StreamHead);
                return StreamRelay::start(self, started);
            }
            Err(refusal) => refusal,
        };
        if refusal.cause.is_not_run() {
            self.refund_quota();
        }
        self.log_refused(&refusal);
        self.state.metrics.count_refusal(refusal.cause.into());
        refusal_response(refusal.cause, refusal.retry_after_ms)
    }

    /// Sends the request until a response is complete and no server error, or no further
    /// attempt is allowed. A stream is returned as soon as it has started.
    async fn obtain_response(&mut self) -> Result<ReceivedResponse, Refusal> {
        self.charge_quota().await?;
        self.restrict_to_origin().await?;
        wait_for_quarantines(&self.state, &self.route.service, self.id()).await;
        let mut error_response = None;
        loop {
            let started = match (self.start_response(None).await, error_response.take()) {
                (Ok(started), _) => started,
                // A server's own error says more to the caller than a refusal.
                (Err(_), Some(response)) => return Ok(ReceivedResponse::Complete(response)),
                (Err(refusal), None) => return Err(refusal),
            };
            let is_success = started.status.is_success();
            if is_success && self.outgoing.kind.is_stream() {
                return Ok(ReceivedResponse::Started(started));
            }
            let status = started.status;
            let is_server_error = status.is_server_error();
            let pick = started.in_flight.pick().clone();
            self.responding_server = Some(RespondingServer::new(&started.in_flight));
            let notice = headers::server_notice(status, &started.headers);
            let collected = collect_response(&self.state, started).await;
            match collected {
                Err(Incomplete::BrokenOff) => self.record_broken_off(&pick),
                Err(Incomplete::Unproven) => {}
                Ok(_) => {
                    self.state.record_completion(&pick, &self.outgoing, status);
                    if is_server_error && notice.pause.is_none() {
                        self.record_failure(&pick.id);
                    }
                }
            }
            let complete = collected.ok();
            if (is_server_error || complete.is_none()) && self.try_retry() {
                let cause = if complete.is_some() {
                    RetryCause::ServerError
                } else {
                    RetryCause::BrokenOff
                };
                self.state.metrics.count_retry(cause);
                error_response = complete;
                continue;
            }
            return complete.map(ReceivedResponse::Complete).ok_or(Refusal {
                cause: RefusalCause::BrokenOff,
                retry_after_ms: None,
            });
        }
    }

    /// Sends the request to one server after another until one starts a response.
    ///
    /// `resume_after` is the id of the last event that the caller has, if a stream is resumed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no server is left, the retry budget is used up, or the request may have
    /// run and is not idempotent.
    pub(super) async fn start_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse, Refusal> {
        let mut placements = 0;
        let mut retry_after_ms = u64::MAX;
        let mut cause = RefusalCause::NoServer;
        let mut handed_back = Vec::new();
        loop {
            // It may be quarantined between two attempts too.
            if let Some(left_ms) = self.state.quarantine_left_ms(&self.outgoing.suspect) {
                return Err(self.refusal(RefusalCause::Quarantined, left_ms));
            }
            let mut pick = None;
            if placements < MAX_PLACEMENTS {
                pick = self.next_server().await;
            }
            if pick.is_none() && !handed_back.is_empty() {
                // No engine serves it in time: it stays with the one that serves it soonest.
                let handed_back = std::mem::take(&mut handed_back);
                self.tried.retain(|id| !handed_back.contains(id));
                self.may_move = false;
                pick = self.next_server().await;
            }
            let Some(pick) = pick else {
                if placements == 0 {
                    cause = self
                        .state
                        .no_server_cause(&self.route.service, &self.version);
                }
                return Err(self.refusal(cause, retry_after_ms));
            };
            placements += 1;
            if let Err(wait_ms) = self.state.permit_send(&pick, &self.outgoing).await {
                self.log_failed_attempt(&pick, "rate_limited");
                cause = RefusalCause::ServersLimited;
                retry_after_ms = retry_after_ms.min(wait_ms + retry_jitter_ms());
                continue;
            }
            self.tried.push(Arc::clone(&pick.id));
            let sent_ms = self.state.clock.now_ms();
            self.attempts_in_flight += 1;
            let result = self.make_attempt(&pick, resume_after).await;
            self.attempts_in_flight -= 1;
            let (outcome, in_flight) = match result {
                AttemptResult::Ended(outcome, in_flight) => (outcome, in_flight),
                AttemptResult::TakenOver(started) => return Ok(started),
            };
            match outcome {
                StartOutcome::Started {
                    status,
                    headers,
                    attempt,
                } => {
                    self.may_have_run = true;
                    self.record_response_head(&pick, status, sent_ms);
                    return Ok(StartedResponse {
                        status,
                        headers,
                        attempt,
                        in_flight,
                    });
                }
                StartOutcome::RefusedByAgent {
                    reason,
                    retry_after_ms: agent_retry_after_ms,
                } => {
                    self.log_failed_attempt(&pick, reason.into());
                    self.state.metrics.count_retry(RetryCause::AgentRefused);
                    cause = RefusalCause::of_agent(reason);
                    if reason == EngineRefusal::LateHere {
                        handed_back.push(Arc::clone(&pick.id));
                    }
                    if cause == RefusalCause::Quarantined {
                        self.state.contest_quarantine(&pick, &self.outgoing.suspect);
                        return Err(self.refusal(cause, agent_retry_after_ms));
                    }
                    if agent_retry_after_ms > 0 {
                        retry_after_ms = retry_after_ms.min(agent_retry_after_ms);
                    }
                }
                StartOutcome::RefusedByServer => {
                    self.log_failed_attempt(&pick, "refused_by_server");
                    cause = RefusalCause::ServersRefused;
                    if !self.has_server_left() || !self.state.try_retry(&self.route.service) {
                        return Err(self.refusal(cause, retry_after_ms));
                    }
                    self.state.metrics.count_retry(RetryCause::ServerRefused);
                }
                StartOutcome::Unsent => {
                    self.log_failed_attempt(&pick, "unsent");
                    self.state.metrics.count_retry(RetryCause::Unsent);
                    self.record_failure(&pick.id);
                }
                StartOutcome::Aborted => {
                    self.log_failed_attempt(&pick, "broken_off");
                    self.may_have_run = true;
                    self.record_broken_off(&pick);
                    if !self.try_retry() {
                        return Err(Refusal {
                            cause: RefusalCause::BrokenOff,
                            retry_after_ms: None,
                        });
                    }
                    self.state.metrics.count_retry(RetryCause::BrokenOff);
                }
            }
        }
    }

    /// Picks a server that was not asked yet.
    ///
    /// If no server was asked and none can be, it waits for agents that are still connecting or
    /// have just connected.
    async fn next_server(&self) -> Option<PickedServer> {
        let started_at = Instant::now();
        let limit = started_at + MAX_AGENT_WAIT;
        let mut has_waited = false;
        loop {
            let pick = self.state.pick(
                &self.route.service,
                &self.affinity_key,
                &self.outgoing,
                &self.version,
                &self.tried,
            );
            // Most requests have a pick; the last check, which looks at every server, is for the
            // rest.
            let may_wait = pick.is_none()
                && self.tried.is_empty()
                && Instant::now() < limit
                && self
                    .state
                    .has_starting_engine(&self.route.service, &self.version);
            if !may_wait {
                if has_waited {
                    log_wait(Some(self.id()), "agents", started_at, pick.is_some());
                }
                return pick;
            }
            has_waited = true;
            let _ = timeout(WAIT_POLL_INTERVAL, self.state.changes.notified()).await;
        }
    }

    /// Creates the refusal of a request whose deadline has passed.
    const fn expired(&self) -> Refusal {
        let cause = if self.attempts_in_flight > 0 || self.may_have_run {
            RefusalCause::ExpiredRunning
        } else {
            RefusalCause::ExpiredUnrun
        };
        Refusal {
            cause,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that can't be completed before the process exits.
    fn stopped(&self) -> Refusal {
        if self.attempts_in_flight > 0 || self.may_have_run {
            return Refusal {
                cause: RefusalCause::StoppedRunning,
                retry_after_ms: None,
            };
        }
        Refusal {
            cause: RefusalCause::StoppedUnrun,
            retry_after_ms: Some(
                self.state
                    .retry_after_ms(&self.route.service, &self.version),
            ),
        }
    }

    /// Creates the refusal of a request that no server accepted, with the time after which to
    /// retry: the least that an agent gave, or an estimate if `agent_retry_after_ms` is `u64::MAX`.
    pub(super) fn refusal(&self, cause: RefusalCause, agent_retry_after_ms: u64) -> Refusal {
        if self.may_have_run {
            return Refusal {
                cause: RefusalCause::BrokenOff,
                retry_after_ms: None,
            };
        }
        let retry_after_ms = match agent_retry_after_ms {
            u64::MAX => self
                .state
                .retry_after_ms(&self.route.service, &self.version),
            known_ms => known_ms,
        };
        Refusal {
            cause,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns whether a request that may have run may be sent to another server; if so, it takes
    /// one retry from the budget of the service.
    pub(super) fn try_retry(&self) -> bool {
        self.outgoing.kind.is_idempotent()
            && self.has_server_left()
            && self.state.try_retry(&self.route.service)
    }

    const fn has_server_left(&self) -> bool {
        self.servers_reached < self.route.max_servers
    }

    /// Records the server's time to first byte, unless the response is a server error.
    fn record_response_head(&self, pick: &PickedServer, status: StatusCode, sent_ms: u64) {
        let now_ms = self.state.clock.now_ms();
        if status.is_server_error() {
            return;
        }
        if let Some(server) = self.state.directory.borrow_mut().get_mut(&pick.id) {
            server
                .health
                .record_success(now_ms.saturating_sub(sent_ms), now_ms);
        }
    }

    /// Records that a server broke off the request. The agent of an engine finds out whether the engine
    /// has crashed; a plain server has none.
    pub(super) fn record_broken_off(&self, pick: &PickedServer) {
        self.record_failure(&pick.id);
        if !pick.is_engine {
            self.state.record_plain_crash(pick, &self.outgoing.suspect);
        }
    }

    pub(super) fn record_failure(&self, server: &Arc<str>) {
        let now_ms = self.state.clock.now_ms();
        if let Some(server) = self.state.directory.borrow_mut().get_mut(server) {
            server.health.record_failure(now_ms);
        }
    }

    pub(super) fn id(&self) -> &str {
        self.outgoing.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the time left to the deadline, in milliseconds.
    pub(super) fn left_ms(&self) -> u64 {
        self.outgoing
            .deadline_ms
            .saturating_sub(self.state.clock.now_ms())
    }
}

/// The response of a server: complete, or a stream that has started.
#[expect(
    clippy::large_enum_variant,
    reason = "the value is short-lived, and taken apart where it is returned"
)]
enum ReceivedResponse {
    Complete(Response<ResponseBody>),
    /// A stream whose head has arrived.
    Started(StartedResponse),
}
