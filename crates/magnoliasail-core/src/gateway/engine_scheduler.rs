//! Decides for one model engine which request starts, which adapter is loaded, and what is refused.
//!
//! A load is ordered in the same step in which the first request for an adapter is queued; requests
//! for the same adapter join it. Requests start in the order of their rank, those that can still
//! meet their objective first. A request that cannot finish in time is refused at once, with the
//! time at which a place is expected.

use {
    super::{
        AdapterSlots, AdapterVersions, EngineLimits, EngineRefusal, EngineReport, EngineRequest,
        Order, OrderKind, OrderOutcome, SlotState, VersionedAdapter, adapter_version::adapter_name,
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Send a request to the engine.
    Start {
        /// The request.
        key: u64,
    },
    /// Refuse a request, which has not run and will not.
    Refuse {
        /// The request.
        key: u64,
        /// The reason.
        reason: EngineRefusal,
        /// When a place is expected, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Give an order to the engine and report what became of it.
    Order(Order),
}

/// Settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Loads of adapters that may be under way at one engine.
    pub max_loading: usize,
    /// The time of a load from which on it counts as a fetch from the store, in milliseconds.
    pub least_fetch_ms: f64,
    /// The time of a fetch while the store is not busy, until a shorter one is seen, in
    /// milliseconds.
    pub most_fetch_ms: f64,
    /// Time between loads of base models that this engine may order, in milliseconds.
    pub model_load_gap_ms: u64,
    /// A run's time before any has been seen, in milliseconds.
    pub first_run_ms: f64,
    /// A load's time before any has been seen, in milliseconds.
    pub first_load_ms: f64,
    /// Time over which engines take up a new version of an adapter in turn, in milliseconds.
    pub replacement_spread_ms: u64,
    /// Picks this engine's turn within that time.
    pub replacement_seed: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            max_loading: 4,
            least_fetch_ms: 120.0,
            most_fetch_ms: 400.0,
            model_load_gap_ms: 2_500,
            first_run_ms: 450.0,
            first_load_ms: 100.0,
            replacement_spread_ms: 2_000,
            replacement_seed: 0,
        }
    }
}

/// Weight of the newest run in the running average of their times.
const NEWEST_RUN: f64 = 0.05;
/// Weight of the newest load in the running average of their times.
const NEWEST_LOAD: f64 = 0.2;
/// What a request that can only be late counts among those that wait for an adapter.
const LATE_WEIGHT: f64 = 0.05;
/// Waiting time that counts as much as one request more for the same adapter, in milliseconds.
const AGE_WEIGHT_MS: f64 = 2_000.0;
/// Objectives after which a request is given back whose adapter has not even a slot.
const GIVE_BACK_OBJECTIVES: u64 = 2;
/// The least time after which it is given back, in milliseconds.
const LEAST_PATIENCE_MS: u64 = 400;

#[derive(Clone, Debug)]
struct Running {
    request: EngineRequest,
    started_ms: TimeMs,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: Order,
    adapter: Option<Arc<str>>,
}

/// Decides for one model engine.
#[derive(Debug)]
pub struct EngineScheduler {
    settings: SchedulerSettings,
    limits: EngineLimits,
    adapters: AdapterSlots,
    versions: AdapterVersions,
    /// Adapters with a newer version, and when it is to be loaded.
    replacements: Vec<(Arc<str>, TimeMs)>,
    models: Vec<Arc<str>>,
    model_loading: bool,
    model_ordered_ms: Option<TimeMs>,
    /// When the load of a base model is expected to be complete.
    model_ready_ms: TimeMs,
    in_memory: Vec<Arc<str>>,
    on_disk: Vec<Arc<str>>,
    waiting: Vec<EngineRequest>,
    running: HashMap<u64, Running>,
    order: Option<PendingOrder>,
    orders_sent: u64,
    sequence: Option<u64>,
    fencing_token: u64,
    born_ms: Option<u64>,
    restarts: u64,
    is_draining: bool,
    is_down: bool,
    mean_run_ms: f64,
    mean_load_ms: f64,
    mean_fetch_ms: f64,
    /// The shortest fetch that was seen.
    fetch_ms: f64,
}

impl EngineScheduler {
    /// Creates a scheduler that knows nothing of its engine yet.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            limits: EngineLimits::default(),
            adapters: AdapterSlots::default(),
            versions: AdapterVersions::default(),
            replacements: Vec::new(),
            models: Vec::new(),
            model_loading: false,
            model_ordered_ms: None,
            model_ready_ms: 0,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            waiting: Vec::new(),
            running: HashMap::new(),
            order: None,
            orders_sent: 0,
            sequence: None,
            fencing_token: 1,
            born_ms: None,
            restarts: 0,
            is_draining: false,
            is_down: false,
            mean_run_ms: settings.first_run_ms,
            mean_load_ms: settings.first_load_ms,
            mean_fetch_ms: settings.most_fetch_ms,
            fetch_ms: settings.most_fetch_ms,
        }
    }

    /// Adopts the limits of the engine.
    pub fn configure(&mut self, limits: EngineLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests that run or wait.
    #[must_use]
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns how often the engine was found to have started anew.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether new requests are taken.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        !self.is_draining && !self.is_down && !self.models.is_empty()
    }

    /// Returns when an engine that loads its base model is expected to take requests, in
    /// milliseconds from now.
    #[must_use]
    pub const fn ready_in_ms(&self, now_ms: TimeMs) -> Option<u64> {
        if self.model_loading && self.model_ready_ms > now_ms {
            Some(self.model_ready_ms - now_ms)
        } else {
            None
        }
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

    /// Returns the adapters of the engine.
    #[must_use]
    pub const fn adapters(&self) -> &AdapterSlots {
        &self.adapters
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
    pub fn awaits_load(&self) -> bool {
        self.model_loading || self.sequence.is_none() || self.adapters.loading() > 0
    }

    /// Returns a ticket to take before asking for a report, for [`EngineScheduler::reported`].
    #[must_use]
    pub const fn report_ticket(&self) -> u64 {
        self.orders_sent
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
        self.waiting.push(request);
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
        let started = match self.running.remove(&key) {
            Some(running) => {
                if let Some(adapter) = &running.request.adapter {
                    self.adapters.unpin(adapter);
                }
                if is_complete {
                    let run_ms = now_ms.saturating_sub(running.started_ms) as f64;
                    self.mean_run_ms += NEWEST_RUN * (run_ms - self.mean_run_ms);
                }
                true
            }
            None => {
                self.waiting.retain(|request| request.key != key);
                false
            }
        };
        self.advance(now_ms, actions);
        started
    }

    /// Records a newer version of an adapter.
    pub fn announce(&mut self, announced: &super::AdapterVersion, now_ms: TimeMs) {
        if !self.versions.adopt(announced) {
            return;
        }
        let name = adapter_name(&announced.model, &announced.adapter);
        let spread_ms = self.settings.replacement_spread_ms.max(1);
        let due_ms = now_ms + self.settings.replacement_seed % spread_ms;
        self.replacements.retain(|(other, _)| *other != name);
        self.replacements.push((name, due_ms));
    }

    /// Adopts a report that was asked for with `ticket`.
    pub fn reported(
        &mut self,
        report: &EngineReport,
        ticket: u64,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        self.is_down = false;
        self.is_draining = report.is_draining;
        if self.born_ms != report.born_ms {
            self.restarted();
            self.born_ms = report.born_ms;
        }
        if ticket == self.orders_sent && self.order.is_none() {
            self.adopt(report, now_ms);
        }
        self.advance(now_ms, actions);
    }

    /// Records that the engine cannot be reached.
    pub fn unreachable(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.is_down = true;
        self.sequence = None;
        self.advance(now_ms, actions);
    }

    /// Records what became of the order under way.
    pub fn ordered(
        &mut self,
        outcome: OrderOutcome,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(pending) = self.order.take() else {
            return;
        };
        self.orders_sent += 1;
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => self.taken_up(&pending, outcome),
            OrderOutcome::Conflict | OrderOutcome::Unknown => self.sequence = None,
            OrderOutcome::Fenced => {
                self.fencing_token += 1;
                self.sequence = None;
            }
            OrderOutcome::Rejected => {
                self.sequence = None;
                if let Some(adapter) = &pending.adapter {
                    self.adapters.free(adapter);
                }
            }
        }
        self.advance(now_ms, actions);
    }

    /// Refuses what cannot finish any more, starts what can start, and orders the next load.
    pub fn advance(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.expire(now_ms, actions);
        self.start(now_ms, actions);
        let may_order = self.order.is_none() && self.sequence.is_some() && !self.is_down;
        if may_order && let Some(pending) = self.next_order(now_ms) {
            actions.push(EngineAction::Order(pending.order.clone()));
            self.orders_sent += 1;
            self.order = Some(pending);
        }
    }

    fn refusal(&self, request: &EngineRequest, now_ms: TimeMs) -> Option<(EngineRefusal, u64)> {
        /// When to come back where nothing tells when the engine is ready.
        const READY_RETRY_MS: u64 = 1_000;
        let ready_in_ms = self.ready_in_ms(now_ms).unwrap_or(READY_RETRY_MS);
        if self.is_draining {
            return Some((EngineRefusal::Draining, 0));
        }
        if self.is_down {
            return Some((EngineRefusal::EngineDown, READY_RETRY_MS));
        }
        if !self.models.contains(&request.model) {
            return Some((EngineRefusal::ModelAbsent, ready_in_ms));
        }
        let load_ms = self.expected_load_ms(request);
        if now_ms + load_ms > request.objective_ms && load_ms > self.mean_load_ms as u64 * 2 {
            // Served now it would be late, and take a slot from others that would not be.
            return Some((EngineRefusal::Overloaded, load_ms));
        }
        let wait_ms = self.expected_wait_ms(request).max(load_ms);
        if now_ms + wait_ms > request.deadline_ms {
            return Some((EngineRefusal::Overloaded, wait_ms));
        }
        None
    }

    /// Returns how long a request is expected to wait for a place in the batch.
    fn expected_wait_ms(&self, request: &EngineRequest) -> u64 {
        let slots = self.limits.batch_slots.max(1) as usize;
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.rank <= request.rank)
            .count();
        let free = slots.saturating_sub(self.running.len());
        let queued = (ahead + 1).saturating_sub(free);
        (queued as f64 * self.mean_run_ms / slots as f64) as u64
    }

    /// Returns how long a request is expected to wait for an adapter that has no slot.
    fn expected_slot_ms(&self, request: &EngineRequest) -> u64 {
        let ahead = self.missing_adapters(request.arrived_ms).len() as f64;
        let load_ms = (1.0 + ahead / self.max_loading() as f64) * self.mean_load_ms;
        let slots = f64::from(self.limits.adapter_slots.max(1));
        let short = (ahead + 1.0 - f64::from(self.slots_available())).max(0.0);
        let slot_ms = short * self.mean_run_ms / slots;
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
        (loads * self.mean_load_ms) as u64
    }

    fn expire(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        /// The least time in which an answer could still be of use, in milliseconds.
        const LEAST_RUN_MS: u64 = 30;
        let (is_down, is_draining) = (self.is_down, self.is_draining);
        let adapters = &self.adapters;
        self.waiting.retain(|request| {
            let is_late = now_ms + LEAST_RUN_MS >= request.deadline_ms;
            let objective_ms = request.objective_ms.saturating_sub(request.arrived_ms);
            let patience_ms = (GIVE_BACK_OBJECTIVES * objective_ms).max(LEAST_PATIENCE_MS);
            let has_slot = request
                .adapter
                .as_ref()
                .is_none_or(|adapter| adapters.state(adapter).is_some());
            let is_hopeless = !has_slot && now_ms > request.arrived_ms + patience_ms;
            let reason = match (is_down, is_draining, is_late, is_hopeless) {
                (true, _, _, _) => EngineRefusal::EngineDown,
                (_, true, _, _) => EngineRefusal::Draining,
                (_, _, true, _) => EngineRefusal::Expired,
                (_, _, _, true) => EngineRefusal::NoSlot,
                _ => return true,
            };
            actions.push(EngineAction::Refuse {
                key: request.key,
                reason,
                retry_after_ms: 0,
            });
            false
        });
    }

    fn start(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        self.waiting.sort_by_key(|request| {
            (
                now_ms > request.objective_ms,
                request.rank,
                request.objective_ms,
            )
        });
        let mut kv_tokens: u64 = self.running.values().map(|run| run.request.kv_tokens).sum();
        let mut index = 0;
        while index < self.waiting.len() {
            if self.running.len() >= self.limits.batch_slots as usize {
                return;
            }
            let request = &self.waiting[index];
            let fits =
                self.running.is_empty() || kv_tokens + request.kv_tokens <= self.limits.kv_tokens;
            if !fits {
                return;
            }
            if !self.can_serve(request) {
                index += 1;
                continue;
            }
            let request = self.waiting.remove(index);
            kv_tokens += request.kv_tokens;
            if let Some(adapter) = &request.adapter {
                self.adapters.pin(adapter, now_ms);
            }
            actions.push(EngineAction::Start { key: request.key });
            let running = Running {
                request,
                started_ms: now_ms,
            };
            self.running.insert(running.request.key, running);
        }
    }

    fn can_serve(&self, request: &EngineRequest) -> bool {
        let Some(adapter) = &request.adapter else {
            return self.models.contains(&request.model);
        };
        self.adapters.state(adapter) == Some(SlotState::Resident)
    }

    fn next_order(&mut self, now_ms: TimeMs) -> Option<PendingOrder> {
        if self.models.is_empty() {
            return self.model_order(now_ms);
        }
        if self.adapters.loading() >= self.max_loading() {
            return None;
        }
        if let Some(pending) = self.replacement(now_ms) {
            return Some(pending);
        }
        let wanted = self.missing_adapter(now_ms)?;
        if self.adapters.taken() < self.limits.adapter_slots as usize {
            return Some(self.adapter_load(&wanted, now_ms));
        }
        let victim = self
            .adapters
            .victim(now_ms, |name| self.is_waited_for(name))?;
        Some(self.adapter_unload(&victim))
    }

    /// Returns how many loads may be under way: fewer when loads take longer than they should, as
    /// engines that share the store only delay each other beyond what it carries.
    fn max_loading(&self) -> usize {
        let most = self.settings.max_loading as f64;
        let share = self.fetch_ms / self.mean_fetch_ms.max(1.0);
        (most * share).round().clamp(1.0, most) as usize
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
        let mut missing = HashMap::new();
        for request in &self.waiting {
            let Some(adapter) = &request.adapter else {
                continue;
            };
            let is_missing = self.adapters.state(adapter).is_none();
            if !is_missing || !self.models.contains(&request.model) {
                continue;
            }
            let is_late = now_ms > request.objective_ms;
            let weight = if is_late { LATE_WEIGHT } else { 1.0 };
            let age_ms = now_ms.saturating_sub(request.arrived_ms) as f64;
            *missing.entry(adapter).or_insert(0.0) += weight + age_ms / AGE_WEIGHT_MS;
        }
        missing
    }

    fn is_waited_for(&self, name: &str) -> bool {
        self.waiting
            .iter()
            .any(|request| request.adapter.as_deref() == Some(name))
    }

    /// Returns the order that replaces a resident adapter by its newer version.
    fn replacement(&mut self, now_ms: TimeMs) -> Option<PendingOrder> {
        let index = self
            .replacements
            .iter()
            .position(|&(_, due_ms)| due_ms <= now_ms)?;
        let (name, _) = self.replacements.swap_remove(index);
        let is_old = self.adapters.version(&name)? < self.versions.newest(&name);
        is_old.then(|| self.adapter_load(&name, now_ms))
    }

    fn adapter_load(&mut self, name: &Arc<str>, now_ms: TimeMs) -> PendingOrder {
        let newest = self.versions.newest(name);
        self.adapters.load(Arc::clone(name), newest, now_ms);
        self.adapter_order(
            OrderKind::Load,
            name,
            Some(newest).filter(|&version| version > 0),
        )
    }

    fn adapter_unload(&mut self, name: &Arc<str>) -> PendingOrder {
        self.adapter_order(OrderKind::Unload, name, None)
    }

    fn adapter_order(
        &self,
        kind: OrderKind,
        name: &Arc<str>,
        version: Option<u64>,
    ) -> PendingOrder {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        PendingOrder {
            order: self.new_order(kind, model.into(), Some(adapter.into()), version),
            adapter: Some(Arc::clone(name)),
        }
    }

    /// Returns the order that loads a base model into an engine that holds none.
    fn model_order(&mut self, now_ms: TimeMs) -> Option<PendingOrder> {
        let is_due = self
            .model_ordered_ms
            .is_none_or(|ordered_ms| now_ms >= ordered_ms + self.settings.model_load_gap_ms);
        if self.model_loading || !is_due || self.is_draining {
            return None;
        }
        let fitting: Vec<_> = self
            .limits
            .models
            .iter()
            .filter(|model| model.weights_mb <= self.limits.weights_mb)
            .collect();
        let index = self.settings.replacement_seed as usize % fitting.len().max(1);
        let limits = *fitting.get(index)?;
        let model = Arc::clone(&limits.name);
        let load_ms = if self.in_memory.contains(&model) {
            limits.memory_load_ms
        } else if self.on_disk.contains(&model) {
            limits.disk_load_ms
        } else {
            limits.load_ms
        };
        self.model_ready_ms = now_ms + load_ms;
        self.model_ordered_ms = Some(now_ms);
        Some(PendingOrder {
            order: self.new_order(OrderKind::Load, model, None, None),
            adapter: None,
        })
    }

    fn new_order(
        &self,
        kind: OrderKind,
        model: Arc<str>,
        adapter: Option<Arc<str>>,
        version: Option<u64>,
    ) -> Order {
        Order {
            kind,
            model,
            adapter,
            version,
            expected_sequence: self.sequence.unwrap_or(0),
            fencing_token: self.fencing_token,
        }
    }

    fn taken_up(&mut self, pending: &PendingOrder, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Accepted || pending.order.kind == OrderKind::Unload {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        match (&pending.adapter, pending.order.kind) {
            (Some(adapter), OrderKind::Unload) => self.adapters.free(adapter),
            (Some(_), OrderKind::Load) => {}
            (None, _) => self.model_loading = true,
        }
    }

    fn adopt(&mut self, report: &EngineReport, now_ms: TimeMs) {
        self.sequence = Some(report.sequence);
        self.model_loading = report.is_busy;
        self.in_memory.clone_from(&report.in_memory);
        self.on_disk.clone_from(&report.on_disk);
        self.models = report
            .models
            .iter()
            .map(|model| Arc::clone(&model.name))
            .collect();
        let mut held = HashMap::new();
        for model in &report.models {
            for adapter in &model.adapters {
                held.insert(adapter_name(&model.name, &adapter.adapter), adapter.clone());
            }
        }
        let arriving = arriving(report);
        for load_ms in self.adapters.reconcile(&held, &arriving, now_ms) {
            self.count_load(load_ms as f64);
        }
        self.expect_replacements(&held, now_ms);
    }

    /// Counts the time of a load; a short one came from the host's memory.
    fn count_load(&mut self, load_ms: f64) {
        self.mean_load_ms += NEWEST_LOAD * (load_ms - self.mean_load_ms);
        if load_ms < self.settings.least_fetch_ms {
            return;
        }
        self.mean_fetch_ms += NEWEST_LOAD * (load_ms - self.mean_fetch_ms);
        self.fetch_ms = self.fetch_ms.min(load_ms);
    }

    /// Schedules the replacement of held adapters that are older than announced.
    fn expect_replacements(&mut self, held: &HashMap<Arc<str>, VersionedAdapter>, now_ms: TimeMs) {
        for (name, adapter) in held {
            let is_old = adapter.version < self.versions.newest(name);
            let is_loading = self.adapters.state(name) == Some(SlotState::Loading);
            let is_listed = self.replacements.iter().any(|(listed, _)| listed == name);
            if is_old && !is_loading && !is_listed {
                self.replacements.push((Arc::clone(name), now_ms));
            }
        }
    }

    /// Forgets the engine's state: it started anew and holds nothing.
    fn restarted(&mut self) {
        self.restarts += 1;
        self.adapters.clear();
        self.models.clear();
        self.model_loading = false;
        self.sequence = None;
        for run in self.running.values() {
            if let Some(adapter) = &run.request.adapter {
                self.adapters.unpin(adapter);
            }
        }
    }
}

/// Returns the adapters that are arriving, by full name.
fn arriving(report: &EngineReport) -> HashMap<Arc<str>, VersionedAdapter> {
    report
        .arriving
        .iter()
        .map(|(model, adapter)| (adapter_name(model, &adapter.adapter), adapter.clone()))
        .collect()
}
