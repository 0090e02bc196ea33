//! State that the tasks of an agent share.
//!
//! Events that may require an action go through [`AgentState::update_scheduler`]. It updates the
//! scheduler of the engine, carries out the resulting actions, and reports changes of the engine's
//! state to the entries.

use {
    super::{
        active_request::ActiveRequest,
        engine::{run_request, send_order},
        fetches::FetchEntries,
        operator_observer::MAX_READ_LAG_MS,
        pauses::new_pauses,
        report_mark::ReportMarks,
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            announcement::record_notice,
            buffer_budget::BufferBudget,
            metrics::{GatewayMetrics, Stage},
            pool::{Pool, SharedIdleLimit},
            steady_clock::SteadyClock,
        },
    },
    hyper::StatusCode,
    magnoliasail_core::gateway::{
        AdapterVersion, Announcement, Configuration, CrashDetector, EngineAction, EngineRefusal,
        EngineReport, EngineScheduler, GrantViews, HoldingsTracker, Order, OrderOutcome,
        Quarantine, QuotaGrants, RecentPauses, SchedulerSettings, SendGrants, ServerLoad,
        ServerNotice, StreamOrigins, VersionHistory,
        message::{ConfigurationCopy, EngineState, FollowView, ToEntry, ToEntryKind},
    },
    magnoliasail_platform::settings::NodeSettings,
    magnoliasail_wire::Outbox,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    strum::IntoEnumIterator,
    tokio::{
        sync::{Notify, watch},
        time::sleep,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Number that identifies a link at its agent.
pub(super) type LinkId = u64;

/// Times without output after which a response of the engine counts as stalled.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallLimits {
    /// Time until the response head.
    pub(super) head: Duration,
    /// Time between two parts of the body.
    pub(super) between_parts: Duration,
}

/// State that the tasks of an agent share.
pub(super) struct AgentState {
    pub(super) settings: Rc<NodeSettings>,
    pub(super) clock: SteadyClock,
    pub(super) pauses: RefCell<RecentPauses>,
    pub(super) metrics: Rc<GatewayMetrics>,
    /// Connections to the engine for requests.
    pub(super) request_pool: Rc<Pool>,
    /// Connections to the engine for reports and orders.
    pub(super) control_pool: Rc<Pool>,
    pub(super) engine_address: SocketAddr,
    /// The bytes that are held for requests.
    pub(super) buffered: Rc<BufferBudget>,
    pub(super) scheduler: RefCell<EngineScheduler>,
    pub(super) crash_detector: RefCell<CrashDetector>,
    /// When plain servers that name a rate may get their next requests.
    pub(super) send_grants: RefCell<SendGrants>,
    /// Which agents the entries may ask for these.
    pub(super) grant_views: RefCell<GrantViews>,
    pub(super) quota_grants: RefCell<QuotaGrants>,
    /// The newest configuration that was read from the store, with its version.
    pub(super) configuration: RefCell<Option<(u64, ConfigurationCopy)>>,
    /// Whether a task waits for the time at which the engine's rate allows the next request.
    pub(super) has_rate_wakeup: Cell<bool>,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) report_marks: watch::Sender<ReportMarks>,
    /// Notified when the next report should be requested at once.
    pub(super) report_requested: Notify,
    /// Queued and running requests by their keys.
    pub(super) active_requests: RefCell<HashMap<u64, ActiveRequest>>,
    pub(super) links: RefCell<HashMap<LinkId, Outbox<ToEntry>>>,
    pub(super) holdings: RefCell<HoldingsTracker>,
    /// The origins of streams that this engine began, and of others that entries sent.
    pub(super) origins: RefCell<StreamOrigins>,
    pub(super) fetch_entries: RefCell<FetchEntries>,
    /// The software versions of services, as entries have listed them.
    pub(super) versions: RefCell<VersionHistory>,
    pub(super) next_key: Cell<u64>,
    next_link: Cell<LinkId>,
    /// Moving average of the time from sending a request to its response head, in milliseconds.
    mean_head_time_ms: Cell<f64>,
    pub(super) is_draining: Cell<bool>,
    /// Whether requests were accepted after the last update of the scheduler.
    was_serving: Cell<bool>,
    /// Whether a base model was being loaded after the last update of the scheduler.
    was_loading: Cell<bool>,
    /// The engine's state that was last sent to all entries.
    pub(super) last_broadcast: Cell<EngineState>,
}

/// Maximum number of connections to the engine for requests; more than the size of any batch.
const MAX_REQUEST_CONNECTIONS: usize = 200;
/// Initial value of the average time until the response head.
const INITIAL_HEAD_TIME_MS: f64 = 100.0;
/// Maximum number of connections to the engine for a report and an order: one each, and as many
/// that are still being closed.
const MAX_CONTROL_CONNECTIONS: usize = 4;

impl AgentState {
    pub(super) fn new(settings: Rc<NodeSettings>, backend: SocketAddr) -> Rc<Self> {
        let scheduler = SchedulerSettings {
            max_outdated_ms: settings
                .version_ms
                .map(|version_ms| version_ms.saturating_sub(MAX_READ_LAG_MS)),
            engine_seed: xxh3_64(settings.vm_name.as_bytes()),
            ..SchedulerSettings::default()
        };
        let idle_limit = SharedIdleLimit::default();
        let buffered = BufferBudget::new(settings.max_buffered_bytes());
        let versions = VersionHistory::new(settings.is_first_start);
        let clock = SteadyClock::new();
        Rc::new(Self {
            settings,
            clock,
            pauses: RefCell::new(new_pauses(clock.now_ms())),
            metrics: GatewayMetrics::new(EngineRefusal::iter().map(Into::into)),
            request_pool: Pool::new(backend, MAX_REQUEST_CONNECTIONS, Rc::clone(&idle_limit)),
            control_pool: Pool::new(backend, MAX_CONTROL_CONNECTIONS, idle_limit),
            engine_address: backend,
            buffered,
            scheduler: RefCell::new(EngineScheduler::new(scheduler)),
            crash_detector: RefCell::default(),
            send_grants: RefCell::default(),
            grant_views: RefCell::default(),
            quota_grants: RefCell::default(),
            configuration: RefCell::default(),
            has_rate_wakeup: Cell::new(false),
            quarantine: RefCell::default(),
            report_marks: watch::Sender::default(),
            report_requested: Notify::new(),
            active_requests: RefCell::default(),
            links: RefCell::default(),
            holdings: RefCell::default(),
            origins: RefCell::default(),
            versions: RefCell::new(versions),
            fetch_entries: RefCell::default(),
            next_key: Cell::new(1),
            next_link: Cell::new(1),
            mean_head_time_ms: Cell::new(INITIAL_HEAD_TIME_MS),
            is_draining: Cell::new(false),
            was_serving: Cell::new(false),
            was_loading: Cell::new(false),
            last_broadcast: Cell::default(),
        })
    }

    /// Returns the number of queued and running requests.
    pub(super) fn load(&self) -> u32 {
        self.scheduler.borrow().load()
    }

    /// Stops accepting requests, and reports this to the entries.
    pub(super) fn drain(&self) {
        self.is_draining.set(true);
        self.broadcast_engine_state();
    }

    /// Adds a link to an entry and returns its id. Sends the holdings and the software versions of services
    /// on it, and the engine's state to all entries, because the number of entries has changed.
    pub(super) fn add_link(&self, outbox: Outbox<ToEntry>) -> LinkId {
        let link = self.next_link.get();
        self.next_link.set(link + 1);
        self.links.borrow_mut().insert(link, outbox);
        let holdings = self.holdings.borrow().snapshot();
        self.send(link, ToEntryKind::Holdings(holdings));
        let now_ms = self.clock.now_ms();
        if self.grant_views.borrow_mut().add_entry(link, now_ms) {
            self.send(link, ToEntryKind::FollowView(FollowView {}));
        }
        self.send_versions(link);
        self.broadcast_engine_state();
        link
    }

    /// Removes a link and cancels its requests.
    pub(super) fn remove_link(self: &Rc<Self>, link: LinkId) {
        self.links.borrow_mut().remove(&link);
        self.remove_fetch_entry(link);
        let now_ms = self.clock.now_ms();
        self.grant_views.borrow_mut().remove_entry(link, now_ms);
        let keys: Vec<u64> = self
            .active_requests
            .borrow()
            .iter()
            .filter(|(_, request)| request.link == link)
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            self.cancel_by_key(key);
        }
    }

    /// Cancels the request with the given attempt number on its link, if it is still active.
    pub(super) fn cancel(self: &Rc<Self>, link: LinkId, attempt: u64) {
        let key = self
            .active_requests
            .borrow()
            .iter()
            .find(|(_, request)| request.link == link && request.submit.attempt == attempt)
            .map(|(&key, _)| key);
        if let Some(key) = key {
            self.cancel_by_key(key);
        }
    }

    fn cancel_by_key(self: &Rc<Self>, key: u64) {
        let request = self.active_requests.borrow_mut().remove(&key);
        if let Some(request) = request
            && let Some(task) = request.task
        {
            // This closes the connection to the engine, which then drops the request.
            task.abort();
            self.record_cancelled(request.submit.suspect);
        }
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.finish(key, false, now_ms, actions);
        });
    }

    /// Refuses what still waits for the engine, because the process exits.
    pub(super) fn refuse_waiting(self: &Rc<Self>) {
        self.refuse_waiting_where(EngineRefusal::Draining, |_| Some(0));
    }

    /// Refuses the waiting requests for which `retry_after_ms` returns a time.
    pub(super) fn refuse_waiting_where(
        self: &Rc<Self>,
        reason: EngineRefusal,
        retry_after_ms: impl Fn(&ActiveRequest) -> Option<u64>,
    ) {
        let refused: Vec<(u64, u64)> = self
            .active_requests
            .borrow()
            .iter()
            .filter(|(_, request)| request.task.is_none())
            .filter_map(|(&key, request)| Some((key, retry_after_ms(request)?)))
            .collect();
        for (key, retry_after_ms) in refused {
            self.execute_action(EngineAction::Refuse {
                key,
                reason,
                retry_after_ms,
            });
            self.update_scheduler(|scheduler, now_ms, actions| {
                scheduler.finish(key, false, now_ms, actions);
            });
        }
    }

    /// Removes a request whose attempt at the engine has ended. `status` is that of the complete
    /// response that was forwarded, if any.
    pub(super) fn finish(self: &Rc<Self>, key: u64, status: Option<StatusCode>) {
        let request = self.active_requests.borrow_mut().remove(&key);
        if let Some(status) = status {
            self.metrics.answered.inc();
            if let Some(suspect) = request.and_then(|request| request.submit.suspect) {
                self.record_completed(suspect, status);
            }
        }
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.finish(key, status.is_some(), now_ms, actions);
        });
    }

    /// Applies the engine limits of the agent's service.
    pub(super) fn apply_configuration(self: &Rc<Self>, configuration: &Configuration) {
        let Some(service) = &self.settings.backend_service else {
            return;
        };
        let engine = configuration.engine_limits(service);
        if let Some(engine) = engine {
            self.scheduler.borrow_mut().configure(engine);
            self.report_requested.notify_one();
        }
    }

    /// Passes the announcement of an adapter version to the scheduler. It counts from `announced_ms`, which is 0 if
    /// that is unknown.
    pub(super) fn announce_version(&self, announced: &AdapterVersion, announced_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.announce(announced, announced_ms, now_ms);
    }

    /// Applies a report that was requested with `ticket`.
    pub(super) fn apply_report(self: &Rc<Self>, report: &EngineReport, ticket: u64) {
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.apply_report(report, ticket, now_ms, actions)
        });
        self.broadcast_holdings_update();
    }

    /// Applies what the engine said in a response about the time that work takes.
    pub(super) fn apply_work_time(&self, load: Option<ServerLoad>) {
        if let Some(percent) = load.and_then(|load| load.work_percent) {
            let now_ms = self.clock.now_ms();
            self.scheduler
                .borrow_mut()
                .record_work_time(percent, now_ms);
        }
    }

    /// Returns the start time of the engine that its last report gave.
    pub(super) fn engine_started_ms(&self) -> Option<u64> {
        self.scheduler.borrow().started_ms()
    }

    /// Returns the time left until the end of the pause that the engine asked for, in milliseconds.
    pub(super) fn pause_left_ms(&self) -> u64 {
        self.scheduler.borrow().pause_left_ms(self.clock.now_ms())
    }

    /// Applies what the engine said in a response to a request that was sent to the start
    /// `started_ms` of it.
    pub(super) fn apply_notice(self: &Rc<Self>, started_ms: Option<u64>, notice: ServerNotice) {
        if notice == ServerNotice::default() {
            return;
        }
        let mut announcement = None;
        self.update_scheduler(|scheduler, now_ms, actions| {
            announcement = scheduler.apply_notice(notice, started_ms, now_ms, actions);
        });
        record_notice(&self.metrics, self.engine_address, notice, announcement);
        if matches!(announcement, Some(Announcement::Pause { .. })) {
            tokio::task::spawn_local(resume_after_pause(Rc::clone(self)));
        }
    }

    /// Refuses queued requests because the engine sends no reports.
    ///
    /// Running requests go on: an engine that is about to exit accepts no connections but completes
    /// the streams on open ones. Each of them ends with its own connection or at its stall timeout.
    pub(super) fn mark_engine_unreachable(self: &Rc<Self>) {
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.mark_unreachable(now_ms, actions)
        });
    }

    /// Logs the outcome of an order, and passes it to the scheduler.
    pub(super) fn record_order_outcome(self: &Rc<Self>, order: &Order, outcome: OrderOutcome) {
        let taken_slots = self.scheduler.borrow().taken_slots();
        emit(
            EventId::OrderGiven,
            format_args!(
                "order={:?} model={} adapter={:?} version={:?} sequence={} token={} taken_slots={taken_slots} \
                 outcome={outcome:?}",
                order.kind,
                order.model,
                order.adapter,
                order.version,
                order.expected_sequence,
                order.fencing_token
            ),
        );
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.record_order_outcome(outcome, now_ms, actions)
        });
        self.metrics.orders.inc();
        self.report_requested.notify_one();
    }

    /// Updates the scheduler with `update` and carries out the actions that result.
    ///
    /// Updates the metrics too. If the engine starts or stops serving, or starts or stops loading a
    /// base model, the entries are notified.
    pub(super) fn update_scheduler<F>(self: &Rc<Self>, update: F)
    where
        F: FnOnce(&mut EngineScheduler, u64, &mut Vec<EngineAction>),
    {
        let mut actions = Vec::new();
        let now_ms = self.clock.now_ms();
        update(&mut self.scheduler.borrow_mut(), now_ms, &mut actions);
        for action in actions {
            self.execute_action(action);
        }
        self.report_fetches(now_ms);
        let (waiting, load) = {
            let scheduler = self.scheduler.borrow();
            (scheduler.waiting() as i64, i64::from(scheduler.load()))
        };
        self.metrics.waiting.set(waiting);
        self.metrics.running.set(load - waiting);
        self.schedule_rate_wakeup(now_ms);
        let is_serving = self.is_serving();
        let is_loading = self.scheduler.borrow().ready_in_ms(now_ms).is_some();
        let was_serving = self.was_serving.replace(is_serving);
        let was_loading = self.was_loading.replace(is_loading);
        if was_serving != is_serving {
            emit(EventId::EngineState, format_args!("serving={is_serving}"));
        }
        if (was_serving, was_loading) != (is_serving, is_loading) {
            self.broadcast_engine_state();
        }
    }

    pub(super) fn execute_action(self: &Rc<Self>, action: EngineAction) {
        match action {
            EngineAction::Start { key } => {
                let task = tokio::task::spawn_local(run_request(Rc::clone(self), key));
                if let Some(request) = self.active_requests.borrow_mut().get_mut(&key) {
                    let waited_ms = self.clock.now_ms().saturating_sub(request.arrived_ms);
                    self.metrics.observe_stage(Stage::EngineWait, waited_ms);
                    self.metrics
                        .observe_stage(Stage::of_engine_wait(request.readiness), waited_ms);
                    request.task = Some(task.abort_handle());
                }
            }
            EngineAction::Refuse {
                key,
                reason,
                retry_after_ms,
            } => {
                let Some(request) = self.active_requests.borrow_mut().remove(&key) else {
                    return;
                };
                emit(
                    EventId::AttemptRefused,
                    format_args!(
                        "request={} reason={reason} retry_after_ms={retry_after_ms} load={}",
                        request.metadata.id.as_deref().unwrap_or("-"),
                        self.load()
                    ),
                );
                self.refuse(request.link, request.submit.attempt, reason, retry_after_ms);
            }
            EngineAction::Order(order) => {
                tokio::task::spawn_local(send_order(Rc::clone(self), order));
            }
        }
    }

    /// Calls `read` with an active request; returns `None` if no request has this key.
    pub(super) fn with_request<T>(
        &self,
        key: u64,
        read: impl FnOnce(&ActiveRequest) -> T,
    ) -> Option<T> {
        self.active_requests.borrow().get(&key).map(read)
    }

    /// Returns the times after which a request's response counts as stalled, or `None` if no other
    /// engine may take over its stream.
    pub(super) fn stall_limits(&self, key: u64) -> Option<StallLimits> {
        /// Constant part of the limit for the response head.
        const MIN_HEAD_LIMIT_MS: f64 = 600.0;
        /// Multiple of the average time until the response head that does not count as a stall.
        const MEAN_TIME_FACTOR: f64 = 4.0;
        /// Lowest rate at which an engine is assumed to process a prompt.
        const MIN_PROMPT_TOKENS_PER_MS: f64 = 15.0;
        /// Longer than any pause between the events of a stream that has not stalled.
        const PART_LIMIT: Duration = Duration::from_millis(900);
        let prompt_tokens = self.with_request(key, |request| {
            request
                .submit
                .is_resumable
                .then_some(request.metadata.prompt_tokens)
        })??;
        let prompt_ms = prompt_tokens as f64 / MIN_PROMPT_TOKENS_PER_MS;
        let head_ms =
            MIN_HEAD_LIMIT_MS + MEAN_TIME_FACTOR * self.mean_head_time_ms.get() + prompt_ms;
        Some(StallLimits {
            head: Duration::from_millis(head_ms as u64),
            between_parts: PART_LIMIT,
        })
    }

    /// Records that a request has produced the head of its response `head_time_ms` milliseconds after
    /// it was sent to the engine.
    pub(super) fn record_head(self: &Rc<Self>, key: u64, head_time_ms: u64) {
        /// Weight of the newest time in the moving average.
        const NEWEST_WEIGHT: f64 = 0.1;
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.record_first_event(key, now_ms, actions);
        });
        let mean_ms = self.mean_head_time_ms.get();
        self.mean_head_time_ms
            .set(mean_ms + NEWEST_WEIGHT * (head_time_ms as f64 - mean_ms));
    }
}

/// Starts queued requests and orders at the end of the pause that the engine asked for.
async fn resume_after_pause(state: Rc<AgentState>) {
    loop {
        let left_ms = state.pause_left_ms();
        if left_ms == 0 {
            break;
        }
        sleep(Duration::from_millis(left_ms)).await;
    }
    state.update_scheduler(|scheduler, now_ms, actions| scheduler.advance(now_ms, actions));
}
