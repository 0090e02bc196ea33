//! A request's way from its route to the beginning of its answer.

use {
    super::{
        answer_body::AnswerBody,
        attempt::{Attempt, Next, Outgoing, Start, start},
        in_flight::InFlight,
        refusal::{RefusalCause, log_refusal, refuse},
        relay::Relay,
        state::{EntryState, Pick},
        waits::{WAIT_POLL, log_wait},
    },
    crate::{
        events::{EventId, emit},
        gateway::metrics::{RetryCause, Stage},
    },
    bytes::BytesMut,
    hyper::{HeaderMap, Response, StatusCode},
    magnoliasail_core::gateway::{Affinity, RouteMatch},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// The longest time for which a request waits for agents that are only just being met.
const MEETING: Duration = Duration::from_millis(600);
/// Recent requests at one entry that make an adapter popular.
const POPULAR_REQUESTS: f64 = 5.0;
/// Agents that are asked before a request is refused.
const MAX_PLACEMENTS: usize = 3;

/// A request on its way to an answer.
pub(super) struct Dispatch {
    pub(super) state: Rc<EntryState>,
    pub(super) route: RouteMatch,
    pub(super) outgoing: Outgoing,
    arrived_ms: u64,
    /// The adapter's full name.
    affinity: String,
    /// Whether the adapter is asked for often here.
    is_popular: bool,
    /// Servers and agents that were asked.
    tried: Vec<Arc<str>>,
    /// Servers to which the request was sent.
    servers_sent: u32,
    /// Whether an attempt is under way that may run the request.
    may_run: bool,
    /// Whether a server has run the request, or may have.
    may_have_run: bool,
}

/// An answer that has begun.
pub(super) struct Begun {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) attempt: Attempt,
    pub(super) in_flight: InFlight,
}

/// Why a dispatch ended without an answer of a server.
pub(super) struct Refused {
    pub(super) cause: RefusalCause,
    pub(super) retry_after_ms: Option<u64>,
}

impl Dispatch {
    /// Creates the dispatch of a request that was read whole.
    pub(super) fn new(
        state: &Rc<EntryState>,
        route: RouteMatch,
        outgoing: Outgoing,
        arrived_ms: u64,
    ) -> Self {
        let adapter = outgoing.facts.adapter.as_deref().unwrap_or_default();
        let model = outgoing.facts.model.as_deref().unwrap_or_default();
        let affinity = format!("{model}/{adapter}");
        let is_popular = match &outgoing.facts.model {
            Some(_) => {
                let requests = state.popularity.borrow_mut().count(&affinity, arrived_ms);
                requests > POPULAR_REQUESTS
            }
            None => true,
        };
        Self {
            state: Rc::clone(state),
            route,
            outgoing,
            arrived_ms,
            affinity,
            is_popular,
            tried: Vec::new(),
            servers_sent: 0,
            may_run: false,
            may_have_run: false,
        }
    }

    /// Sees the request to its answer.
    pub(super) async fn finish(mut self) -> Response<AnswerBody> {
        self.state.count_request(&self.route.service);
        let deadline = self.state.clock.instant(self.outgoing.deadline_ms);
        let outcome = timeout_at(deadline, self.answer()).await;
        let refused = match outcome {
            Ok(Ok(Answered::Whole(response))) => {
                self.took(Stage::PlainWhole);
                self.log_answered(response.status());
                return response;
            }
            Ok(Ok(Answered::Begun(begun))) => {
                self.took(Stage::StreamHead);
                return Relay::start(self, begun);
            }
            Ok(Err(refused)) => refused,
            Err(_) => self.expired(),
        };
        self.log(&refused);
        self.state.metrics.count_refusal(refused.cause.into());
        refuse(refused.cause, refused.retry_after_ms)
    }

    async fn answer(&mut self) -> Result<Answered, Refused> {
        let mut failure = None;
        loop {
            let begun = match (self.begin(None).await, failure.take()) {
                (Ok(begun), _) => begun,
                // The answer that a server gave before says more than a refusal.
                (Err(_), Some(answer)) => return Ok(Answered::Whole(answer)),
                (Err(refused), None) => return Err(refused),
            };
            let is_good = begun.status.is_success();
            if is_good && self.outgoing.kind.is_stream() {
                return Ok(Answered::Begun(begun));
            }
            let is_failed = begun.status.is_server_error();
            let server = Arc::clone(begun.in_flight.server());
            let whole = read_whole(begun).await;
            if is_failed || whole.is_none() {
                self.count_failure(&server);
            }
            if (is_failed || whole.is_none()) && self.may_send_again() {
                let cause = if whole.is_some() {
                    RetryCause::ServerError
                } else {
                    RetryCause::BrokenOff
                };
                self.state.metrics.count_retry(cause);
                failure = whole;
                continue;
            }
            return whole.map(Answered::Whole).ok_or(Refused {
                cause: RefusalCause::BrokenOff,
                retry_after_ms: None,
            });
        }
    }

    /// Sends the request to servers until one begins an answer.
    pub(super) async fn begin(&mut self, resume_after: Option<u64>) -> Result<Begun, Refused> {
        let mut placements = 0;
        let mut retry_after_ms = u64::MAX;
        let mut cause = RefusalCause::NoServer;
        loop {
            let pick = if placements < MAX_PLACEMENTS {
                self.place().await
            } else {
                None
            };
            let Some(pick) = pick else {
                return Err(self.refused(cause, retry_after_ms));
            };
            placements += 1;
            self.tried.push(Arc::clone(&pick.id));
            let in_flight = InFlight::new(&self.state, &pick.id);
            let sent_ms = self.state.clock.now_ms();
            self.may_run = true;
            self.outgoing.has_further_server = self.servers_sent + 1 < self.route.max_servers;
            let started = start(&self.state, &pick, &self.outgoing, resume_after).await;
            match started {
                Start::Head {
                    status,
                    headers,
                    attempt,
                } => {
                    self.servers_sent += 1;
                    self.may_have_run = true;
                    self.count_answer(&pick, status, sent_ms);
                    return Ok(Begun {
                        status,
                        headers,
                        attempt,
                        in_flight,
                    });
                }
                Start::Refused {
                    reason,
                    retry_after_ms: after_ms,
                } => {
                    self.log_attempt(&pick, reason.into());
                    self.state.metrics.count_retry(RetryCause::AgentRefused);
                    cause = RefusalCause::Overloaded;
                    if after_ms > 0 {
                        retry_after_ms = retry_after_ms.min(after_ms);
                    }
                }
                Start::NotRun => {
                    self.log_attempt(&pick, "refused_by_server");
                    self.servers_sent += 1;
                    cause = RefusalCause::ServersRefused;
                    if !self.has_server_left() || !self.state.try_retry(&self.route.service) {
                        self.may_run = false;
                        return Err(self.refused(cause, retry_after_ms));
                    }
                    self.state.metrics.count_retry(RetryCause::ServerRefused);
                }
                Start::Unsent => {
                    self.log_attempt(&pick, "unsent");
                    self.state.metrics.count_retry(RetryCause::Unsent);
                    self.count_failure(&pick.id);
                }
                Start::Broken => {
                    self.log_attempt(&pick, "broken_off");
                    self.servers_sent += 1;
                    self.may_have_run = true;
                    self.count_failure(&pick.id);
                    if !self.may_send_again() {
                        return Err(Refused {
                            cause: RefusalCause::BrokenOff,
                            retry_after_ms: None,
                        });
                    }
                    self.state.metrics.count_retry(RetryCause::BrokenOff);
                }
            }
            self.may_run = false;
        }
    }

    /// Picks a server that was not asked yet; waits for agents that are only just being met if no
    /// other can be asked.
    async fn place(&self) -> Option<Pick> {
        let begun_at = Instant::now();
        let limit = begun_at + MEETING;
        let mut has_waited = false;
        loop {
            let affinity = Affinity {
                key: &self.affinity,
                is_popular: self.is_popular,
            };
            let model = self.outgoing.facts.model.as_ref();
            let pick = self
                .state
                .pick(&self.route.service, model, affinity, &self.tried);
            // Most requests end here: all else looks at every server.
            let may_wait = pick.is_none()
                && self.tried.is_empty()
                && Instant::now() < limit
                && self.state.is_settling(&self.route.service);
            if !may_wait {
                if has_waited {
                    log_wait(Some(self.id()), "agents", begun_at, pick.is_some());
                }
                return pick;
            }
            has_waited = true;
            let _ = timeout(WAIT_POLL, self.state.changes.notified()).await;
        }
    }

    /// Builds the refusal of a request whose time ran out.
    const fn expired(&self) -> Refused {
        let cause = if self.may_run || self.may_have_run {
            RefusalCause::ExpiredRunning
        } else {
            RefusalCause::ExpiredUnrun
        };
        Refused {
            cause,
            retry_after_ms: None,
        }
    }

    /// Builds the refusal of a request that no server took, with the time at which to come back.
    fn refused(&self, cause: RefusalCause, place_in_ms: u64) -> Refused {
        if self.may_have_run {
            return Refused {
                cause: RefusalCause::BrokenOff,
                retry_after_ms: None,
            };
        }
        let return_in_ms = match place_in_ms {
            u64::MAX => self.state.return_in_ms(&self.route.service),
            known_ms => known_ms,
        };
        Refused {
            cause,
            retry_after_ms: Some(return_in_ms),
        }
    }

    /// Tells whether a request that may have run may go to a further server, and spends a retry.
    pub(super) fn may_send_again(&self) -> bool {
        self.outgoing.kind.is_idempotent()
            && self.has_server_left()
            && self.state.try_retry(&self.route.service)
    }

    const fn has_server_left(&self) -> bool {
        self.servers_sent < self.route.max_servers
    }

    fn count_answer(&self, pick: &Pick, status: StatusCode, sent_ms: u64) {
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

    pub(super) fn count_failure(&self, server: &Arc<str>) {
        let now_ms = self.state.clock.now_ms();
        if let Some(server) = self.state.directory.borrow_mut().get_mut(server) {
            server.health.record_failure(now_ms);
        }
    }

    fn log_attempt(&self, pick: &Pick, outcome: &'static str) {
        let left_ms = self.left_ms();
        emit(
            EventId::AttemptFailed,
            format_args!(
                "request={} server={} outcome={outcome} left_ms={left_ms} sent={}",
                self.id(),
                pick.id,
                self.servers_sent
            ),
        );
    }

    /// Logs an answer: each failure of a server, and one of many others.
    pub(super) fn log_answered(&self, status: StatusCode) {
        let is_sampled = self.state.count_answered();
        if !is_sampled && !status.is_server_error() {
            return;
        }
        let took_ms = self.state.clock.now_ms().saturating_sub(self.arrived_ms);
        emit(
            EventId::RequestAnswered,
            format_args!(
                "request={} status={} service={} server={} sent={} took_ms={took_ms}",
                self.id(),
                status.as_u16(),
                self.route.service,
                self.tried.last().map_or("-", |server| server),
                self.servers_sent
            ),
        );
    }

    fn log(&self, refused: &Refused) {
        log_refusal(
            Some(self.id()),
            refused.cause,
            refused.retry_after_ms,
            self.left_ms(),
        );
    }

    /// Records how long a stage took, from the request's arrival.
    pub(super) fn took(&self, stage: Stage) {
        let took_ms = self.state.clock.now_ms().saturating_sub(self.arrived_ms);
        self.state.metrics.observe_stage(stage, took_ms);
    }

    pub(super) fn id(&self) -> &str {
        self.outgoing.facts.id.as_deref().unwrap_or("-")
    }

    pub(super) fn left_ms(&self) -> u64 {
        self.outgoing
            .deadline_ms
            .saturating_sub(self.state.clock.now_ms())
    }
}

enum Answered {
    Whole(Response<AnswerBody>),
    Begun(Begun),
}

/// Reads an answer to its end; nothing if it broke off.
async fn read_whole(begun: Begun) -> Option<Response<AnswerBody>> {
    let Begun {
        status,
        headers,
        mut attempt,
        in_flight,
    } = begun;
    let mut body = BytesMut::new();
    loop {
        match attempt.next().await {
            Next::Part(bytes) => body.extend_from_slice(&bytes),
            Next::End => break,
            Next::Broken => return None,
        }
    }
    drop(in_flight);
    let mut response = Response::new(AnswerBody::whole(body.freeze()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}
