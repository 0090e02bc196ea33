//! The adapter slots of a model engine, and the choice of an adapter to evict.
//!
//! An engine crashes if it is ordered to load more adapters than it has slots. A slot therefore
//! counts as taken from the load order until the engine itself no longer reports the adapter.

use {
    super::{VersionedAdapter, adapter_version::model_of},
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Time after which the use count of an adapter has decayed by half.
const USES_HALF_LIFE_MS: f64 = 10_000.0;

/// State of an adapter slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load was ordered and is in progress.
    Loading,
    /// The adapter is loaded and can serve requests.
    Resident,
    /// The engine has accepted an unload, which waits for runs that the agent no longer counts, such as those
    /// whose callers have left. No request starts on the adapter any more.
    Unloading {
        /// When the engine accepted the unload.
        since_ms: TimeMs,
    },
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    state: SlotState,
    version: u64,
    /// The number of running requests that use the adapter.
    in_use: u32,
    /// The decayed use count as of `used_ms`.
    uses: f64,
    used_ms: TimeMs,
    /// When the load in progress was ordered; cleared once it completes.
    ordered_ms: Option<TimeMs>,
    /// Whether the load that was ordered last fetches the adapter from the weight store.
    is_fetch: bool,
}

/// The taken adapter slots of an engine, by the full name of the adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterSlots {
    slots: HashMap<Arc<str>, Slot>,
}

impl AdapterSlots {
    /// Returns the number of taken slots.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of slots that adapters of a base model take.
    #[must_use]
    pub fn taken_of(&self, model: &str) -> usize {
        self.slots
            .keys()
            .filter(|name| model_of(name) == model)
            .count()
    }

    /// Returns the number of loads in progress.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.state == SlotState::Loading)
            .count()
    }

    /// Returns the number of adapters whose unload waits for their runs and was accepted later than
    /// `accepted_after_ms`.
    #[must_use]
    pub fn unloading(&self, accepted_after_ms: TimeMs) -> usize {
        self.slots
            .values()
            .filter(|slot| match slot.state {
                SlotState::Unloading { since_ms } => since_ms > accepted_after_ms,
                SlotState::Loading | SlotState::Resident => false,
            })
            .count()
    }

    /// Returns whether an unload waits for its runs.
    #[must_use]
    pub fn is_any_unloading(&self) -> bool {
        let is_unloading = |slot: &Slot| matches!(slot.state, SlotState::Unloading { .. });
        self.slots.values().any(is_unloading)
    }

    /// Returns the number of resident adapters that are not in use.
    #[must_use]
    pub fn unused(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.state == SlotState::Resident && slot.in_use == 0)
            .count()
    }

    /// Returns the number of slots whose adapter is being fetched from the weight store.
    #[must_use]
    pub fn fetching(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.state == SlotState::Loading && slot.is_fetch)
            .count()
    }

    /// Returns the state of an adapter's slot, or `None` if it has no slot.
    #[must_use]
    pub fn state(&self, adapter: &str) -> Option<SlotState> {
        self.slots.get(adapter).map(|slot| slot.state)
    }

    /// Returns whether an adapter is loaded or being loaded.
    #[must_use]
    pub fn is_held(&self, adapter: &str) -> bool {
        matches!(
            self.state(adapter),
            Some(SlotState::Loading | SlotState::Resident)
        )
    }

    /// Returns the version of an adapter that is loaded or being loaded.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u64> {
        self.slots.get(adapter).map(|slot| slot.version)
    }

    /// Returns the full names of the adapters that have a slot, with their versions.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.slots.iter().map(|(name, slot)| (name, slot.version))
    }

    /// Returns whether a running request uses an adapter.
    #[must_use]
    pub fn is_in_use(&self, adapter: &str) -> bool {
        self.slots.get(adapter).is_some_and(|slot| slot.in_use > 0)
    }

    /// Records that a load was ordered. A resident adapter cannot serve until it is replaced.
    ///
    /// `is_fetch` says whether the adapter comes from the weight store.
    pub fn start_load(&mut self, adapter: Arc<str>, version: u64, is_fetch: bool, now_ms: TimeMs) {
        let slot =
            self.slots
                .entry(adapter)
                .or_insert(Slot::new(SlotState::Loading, version, now_ms));
        slot.state = SlotState::Loading;
        slot.version = version;
        slot.ordered_ms = Some(now_ms);
        slot.is_fetch = is_fetch;
    }

    /// Records that the engine has accepted to unload an adapter once its runs have ended. The slot stays taken until
    /// a report no longer has the adapter.
    pub fn start_unload(&mut self, adapter: &str, now_ms: TimeMs) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.state = SlotState::Unloading { since_ms: now_ms };
        }
    }

    /// Frees the slot of an adapter that was unloaded or whose load was rejected.
    pub fn free(&mut self, adapter: &str) {
        self.slots.remove(adapter);
    }

    /// Records that a request has started to use an adapter.
    pub fn pin(&mut self, adapter: &str, now_ms: TimeMs) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.in_use += 1;
            slot.uses = slot.uses_at(now_ms) + 1.0;
            slot.used_ms = now_ms;
        }
    }

    /// Records that a request no longer uses an adapter.
    pub fn unpin(&mut self, adapter: &str) {
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.in_use = slot.in_use.saturating_sub(1);
        }
    }

    /// Returns the adapter to evict: the least used resident one that is not in use and for which
    /// `is_needed` returns `false`.
    #[must_use]
    pub fn victim<F>(&self, now_ms: TimeMs, is_needed: F) -> Option<Arc<str>>
    where
        F: Fn(&str) -> bool,
    {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Resident && slot.in_use == 0)
            .filter(|(name, _)| !is_needed(name))
            .min_by(|(name_a, a), (name_b, b)| {
                a.uses_at(now_ms)
                    .total_cmp(&b.uses_at(now_ms))
                    .then_with(|| name_a.cmp(name_b))
            })
            .map(|(name, _)| Arc::clone(name))
    }

    /// Applies the loaded and loading adapters of a report that was made after the last order.
    /// Returns the times of the loads that have completed since, in milliseconds.
    pub fn reconcile(
        &mut self,
        loaded: &HashMap<Arc<str>, VersionedAdapter>,
        loading: &HashMap<Arc<str>, VersionedAdapter>,
        now_ms: TimeMs,
    ) -> Vec<u64> {
        let mut load_times_ms = Vec::new();
        self.slots.retain(|name, slot| {
            loaded.contains_key(name) || loading.contains_key(name) || slot.in_use > 0
        });
        for (name, adapter) in loaded {
            let slot = self.slots.entry(Arc::clone(name)).or_insert(Slot::new(
                SlotState::Resident,
                adapter.version,
                now_ms,
            ));
            // The engine reports an adapter that it unloads until its runs have ended.
            let is_unloading = matches!(slot.state, SlotState::Unloading { .. });
            if !loading.contains_key(name) && !is_unloading {
                slot.state = SlotState::Resident;
                slot.version = adapter.version;
                load_times_ms.extend(slot.ordered_ms.take().map(|at_ms| now_ms - at_ms));
            }
        }
        for (name, adapter) in loading {
            let slot = self.slots.entry(Arc::clone(name)).or_insert(Slot::new(
                SlotState::Loading,
                adapter.version,
                now_ms,
            ));
            slot.state = SlotState::Loading;
        }
        load_times_ms
    }

    /// Clears all slots after a restart of the engine, which loses its adapters.
    pub fn clear(&mut self) {
        self.slots.clear();
    }

    /// Returns the full names of the adapters that are loaded or being loaded, with their decayed use counts.
    pub fn uses(&self, now_ms: TimeMs) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.slots
            .iter()
            .filter(|(_, slot)| !matches!(slot.state, SlotState::Unloading { .. }))
            .map(move |(name, slot)| (name, slot.uses_at(now_ms)))
    }
}

impl Slot {
    /// Creates the slot of an adapter that was never used and whose load was not ordered here.
    const fn new(state: SlotState, version: u64, now_ms: TimeMs) -> Self {
        Self {
            state,
            version,
            in_use: 0,
            uses: 0.0,
            used_ms: now_ms,
            ordered_ms: None,
            is_fetch: false,
        }
    }

    fn uses_at(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.used_ms) as f64;
        self.uses * 0.5_f64.powf(age_ms / USES_HALF_LIFE_MS)
    }
}
