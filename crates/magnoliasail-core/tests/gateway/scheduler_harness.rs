//! A scheduler with a fake engine, for tests.

use {
    super::fake_engine::{FakeEngine, MODEL, limits},
    magnoliasail_core::gateway::{
        EngineAction, EngineLimits, EngineRefusal, EngineRequest, EngineScheduler, OrderKind,
        SchedulerSettings,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A scheduler with a fake engine that answers at once; the test decides when loads complete.
pub(crate) struct Harness {
    pub(crate) scheduler: EngineScheduler,
    pub(crate) engine: FakeEngine,
    pub(crate) now_ms: u64,
    next_key: u64,
    /// Full adapter names by running request.
    pub(crate) running: BTreeMap<u64, Arc<str>>,
    /// Full adapter names by request.
    adapters: BTreeMap<u64, Arc<str>>,
    pub(crate) started: Vec<u64>,
    /// Keys of refused requests, with their reasons and retry delays in milliseconds.
    pub(crate) refused: Vec<(u64, EngineRefusal, u64)>,
    pub(crate) orders: Vec<(OrderKind, Option<Arc<str>>)>,
}

impl Harness {
    pub(crate) fn new() -> Self {
        Self::with_settings(SchedulerSettings::default())
    }

    pub(crate) fn with_settings(settings: SchedulerSettings) -> Self {
        Self::with_limits(settings, limits())
    }

    pub(crate) fn with_limits(settings: SchedulerSettings, limits: EngineLimits) -> Self {
        let mut scheduler = EngineScheduler::new(SchedulerSettings {
            replacement_spread_ms: 1,
            ..settings
        });
        scheduler.configure(limits.clone());
        let mut harness = Self {
            scheduler,
            engine: FakeEngine::with_limits(limits),
            now_ms: 100_000,
            next_key: 1,
            running: BTreeMap::new(),
            adapters: BTreeMap::new(),
            started: Vec::new(),
            refused: Vec::new(),
            orders: Vec::new(),
        };
        harness.report();
        harness
    }

    pub(crate) fn submit(&mut self, adapter: &str, rank: u32) -> u64 {
        self.submit_within(adapter, rank, 5_000, 100)
    }

    pub(crate) fn submit_within(
        &mut self,
        adapter: &str,
        rank: u32,
        deadline_ms: u64,
        kv_tokens: u64,
    ) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        let adapter: Arc<str> = format!("{MODEL}/{adapter}").into();
        self.adapters.insert(key, Arc::clone(&adapter));
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            adapter: Some(adapter),
            rank,
            prompt_tokens: kv_tokens,
            kv_tokens,
            arrived_ms: self.now_ms,
            objective_ms: self.now_ms + 500,
            deadline_ms: self.now_ms + deadline_ms,
            ..EngineRequest::default()
        };
        self.step(|scheduler, now_ms, actions| scheduler.submit(request, now_ms, actions));
        key
    }

    pub(crate) fn finish(&mut self, key: u64) {
        self.running.remove(&key);
        self.step(|scheduler, now_ms, actions| {
            scheduler.finish(key, true, now_ms, actions);
        });
    }

    /// Cancels a running request, whose run goes on at the engine until
    /// [`FakeEngine::end_lingering_runs`].
    pub(crate) fn cancel(&mut self, key: u64) {
        if let Some(name) = self.running.remove(&key) {
            let (_, adapter) = name.split_once('/').expect("a full name");
            self.engine.lingering.insert(adapter.into());
        }
        self.step(|scheduler, now_ms, actions| {
            scheduler.finish(key, false, now_ms, actions);
        });
    }

    pub(crate) fn report(&mut self) {
        let ticket = self.scheduler.report_ticket();
        let report = self.engine.report();
        self.step(|scheduler, now_ms, actions| {
            scheduler.apply_report(&report, ticket, now_ms, actions)
        });
    }

    pub(crate) fn complete_loads(&mut self) {
        self.engine.complete_loads();
        self.report();
    }

    /// Feeds an input to the scheduler and carries out the resulting actions.
    pub(crate) fn step(
        &mut self,
        input: impl FnOnce(&mut EngineScheduler, u64, &mut Vec<EngineAction>),
    ) {
        let mut actions = Vec::new();
        input(&mut self.scheduler, self.now_ms, &mut actions);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                EngineAction::Start { key } => self.start(key),
                EngineAction::Refuse {
                    key,
                    reason,
                    retry_after_ms,
                } => self.refused.push((key, reason, retry_after_ms)),
                EngineAction::Order(order) => {
                    self.orders.push((order.kind, order.adapter.clone()));
                    if order.kind == OrderKind::Unload {
                        let name =
                            format!("{MODEL}/{}", order.adapter.as_deref().unwrap_or_default());
                        assert!(
                            !self.running.values().any(|used| **used == *name),
                            "{name} was in use"
                        );
                    }
                    let outcome = self.engine.order(&order);
                    self.scheduler
                        .record_order_outcome(outcome, self.now_ms, &mut actions);
                }
            }
        }
    }

    fn start(&mut self, key: u64) {
        let adapter = Arc::clone(&self.adapters[&key]);
        let short_name = adapter.split_once('/').expect("a full name").1;
        assert!(
            self.engine.loaded.contains_key(short_name),
            "{adapter} is not loaded"
        );
        self.started.push(key);
        self.running.insert(key, adapter);
        assert!(self.running.len() <= limits().batch_slots as usize);
    }
}
