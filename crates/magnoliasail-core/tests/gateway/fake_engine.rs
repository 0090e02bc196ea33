//! A model engine for tests of the scheduler, which crashes if ordered to exceed its slots or its memory.

use {
    magnoliasail_core::gateway::{
        EngineLimits, EngineReport, EngineScheduler, LoadedModel, ModelLimits, Order, OrderKind,
        OrderOutcome, SchedulerSettings, VersionedAdapter,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Name of the only base model.
pub(crate) const MODEL: &str = "m";

/// Returns the limits of the engine.
pub(crate) fn limits() -> EngineLimits {
    EngineLimits {
        batch_slots: 8,
        kv_tokens: 10_000,
        weights_mb: 1_000.0,
        adapter_slots: 4,
        loads_per_s: 5.0,
        tokens_per_event: 0,
        pause_objective_ms: 0,
        models: vec![ModelLimits {
            name: MODEL.into(),
            weights_mb: 900.0,
            adapter_mb: 10.0,
            load_ms: 2_000,
            disk_load_ms: 800,
            memory_load_ms: 400,
        }],
    }
}

/// Returns the scheduler of an engine that has its base model and no adapter.
pub(crate) fn scheduler_with_model(limits: EngineLimits, now_ms: u64) -> EngineScheduler {
    let mut scheduler = EngineScheduler::new(SchedulerSettings::default());
    scheduler.configure(limits);
    let ticket = scheduler.report_ticket();
    let report = FakeEngine::with_model().report();
    scheduler.apply_report(&report, ticket, now_ms, &mut Vec::new());
    scheduler
}

/// A simulated engine, which carries out orders at once except for loads of adapters.
#[derive(Default)]
pub(crate) struct FakeEngine {
    pub(crate) has_model: bool,
    pub(crate) sequence: u64,
    pub(crate) started_ms: u64,
    pub(crate) loaded: BTreeMap<Arc<str>, u64>,
    pub(crate) loading: BTreeMap<Arc<str>, u64>,
    /// Adapters that runs use which the agent no longer counts; their unload waits for these runs.
    pub(crate) lingering: BTreeSet<Arc<str>>,
    /// Adapters whose unload waits.
    pub(crate) unloading: BTreeSet<Arc<str>>,
    /// The version that is loaded if an order names none; 1 if an adapter is not listed.
    pub(crate) newest: BTreeMap<Arc<str>, u64>,
    /// Whether more adapters were ordered than there are slots or memory for.
    pub(crate) has_crashed: bool,
    pub(crate) limits: EngineLimits,
}

impl FakeEngine {
    /// Creates an engine whose base model is loaded.
    pub(crate) fn with_model() -> Self {
        Self::with_limits(limits())
    }

    /// Creates an engine with these limits whose base model is loaded.
    pub(crate) fn with_limits(limits: EngineLimits) -> Self {
        Self {
            has_model: true,
            started_ms: 1,
            limits,
            ..Self::default()
        }
    }

    /// Carries out an order. The engine crashes if it exceeds its limits.
    pub(crate) fn order(&mut self, order: &Order) -> OrderOutcome {
        if order.expected_sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        let Some(adapter) = &order.adapter else {
            self.has_model = true;
            return OrderOutcome::Accepted;
        };
        match order.kind {
            OrderKind::Load => {
                let newest = self.newest.get(adapter).copied().unwrap_or(1);
                self.loading
                    .insert(Arc::clone(adapter), order.version.unwrap_or(newest));
                let mut in_slots: Vec<_> = self.loaded.keys().chain(self.loading.keys()).collect();
                in_slots.sort();
                in_slots.dedup();
                self.has_crashed |= self.exceeds_limits(in_slots.len());
                OrderOutcome::Accepted
            }
            OrderKind::Unload if self.lingering.contains(adapter) => {
                self.unloading.insert(Arc::clone(adapter));
                OrderOutcome::Accepted
            }
            OrderKind::Unload => {
                self.loaded.remove(adapter);
                OrderOutcome::Done
            }
        }
    }

    /// Returns whether the engine crashes if it is to hold so many adapters.
    fn exceeds_limits(&self, adapters: usize) -> bool {
        let model = &self.limits.models[0];
        let used_mb = model.weights_mb + adapters as f64 * model.adapter_mb;
        let is_bounded = self.limits.weights_mb > 0.0;
        adapters > self.limits.adapter_slots as usize
            || (is_bounded && used_mb > self.limits.weights_mb)
    }

    /// Completes all loads in progress.
    pub(crate) fn complete_loads(&mut self) {
        let completed = std::mem::take(&mut self.loading);
        self.loaded.extend(completed);
    }

    /// Ends the runs that the agent no longer counts, so that unloads which wait for them complete.
    pub(crate) fn end_lingering_runs(&mut self) {
        self.lingering.clear();
        for adapter in std::mem::take(&mut self.unloading) {
            self.loaded.remove(&adapter);
        }
    }

    /// Restarts the engine, which loses its base model and adapters.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            started_ms: self.started_ms + 1,
            newest: std::mem::take(&mut self.newest),
            has_crashed: self.has_crashed,
            limits: std::mem::take(&mut self.limits),
            ..Self::default()
        };
    }

    pub(crate) fn report(&self) -> EngineReport {
        let versioned = |(adapter, &version): (&Arc<str>, &u64)| VersionedAdapter {
            adapter: Arc::clone(adapter),
            version,
        };
        let model = LoadedModel {
            name: MODEL.into(),
            adapters: self.loaded.iter().map(versioned).collect(),
        };
        EngineReport {
            models: self.has_model.then_some(model).into_iter().collect(),
            loading: self
                .loading
                .iter()
                .map(|entry| (Arc::from(MODEL), versioned(entry)))
                .collect(),
            sequence: self.sequence,
            started_ms: Some(self.started_ms),
            ..EngineReport::default()
        }
    }
}
