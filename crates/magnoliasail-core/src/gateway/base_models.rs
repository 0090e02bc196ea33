//! The base models of an engine, and the choice of the one to load into an empty engine.

use {
    super::{EngineLimits, EngineReport},
    crate::TimeMs,
    std::sync::Arc,
};

/// The base models of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct BaseModels {
    loaded: Vec<Arc<str>>,
    is_loading: bool,
    /// The model of the last load order.
    ordered: Option<Arc<str>>,
    ordered_ms: Option<TimeMs>,
    /// When the last load completed or is expected to.
    ready_ms: TimeMs,
    /// Models of which the engine's host has a copy in memory.
    in_memory: Vec<Arc<str>>,
    /// Models of which the engine's host has a copy on disk.
    on_disk: Vec<Arc<str>>,
}

impl BaseModels {
    /// Applies a report of the engine.
    pub(super) fn apply_report(&mut self, report: &EngineReport, now_ms: TimeMs) {
        if self.loaded.is_empty() && !report.models.is_empty() {
            self.ready_ms = now_ms;
        }
        let names = report.models.iter().map(|model| Arc::clone(&model.name));
        self.loaded = names.collect();
        self.is_loading = report.is_busy;
        self.in_memory.clone_from(&report.in_memory);
        self.on_disk.clone_from(&report.on_disk);
    }

    /// Resets the state after a restart of the engine, which loses its models.
    pub(super) fn clear(&mut self) {
        self.loaded.clear();
        self.is_loading = false;
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.loaded.is_empty()
    }

    pub(super) fn is_loaded(&self, model: &Arc<str>) -> bool {
        self.loaded.contains(model)
    }

    /// Returns whether the load in progress is of this model.
    pub(super) fn is_loading_model(&self, model: &Arc<str>) -> bool {
        self.is_loading && self.ordered.as_ref() == Some(model)
    }

    /// Returns when the last load completed or is expected to.
    pub(super) const fn ready_ms(&self) -> TimeMs {
        self.ready_ms
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.loaded.iter()
    }

    pub(super) const fn is_loading(&self) -> bool {
        self.is_loading
    }

    /// Records that the engine has accepted a load order.
    pub(super) const fn mark_loading(&mut self) {
        self.is_loading = true;
    }

    /// Returns the expected time until the load in progress completes, in milliseconds.
    pub(super) fn ready_in_ms(&self, now_ms: TimeMs) -> Option<u64> {
        /// Assumed remaining time of a load that takes longer than expected.
        const OVERDUE_MS: u64 = 100;
        let is_known = self.is_loading && self.ordered.is_some();
        is_known.then(|| self.ready_ms.saturating_sub(now_ms).max(OVERDUE_MS))
    }

    /// Picks the model to load into an empty engine; `choice` selects one of those that fit. Loads
    /// are at least `gap_ms` apart, so that engines that restart together stay within the load rate
    /// that the weight store allows.
    pub(super) fn next_load(
        &mut self,
        limits: &EngineLimits,
        choice: u64,
        gap_ms: u64,
        now_ms: TimeMs,
    ) -> Option<Arc<str>> {
        let is_due = self
            .ordered_ms
            .is_none_or(|ordered_ms| now_ms >= ordered_ms + gap_ms);
        if self.is_loading || !is_due {
            return None;
        }
        let models = limits.models.iter();
        let fitting: Vec<_> = models
            .filter(|model| model.weights_mb <= limits.weights_mb)
            .collect();
        let model = *fitting.get(choice as usize % fitting.len().max(1))?;
        let load_ms = if self.in_memory.contains(&model.name) {
            model.memory_load_ms
        } else if self.on_disk.contains(&model.name) {
            model.disk_load_ms
        } else {
            model.load_ms
        };
        self.ready_ms = now_ms + load_ms;
        self.ordered_ms = Some(now_ms);
        self.ordered = Some(Arc::clone(&model.name));
        self.ordered.clone()
    }
}
