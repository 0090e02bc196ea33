//! Decides for one model engine which request starts, which adapter is loaded, and what is refused.
//!
//! A load is ordered in the same step in which the first request for an adapter is queued; requests
//! for the same adapter join it. Requests start in the order of their rank, those that can still
//! meet their objective first. A request that cannot finish in time is refused at once, with the
//! time at which a place is expected.

use {
    super::{
        AdapterSlots, EngineAction, EngineLimits, EngineRefusal, EngineReport, EngineRequest,
        Order, OrderKind, OrderOutcome, SchedulerSettings, SlotState, VersionedAdapter,
        adapter_version::adapter_name,
        base_models::BaseModels,
        engine_queue::EngineQueue,
        load_times::LoadTimes,
        order_tracker::{OrderTracker, PendingOrder},
        replacements::Replacements,
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Objectives after which a request is given back whose adapter has not even a slot.
const GIVE_BACK_OBJECTIVES: u64 = 2;
/// The least time after which it is given back, in milliseconds.
const LEAST_WAIT_MS: u64 = 400;

/// Decides for one model engine.
#[derive(Debug)]
pub struct EngineScheduler {
    settings: SchedulerSettings,
    limits: EngineLimits,
    adapters: AdapterSlots,
    replacements: Replacements,
    models: BaseModels,
    load_times: LoadTimes,
    queue: EngineQueue,
    orders: OrderTracker,
    started_ms: Option<u64>,
    restarts: u64,
    is_draining: bool,
    is_down: bool,
}

impl EngineScheduler {
    /// Creates a scheduler that knows nothing of its engine yet.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            limits: EngineLimits::default(),
            adapters: AdapterSlots::default(),
            replacements: Replacements::default(),
            models: BaseModels::default(),
            load_times: LoadTimes::default(),
            queue: EngineQueue::new(settings.initial_run_ms),
            orders: OrderTracker::default(),
            started_ms: None,
            restarts: 0,
            is_draining: false,
            is_down: false,
        }
    }

    /// Adopts the limits of the engine.
    pub fn configure(&mut self, limits: EngineLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests that run or wait.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns how often the engine was found to have started anew.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Tells whether new requests are taken.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        !self.is_draining && !self.is_down && !self.models.is_empty()
    }

    /// Returns when an engine that loads its base model is expected to take requests, in
    /// milliseconds from now.
    #[must_use]
    pub fn ready_in_ms(&self, now_ms: TimeMs) -> Option<u64> {
        self.models.ready_in_ms(now_ms)
    }

    /// Returns the number of adapters that wait for a slot.
    #[must_use]
    pub fn adapters_waiting(&self, now_ms: TimeMs) -> u32 {
        self.missing_adapters(now_ms).len() as u32
    }

    /// Returns the number of slots that are free, or whose adapter no request uses.
    #[must_use]
    pub fn slots_available(&self) -> u32 {
        let free = (self.limits.adapter_slots as usize).saturating_sub(self.adapters.taken());
        (free + self.adapters.unused()) as u32
    }

    /// Returns the engine's limits.
    #[must_use]
    pub const fn limits(&self) -> &EngineLimits {
        &self.limits
    }

    /// Returns the names of the base models that the engine holds and of the adapters in its slots.
    pub fn loaded_names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.models.names().chain(self.adapters.names())
    }

    /// Returns the version of an adapter that a request that starts now must run on.
    #[must_use]
    pub fn expected_version(&self, adapter: &str) -> Option<u64> {
        self.adapters
            .version(adapter)
            .filter(|&version| version > 0)
    }

    /// Tells whether loads are under way, so that a report is wanted soon.
    #[must_use]
    pub fn has_pending_loads(&self) -> bool {
        self.models.is_loading() || !self.orders.knows_sequence() || self.adapters.loading() > 0
    }

    /// Returns a ticket to take before asking for a report, for [`EngineScheduler::apply_report`].
    #[must_use]
    pub const fn report_ticket(&self) -> u64 {
        self.orders.ticket()
    }

    /// Queues a request.
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

    /// Forgets a request that its caller withdrew or that ended; returns whether it had started.
    pub fn finish(
        &mut self,
        key: u64,
        is_complete: bool,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) -> bool {
        let started = self.queue.finish(key, is_complete, now_ms);
        if let Some(adapter) = started
            .as_ref()
            .and_then(|request| request.adapter.as_ref())
        {
            self.adapters.unpin(adapter);
        }
        self.advance(now_ms, actions);
        started.is_some()
    }

    /// Records a newer version of an adapter.
    pub fn announce(&mut self, announced: &super::AdapterVersion, now_ms: TimeMs) {
        let spread_ms = self.settings.replacement_spread_ms.max(1);
        let due_ms = now_ms + self.settings.engine_seed % spread_ms;
        self.replacements.announce(announced, due_ms);
    }

    /// Adopts a report that was asked for with `ticket`.
    pub fn apply_report(
        &mut self,
        report: &EngineReport,
        ticket: u64,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        self.is_down = false;
        self.is_draining = report.is_draining;
        if self.started_ms != report.started_ms {
            self.restarted();
            self.started_ms = report.started_ms;
        }
        if self.orders.is_current(ticket) {
            self.adopt(report, now_ms);
        }
        self.advance(now_ms, actions);
    }

    /// Records that the engine cannot be reached.
    pub fn mark_unreachable(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.is_down = true;
        self.orders.forget();
        self.advance(now_ms, actions);
    }

    /// Records what became of the order under way.
    pub fn record_order_outcome(
        &mut self,
        outcome: OrderOutcome,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(pending) = self.orders.settle(outcome) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => self.taken_up(&pending),
            OrderOutcome::Rejected => {
                if let Some(adapter) = &pending.adapter {
                    self.adapters.free(adapter);
                }
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown | OrderOutcome::Fenced => {}
        }
        self.advance(now_ms, actions);
    }

    /// Refuses what cannot finish any more, starts what can start, and orders the next load.
    pub fn advance(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.expire(now_ms, actions);
        self.start(now_ms, actions);
        if self.orders.is_ready()
            && !self.is_down
            && let Some(order) = self.next_order(now_ms)
        {
            actions.push(EngineAction::Order(order));
        }
    }

    fn refusal(&self, request: &EngineRequest, now_ms: TimeMs) -> Option<(EngineRefusal, u64)> {
        /// When to come back where nothing tells when the engine is ready.
        const READY_RETRY_MS: u64 = 1_000;
        let ready_in_ms = self.ready_in_ms(now_ms);
        if self.is_draining {
            return Some((EngineRefusal::Draining, 0));
        }
        if self.is_down {
            return Some((EngineRefusal::EngineDown, READY_RETRY_MS));
        }
        if !self.may_serve(&request.model) {
            let ready_in_ms = ready_in_ms.unwrap_or(READY_RETRY_MS);
            return Some((EngineRefusal::ModelAbsent, ready_in_ms));
        }
        let model_ms = ready_in_ms.unwrap_or(0);
        let load_ms = self.expected_load_ms(request);
        if now_ms + model_ms + load_ms > request.objective_ms
            && load_ms > self.load_times.mean_ms() as u64 * 2
        {
            // Served now it would be late, and take a slot from others that would not be.
            return Some((EngineRefusal::Overloaded, model_ms + load_ms));
        }
        let place_ms = self
            .queue
            .expected_wait_ms(request.rank, self.limits.batch_slots);
        let wait_ms = model_ms + place_ms.max(load_ms);
        if now_ms + wait_ms > request.deadline_ms {
            return Some((EngineRefusal::Overloaded, wait_ms));
        }
        None
    }

    /// Tells whether the engine holds a base model, or loads it now.
    fn may_serve(&self, model: &Arc<str>) -> bool {
        self.models.is_loaded(model) || self.models.is_loading_model(model)
    }

    /// Returns how long a request is expected to wait for an adapter that has no slot.
    fn expected_slot_ms(&self, request: &EngineRequest) -> u64 {
        let ahead = self.missing_adapters(request.arrived_ms).len() as f64;
        let load_ms = (1.0
            + ahead / self.load_times.allowed(self.settings.max_concurrent_loads) as f64)
            * self.load_times.mean_ms();
        let slots = f64::from(self.limits.adapter_slots.max(1));
        let short = (ahead + 1.0 - f64::from(self.slots_available())).max(0.0);
        let slot_ms = short * self.queue.mean_run_ms() / slots;
        (slot_ms + load_ms) as u64
    }

    /// Returns how long a request is expected to wait for its adapter.
    fn expected_load_ms(&self, request: &EngineRequest) -> u64 {
        let Some(adapter) = &request.adapter else {
            return 0;
        };
        let loads = match self.adapters.state(adapter) {
            Some(SlotState::Resident) => 0.0,
            Some(SlotState::Loading) => 1.0,
            None => return self.expected_slot_ms(request),
        };
        (loads * self.load_times.mean_ms()) as u64
    }

    fn expire(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        /// The least time in which an answer could still be of use, in milliseconds.
        const LEAST_RUN_MS: u64 = 30;
        let (is_down, is_draining) = (self.is_down, self.is_draining);
        let adapters = &self.adapters;
        let ready_ms = self.models.ready_ms();
        let given_back = self.queue.give_back(|request| {
            let is_late = now_ms + LEAST_RUN_MS >= request.deadline_ms;
            let objective_ms = request.objective_ms.saturating_sub(request.arrived_ms);
            let longest_wait_ms = (GIVE_BACK_OBJECTIVES * objective_ms).max(LEAST_WAIT_MS);
            let has_slot = request
                .adapter
                .as_ref()
                .is_none_or(|adapter| adapters.state(adapter).is_some());
            let since_ms = request.arrived_ms.max(ready_ms);
            let is_hopeless = !has_slot && now_ms > since_ms + longest_wait_ms;
            match (is_down, is_draining, is_late, is_hopeless) {
                (true, _, _, _) => Some(EngineRefusal::EngineDown),
                (_, true, _, _) => Some(EngineRefusal::Draining),
                (_, _, true, _) => Some(EngineRefusal::Expired),
                (_, _, _, true) => Some(EngineRefusal::NoSlot),
                _ => None,
            }
        });
        let refusals = given_back
            .into_iter()
            .map(|(key, reason)| EngineAction::Refuse {
                key,
                reason,
                retry_after_ms: 0,
            });
        actions.extend(refusals);
    }

    fn start(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        let (models, adapters) = (&self.models, &self.adapters);
        let started = self
            .queue
            .start(&self.limits, now_ms, |request| match &request.adapter {
                Some(adapter) => adapters.state(adapter) == Some(SlotState::Resident),
                None => models.is_loaded(&request.model),
            });
        for request in started {
            if let Some(adapter) = &request.adapter {
                self.adapters.pin(adapter, now_ms);
            }
            actions.push(EngineAction::Start { key: request.key });
        }
    }

    fn next_order(&mut self, now_ms: TimeMs) -> Option<Order> {
        if self.models.is_empty() {
            return self.model_order(now_ms);
        }
        if self.adapters.loading() >= self.load_times.allowed(self.settings.max_concurrent_loads) {
            return None;
        }
        if let Some(order) = self.replacement(now_ms) {
            return Some(order);
        }
        let wanted = self.missing_adapter(now_ms)?;
        if self.adapters.taken() < self.limits.adapter_slots as usize {
            return Some(self.adapter_load(&wanted, now_ms));
        }
        let victim = self
            .adapters
            .victim(now_ms, |name| self.queue.wants(name))?;
        Some(self.orders.give_adapter(OrderKind::Unload, &victim, None))
    }

    /// Returns the adapter without a slot that the most, and the longest waiting, requests want.
    fn missing_adapter(&self, now_ms: TimeMs) -> Option<Arc<str>> {
        self.missing_adapters(now_ms)
            .into_iter()
            .max_by(|(name_a, weight_a), (name_b, weight_b)| {
                weight_a
                    .total_cmp(weight_b)
                    .then_with(|| name_b.cmp(name_a))
            })
            .map(|(name, _)| Arc::clone(name))
    }

    /// Returns the adapters that requests wait for and that have no slot, with their weights.
    fn missing_adapters(&self, now_ms: TimeMs) -> HashMap<&Arc<str>, f64> {
        self.queue.missing_adapters(now_ms, |request, adapter| {
            self.adapters.state(adapter).is_none() && self.may_serve(&request.model)
        })
    }

    /// Returns the order that replaces a resident adapter by its newer version.
    fn replacement(&mut self, now_ms: TimeMs) -> Option<Order> {
        let name = self.replacements.take_due(now_ms)?;
        let is_old = self.adapters.version(&name)? < self.replacements.newest(&name);
        is_old.then(|| self.adapter_load(&name, now_ms))
    }

    fn adapter_load(&mut self, name: &Arc<str>, now_ms: TimeMs) -> Order {
        let newest = self.replacements.newest(name);
        self.adapters.load(Arc::clone(name), newest, now_ms);
        let version = Some(newest).filter(|&version| version > 0);
        self.orders.give_adapter(OrderKind::Load, name, version)
    }

    /// Returns the order that loads a base model into an engine that holds none.
    fn model_order(&mut self, now_ms: TimeMs) -> Option<Order> {
        if self.is_draining {
            return None;
        }
        let (choice, gap_ms) = (self.settings.engine_seed, self.settings.model_load_gap_ms);
        let model = self
            .models
            .next_load(&self.limits, choice, gap_ms, now_ms)?;
        Some(self.orders.give_model(model))
    }

    fn taken_up(&mut self, pending: &PendingOrder) {
        match (&pending.adapter, pending.order.kind) {
            (Some(adapter), OrderKind::Unload) => self.adapters.free(adapter),
            (Some(_), OrderKind::Load) => {}
            (None, _) => self.models.mark_loading(),
        }
    }

    fn adopt(&mut self, report: &EngineReport, now_ms: TimeMs) {
        self.orders.adopt(report.sequence);
        self.models.apply_report(report, now_ms);
        let mut held = HashMap::new();
        for model in &report.models {
            for adapter in &model.adapters {
                held.insert(adapter_name(&model.name, &adapter.adapter), adapter.clone());
            }
        }
        let loading = loading_adapters(report);
        for load_ms in self.adapters.reconcile(&held, &loading, now_ms) {
            self.load_times.count(load_ms as f64);
        }
        self.expect_replacements(&held, now_ms);
    }

    /// Schedules the replacement of held adapters that are older than announced.
    fn expect_replacements(&mut self, held: &HashMap<Arc<str>, VersionedAdapter>, now_ms: TimeMs) {
        for (name, adapter) in held {
            if self.adapters.state(name) != Some(SlotState::Loading) {
                self.replacements.expect(name, adapter.version, now_ms);
            }
        }
    }

    /// Forgets the engine's state: it started anew and holds nothing.
    fn restarted(&mut self) {
        self.restarts += 1;
        self.adapters.clear();
        self.models.clear();
        self.orders.forget();
        for request in self.queue.running() {
            if let Some(adapter) = &request.adapter {
                self.adapters.unpin(adapter);
            }
        }
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
