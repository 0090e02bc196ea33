//! Which model or adapter an engine loads next, and which adapter it evicts for it.
//!
//! Load: requests wait for more adapters than the weight store delivers at once. Each engine limits its own
//! fetches by how slow they have become; of what it misses, it loads first what most requests wait for that can
//! still be in time.

use {
    super::{EngineScheduler, Order, OrderKind},
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

impl EngineScheduler {
    /// Returns the next order: the load of a base model if there is none, then replacements of old
    /// adapter versions, then the load of the missing adapter with the highest weight, or an
    /// eviction to make room for it.
    pub(super) fn next_order(&mut self, now_ms: TimeMs) -> Option<Order> {
        if self.models.is_empty() {
            return self.order_model(now_ms);
        }
        if self.adapters.loading() >= self.settings.max_concurrent_loads {
            return None;
        }
        if let Some(order) = self.order_replacement(now_ms) {
            return Some(order);
        }
        let missing = self.missing_adapter(now_ms)?;
        let fetch_limit = self
            .load_times
            .load_limit(self.settings.max_concurrent_loads);
        if !self.is_copied(&missing) && self.adapters.loading() >= fetch_limit {
            return None;
        }
        if self.adapters.taken() < self.limits.adapter_slots as usize {
            return Some(self.order_adapter(&missing, now_ms));
        }
        let victim = self
            .adapters
            .victim(now_ms, |name| self.queue.needs_adapter(name))?;
        Some(self.orders.issue_adapter(OrderKind::Unload, &victim, None))
    }

    /// Returns the missing adapter to load next: one of which the host has a copy, which takes little
    /// time and nothing from the weight store, then the one with the highest weight; see
    /// [`EngineQueue::missing_adapters`].
    pub(super) fn missing_adapter(&self, now_ms: TimeMs) -> Option<Arc<str>> {
        self.missing_adapters(now_ms)
            .into_iter()
            .map(|(name, weight)| (self.is_copied(name), weight, name))
            .max_by(
                |(is_copied_a, weight_a, name_a), (is_copied_b, weight_b, name_b)| {
                    is_copied_a
                        .cmp(is_copied_b)
                        .then_with(|| weight_a.total_cmp(weight_b))
                        .then_with(|| name_b.cmp(name_a))
                },
            )
            .map(|(.., name)| Arc::clone(name))
    }

    /// Returns the adapters for which requests wait and that have no slot, with their weights.
    pub(super) fn missing_adapters(&self, now_ms: TimeMs) -> HashMap<&Arc<str>, f64> {
        let load_ms = |adapter: &str| self.load_ms(adapter) as u64;
        self.queue
            .missing_adapters(now_ms, load_ms, |request, adapter| {
                self.adapters.state(adapter).is_none() && self.may_serve(&request.model)
            })
    }

    /// Issues the order to replace a loaded adapter by its newer version.
    pub(super) fn order_replacement(&mut self, now_ms: TimeMs) -> Option<Order> {
        let name = self.replacements.take_due(now_ms)?;
        let is_outdated = self.adapters.version(&name)? < self.replacements.newest(&name);
        is_outdated.then(|| self.order_adapter(&name, now_ms))
    }

    /// Issues the order to load the newest version of an adapter.
    pub(super) fn order_adapter(&mut self, name: &Arc<str>, now_ms: TimeMs) -> Order {
        let newest = self.replacements.newest(name);
        self.adapters.start_load(Arc::clone(name), newest, now_ms);
        let version = Some(newest).filter(|&version| version > 0);
        self.orders.issue_adapter(OrderKind::Load, name, version)
    }

    /// Issues the order to load a base model into an empty engine.
    pub(super) fn order_model(&mut self, now_ms: TimeMs) -> Option<Order> {
        let (choice, gap_ms) = (self.settings.engine_seed, self.settings.model_load_gap_ms);
        let model = self
            .models
            .next_load(&self.limits, choice, gap_ms, now_ms)?;
        Some(self.orders.issue_model(model))
    }
}
