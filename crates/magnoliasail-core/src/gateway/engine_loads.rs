//! Which model or adapter an engine loads next, and which adapter it evicts for it.
//!
//! Load: requests wait for more adapters than the weight store delivers at once. An entry permits the fetches of
//! all engines, see [`FetchQueue`](super::FetchQueue); while none answers, each engine limits its own by how slow
//! they have become, and loads first what most requests wait for that can still be in time.

use {
    super::{
        EngineAction, EngineRequest, EngineScheduler, Order, OrderKind, adapter_key,
        message::{EngineFetches, FetchPermits, PendingFetch},
    },
    crate::TimeMs,
    std::{cmp::Reverse, collections::HashMap, sync::Arc},
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
        if !self.is_copied(&missing) && !self.may_fetch(&missing, now_ms) {
            return None;
        }
        if self.has_room(&missing) {
            return Some(self.order_adapter(&missing, now_ms));
        }
        if self.awaits_unloads(now_ms) {
            return None;
        }
        let victim = self
            .adapters
            .victim(now_ms, |name| self.queue.needs_adapter(name))?;
        Some(self.orders.issue_adapter(OrderKind::Unload, &victim, None))
    }

    /// Returns whether the unloads in progress will soon make room for all missing adapters, so that no further
    /// adapter has to go.
    fn awaits_unloads(&self, now_ms: TimeMs) -> bool {
        /// A run whose connection was closed mostly ends sooner. One that goes on may take as long as its stream.
        const MAX_UNLOAD_WAIT_MS: u64 = 200;
        let accepted_after_ms = now_ms.saturating_sub(MAX_UNLOAD_WAIT_MS);
        let unloading = self.adapters.unloading(accepted_after_ms);
        unloading > 0 && unloading >= self.missing_adapters(now_ms).len()
    }

    /// Returns whether an adapter may be fetched now: by a permit, or while there is nobody to give one, within
    /// this engine's own limit.
    fn may_fetch(&self, adapter: &str, now_ms: TimeMs) -> bool {
        if self.fetches.needs_permit(now_ms) {
            return self.fetches.is_permitted(adapter_key(adapter), now_ms);
        }
        self.adapters.loading() < self.max_loads(now_ms)
    }

    /// Returns how many loads may be in progress at this engine: as many as it carries if an entry permits its
    /// fetches, and otherwise fewer while fetches are slow.
    pub(super) fn max_loads(&self, now_ms: TimeMs) -> usize {
        let max_loads = self.settings.max_concurrent_loads;
        if self.fetches.needs_permit(now_ms) {
            return max_loads;
        }
        self.load_times.load_limit(max_loads)
    }

    /// Returns the missing adapter to load next: one of which the host has a copy, which takes little
    /// time and nothing from the weight store, then one whose fetch is permitted, then the one with the highest
    /// weight; see [`EngineQueue::missing_adapters`].
    pub(super) fn missing_adapter(&self, now_ms: TimeMs) -> Option<Arc<str>> {
        self.missing_adapters(now_ms)
            .into_iter()
            .map(|(name, weight)| {
                let is_permitted = self.fetches.is_permitted(adapter_key(name), now_ms);
                ((self.is_copied(name), is_permitted), weight, name)
            })
            .max_by(|(first_a, weight_a, name_a), (first_b, weight_b, name_b)| {
                first_a
                    .cmp(first_b)
                    .then_with(|| weight_a.total_cmp(weight_b))
                    .then_with(|| name_b.cmp(name_a))
            })
            .map(|(.., name)| Arc::clone(name))
    }

    /// Starts anew with an entry that permits fetches, or without one.
    pub fn set_fetch_entry(&mut self, has_entry: bool) {
        self.fetches.set_entry(has_entry);
    }

    /// Applies the permits of the entry.
    pub fn apply_fetch_permits(
        &mut self,
        permits: &FetchPermits,
        now_ms: TimeMs,
        actions: &mut Vec<EngineAction>,
    ) {
        self.fetches.apply(permits, now_ms);
        self.advance(now_ms, actions);
    }

    /// Returns what the entry that permits fetches must be told now, if anything.
    pub fn fetch_message(&mut self, now_ms: TimeMs) -> Option<EngineFetches> {
        if !self.fetches.has_entry() {
            return None;
        }
        let missing = if self.eligibility.check(now_ms).is_ok() {
            self.pending_fetches(now_ms)
        } else {
            Vec::new()
        };
        self.fetches
            .message(missing, self.adapters.fetching(), now_ms)
    }

    /// Returns the adapters that the engine needs from the weight store, as far as it has slots for them.
    fn pending_fetches(&self, now_ms: TimeMs) -> Vec<PendingFetch> {
        let loading = self.adapters.loading();
        let room = (self.settings.max_concurrent_loads.saturating_sub(loading))
            .min(self.slots_available() as usize);
        let fetch_ms = self.load_times.mean_fetch_ms() as u64;
        let is_missing = |request: &EngineRequest, adapter: &Arc<str>| {
            self.adapters.state(adapter).is_none()
                && !self.is_copied(adapter)
                && self.models.is_loaded(&request.model)
                && self.can_hold(adapter)
        };
        let batch_slots = self.limits.batch_slots;
        let mut pending = self
            .queue
            .pending_fetches(now_ms, fetch_ms, batch_slots, is_missing);
        pending.sort_by_key(|fetch| {
            (
                fetch.left_ms.is_none(),
                fetch.left_ms,
                Reverse(fetch.waited_ms),
                fetch.adapter,
            )
        });
        pending.truncate(room);
        pending
    }

    /// Returns the adapters for which requests wait and that have no slot, with their weights.
    pub(super) fn missing_adapters(&self, now_ms: TimeMs) -> HashMap<&Arc<str>, f64> {
        let load_ms = |adapter: &str| self.load_ms(adapter) as u64;
        self.queue
            .missing_adapters(now_ms, load_ms, |request, adapter| {
                self.adapters.state(adapter).is_none()
                    && self.may_serve(&request.model)
                    && self.can_hold(adapter)
            })
    }

    /// Issues the order to load the newest version of an adapter.
    pub(super) fn order_adapter(&mut self, name: &Arc<str>, now_ms: TimeMs) -> Order {
        let newest = self.replacements.newest(name);
        let is_fetch = !self.is_copied(name);
        if is_fetch {
            self.fetches.start(adapter_key(name));
        }
        self.adapters
            .start_load(Arc::clone(name), newest, is_fetch, now_ms);
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
