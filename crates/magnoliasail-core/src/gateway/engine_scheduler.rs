//! The scheduler of one model engine: starts requests, orders loads and refuses excess requests.
//!
//! The first request for a missing adapter triggers the order to load it; further requests for the
//! same adapter share that load. Requests that can still meet their latency objective start before
//! those that cannot; within each group, rank decides. A request that cannot finish in time is
//! refused at once, with an estimate of when to retry.
//!
//! The scheduler is a state machine: each input appends the resulting [`EngineAction`]s to a list,
//! which the agent carries out.

use {
    super::{
        AdapterSlots, Announcement, Eligibility, EngineAction, EngineLimits, EngineReport,
        EngineRequest, OrderKind, OrderOutcome, RateChange, RateSource, RateStatement, RequestRate,
        SchedulerSettings, ServerNotice, VersionedAdapter, WorkTime, adapter_key,
        adapter_version::adapter_name,
        base_models::BaseModels,
        engine_queue::EngineQueue,
        engine_refusals::is_loaded,
        fetch_control::FetchControl,
        host_copies::HostCopies,
        load_times::LoadTimes,
        order_tracker::{OrderTracker, PendingOrder},
        replacements::Replacements,
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Schedules requests and loads of one model engine.
#[derive(Debug)]
pub struct EngineScheduler {
    pub(super) settings: SchedulerSettings,
    pub(super) limits: EngineLimits,
    pub(super) adapters: AdapterSlots,
    /// Adapters that left their slots and that the engine's host still caches.
    pub(super) copies: HostCopies,
    pub(super) replacements: Replacements,
    pub(super) models: BaseModels,
    pub(super) load_times: LoadTimes,
    pub(super) queue: EngineQueue,
    pub(super) orders: OrderTracker,
    pub(super) started_ms: Option<u64>,
    pub(super) restarts: u64,
    /// Whether this start of the engine may get new work.
    pub(super) eligibility: Eligibility,
    pub(super) work_time: WorkTime,
    pub(super) fetches: FetchControl,
}

impl EngineScheduler {
    /// Creates a scheduler for an engine that has not reported yet.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            limits: EngineLimits::default(),
            adapters: AdapterSlots::default(),
            copies: HostCopies::default(),
            replacements: Replacements::default(),
            models: BaseModels::default(),
            load_times: LoadTimes::default(),
            queue: EngineQueue::new(settings.initial_run_ms),
            orders: OrderTracker::default(),
            started_ms: None,
            restarts: 0,
            eligibility: Eligibility::default(),
            work_time: WorkTime::default(),
            fetches: FetchControl::default(),
        }
    }

    /// Sets the limits of the engine.
    pub fn configure(&mut self, limits: EngineLimits) {
        self.limits = limits;
    }

    /// Returns the number of running and waiting requests.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns how often the engine was found to have restarted.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Returns whether new requests can start.
    #[must_use]
    pub fn is_serving(&self, now_ms: TimeMs) -> bool {
        self.eligibility.check(now_ms).is_ok() && !self.models.is_empty()
    }

    /// Returns whether the engine gets no new work until it starts anew, because it is draining or
    /// has said that it is leaving.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        self.eligibility.is_ending()
    }

    /// Returns the time left until the end of the pause that the engine asked for, in milliseconds; 0
    /// if there is none.
    #[must_use]
    pub const fn pause_left_ms(&self, now_ms: TimeMs) -> u64 {
        self.eligibility.pause_left_ms(now_ms)
    }

    /// Returns the rate of requests that the engine names, if any.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.eligibility.limit().rate()
    }

    /// Returns the time until the engine may get a request of this rank that arrives now, under the rate that
    /// it names, in milliseconds.
    #[must_use]
    pub fn rate_wait_ms(&self, rank: u32, now_ms: TimeMs) -> u64 {
        let ahead = self.queue.waiting_up_to(rank) as u64;
        self.eligibility.limit().wait_ms(ahead, now_ms)
    }

    /// Returns the time until a waiting request may start under the rate that the engine names, in
    /// milliseconds; `None` if the rate holds back none.
    #[must_use]
    pub fn rate_delay_ms(&self, now_ms: TimeMs) -> Option<u64> {
        let wait_ms = self.eligibility.limit().wait_ms(0, now_ms);
        (wait_ms > 0 && self.queue.waiting() > 0).then_some(wait_ms)
    }

    /// Returns the start time of the engine that its last report gave.
    #[must_use]
    pub const fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Records that a request has produced its first event.
    pub fn record_first_event(
        &mut self,
        key: u64,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        self.queue.record_first_event(key, now_ms);
        self.advance(now_ms, actions);
    }

    /// Returns the engine's limits.
    #[must_use]
    pub const fn limits(&self) -> &EngineLimits {
        &self.limits
    }

    /// Returns the names of the loaded base models, and the full names of the adapters in slots, with
    /// the decayed use counts of the adapters.
    pub fn loaded_names(&self, now_ms: TimeMs) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let models = self.models.names().map(|name| (name, 0.0));
        models.chain(self.adapters.uses(now_ms))
    }

    /// Returns the keys of the adapters that have no slot and that the engine's host still caches.
    pub fn copied_keys(&self) -> impl Iterator<Item = u64> {
        self.copies.iter()
    }

    /// Returns the version of an adapter on which a request that starts now must run, or `None` if
    /// the version is unknown.
    #[must_use]
    pub fn expected_version(&self, adapter: &str) -> Option<u64> {
        self.adapters
            .version(adapter)
            .filter(|&version| version > 0)
    }

    /// Returns whether loads or unloads are in progress or the engine's state is unknown, so that the next
    /// report should be requested soon.
    #[must_use]
    pub fn has_pending_loads(&self) -> bool {
        self.models.is_loading()
            || !self.orders.has_sequence()
            || self.adapters.loading() > 0
            || self.adapters.is_any_unloading()
    }

    /// Returns the ticket for a report that is requested now.
    ///
    /// It is passed to [`EngineScheduler::apply_report`] with the report, so that a report that was
    /// overtaken by an order is not mistaken for the current state.
    #[must_use]
    pub const fn report_ticket(&self) -> u64 {
        self.orders.ticket()
    }

    /// Queues a request, or refuses it if it cannot finish in time.
    pub fn submit(
        &mut self,
        request: EngineRequest,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        let refusal = self.refusal(&request, now_ms);
        if let Some((reason, retry_after_ms)) = refusal {
            actions.push(EngineAction::Refuse {
                key: request.key,
                reason,
                retry_after_ms,
            });
            return;
        }
        self.queue.push(request);
        self.advance(now_ms, actions);
    }

    /// Removes a request that was cancelled or has ended; returns whether it had started.
    ///
    /// The time of a run counts towards the average only if `is_complete` is set.
    pub fn finish(
        &mut self,
        key: u64,
        is_complete: bool,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) -> bool {
        let started = self.queue.finish(key, is_complete, now_ms);
        if let Some(adapter) = started.as_ref().and_then(|run| run.pinned.as_ref()) {
            self.adapters.unpin(adapter);
        }
        self.advance(now_ms, actions);
        started.is_some()
    }

    /// Applies a report that was requested with `ticket`.
    pub fn apply_report(
        &mut self,
        report: &EngineReport,
        ticket: u64,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        if self.started_ms != report.started_ms {
            self.reset_after_restart();
            self.started_ms = report.started_ms;
        }
        self.eligibility.set_unreachable(false);
        self.eligibility.set_draining(report.is_draining);
        if self.orders.is_current(ticket) {
            self.apply_current_report(report, now_ms);
        }
        self.advance(now_ms, actions);
    }

    /// Applies what the engine said in a response to a request that was sent to the start
    /// `started_ms` of it; returns what is new. A later start is not bound by it.
    pub fn apply_notice(
        &mut self,
        notice: ServerNotice,
        started_ms: Option<u64>,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) -> Option<Announcement> {
        if self.started_ms != started_ms {
            return None;
        }
        let announcement = self.eligibility.apply(notice, now_ms);
        self.advance(now_ms, actions);
        announcement
    }

    /// Applies what the engine said about its rate in the response to a request that was sent at `sent_ms` to
    /// the start `started_ms` of it; returns what changes. A later start is not bound by it.
    pub fn apply_rate(
        &mut self,
        statement: RateStatement,
        source: RateSource,
        started_ms: Option<u64>,
        sent_ms: TimeMs,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) -> Option<RateChange> {
        if self.started_ms != started_ms {
            return None;
        }
        let limit = self.eligibility.limit_mut();
        let change = limit.apply(statement, source, sent_ms, now_ms)?;
        self.advance(now_ms, actions);
        Some(change)
    }

    /// Records that the engine cannot be reached. Waiting requests are refused; running ones go on,
    /// since their connections may be sound.
    pub fn mark_unreachable(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.eligibility.set_unreachable(true);
        self.orders.clear_sequence();
        self.advance(now_ms, actions);
    }

    /// Records the outcome of the pending order.
    pub fn record_order_outcome(
        &mut self,
        outcome: OrderOutcome,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(pending) = self.orders.complete(outcome) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => self.apply_order(&pending, false, now_ms),
            OrderOutcome::Done => self.apply_order(&pending, true, now_ms),
            OrderOutcome::Rejected => {
                if let Some(adapter) = &pending.adapter {
                    self.adapters.free(adapter);
                }
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown | OrderOutcome::Fenced => {}
        }
        self.advance(now_ms, actions);
    }

    /// Refuses waiting requests that cannot finish in time, and orders the next load and starts the
    /// requests that can start if the engine may get new work.
    pub fn advance(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.refuse_waiting(now_ms, actions);
        if self.eligibility.check(now_ms).is_err() {
            return;
        }
        // An adapter that is due for replacement must not get new requests before.
        if self.orders.is_ready()
            && let Some(order) = self.next_order(now_ms)
        {
            actions.push(EngineAction::Order(order));
        }
        self.start(now_ms, actions);
    }

    /// Returns whether a base model is loaded or being loaded.
    pub(super) fn may_serve(&self, model: &Arc<str>) -> bool {
        self.models.is_loaded(model) || self.models.is_loading_model(model)
    }

    /// Returns whether the engine's host probably caches an adapter.
    pub(super) fn is_copied(&self, adapter: &str) -> bool {
        self.copies.contains(adapter_key(adapter))
    }

    fn start(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        let (models, adapters) = (&self.models, &self.adapters);
        let latest_starts = self.latest_starts(now_ms);
        let can_serve = |request: &EngineRequest| {
            is_loaded(models, adapters, request) && latest_starts.allows(request)
        };
        let max_started = self.eligibility.limit().available(now_ms);
        let max_reading_tokens = self.max_reading_tokens(now_ms);
        let started = self.queue.start(
            &self.limits,
            max_started,
            max_reading_tokens,
            now_ms,
            can_serve,
        );
        for request in started {
            self.eligibility.limit_mut().take(now_ms);
            if let Some(adapter) = &request.adapter {
                self.adapters.pin(adapter, now_ms);
            }
            actions.push(EngineAction::Start { key: request.key });
        }
    }

    /// Applies an order that the engine is carrying out, or has completed if `is_done` is set. An unload that is not
    /// done waits for runs, and its slot stays taken.
    fn apply_order(&mut self, pending: &PendingOrder, is_done: bool, now_ms: TimeMs) {
        match (&pending.adapter, pending.order.kind) {
            (Some(adapter), OrderKind::Unload) => {
                self.copies.add(adapter_key(adapter));
                if is_done {
                    self.adapters.free(adapter);
                } else {
                    self.adapters.start_unload(adapter, now_ms);
                }
            }
            (Some(_), OrderKind::Load) => {}
            (None, _) => self.models.mark_loading(),
        }
    }

    /// Applies a report that no order has overtaken.
    fn apply_current_report(&mut self, report: &EngineReport, now_ms: TimeMs) {
        self.orders.set_sequence(report.sequence);
        self.models.apply_report(report, now_ms);
        let mut loaded = HashMap::new();
        for model in &report.models {
            for adapter in &model.adapters {
                loaded.insert(adapter_name(&model.name, &adapter.adapter), adapter.clone());
            }
        }
        let loading = loading_adapters(report);
        for load_ms in self.adapters.reconcile(&loaded, &loading, now_ms) {
            if self.load_times.record(load_ms) {
                self.fetches.record_ended(load_ms);
            }
        }
        self.replacements.update(&self.adapters);
    }

    /// Resets the engine's state after a restart, which loses all models and adapters.
    fn reset_after_restart(&mut self) {
        self.restarts += 1;
        self.eligibility = Eligibility::default();
        self.work_time = WorkTime::default();
        self.adapters.clear();
        self.copies = HostCopies::default();
        self.models.clear();
        self.orders.clear_sequence();
        self.queue.discard_pins();
    }
}

/// Returns the adapters that the engine is loading, by full name.
fn loading_adapters(report: &EngineReport) -> HashMap<Arc<str>, VersionedAdapter> {
    report
        .loading
        .iter()
        .map(|(model, adapter)| (adapter_name(model, &adapter.adapter), adapter.clone()))
        .collect()
}
