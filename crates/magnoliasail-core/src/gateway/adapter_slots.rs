//! The adapters that a model engine holds, and which of them may be evicted.
//!
//! An engine that is told to load more adapters than it has slots crashes, so a slot counts from
//! the moment a load is ordered until the engine itself no longer lists the adapter.

use {
    super::VersionedAdapter,
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Time after which half of an adapter's past uses are forgotten, in milliseconds.
const USES_HALF_LIFE_MS: f64 = 10_000.0;

/// The state of an adapter's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load was ordered and is under way.
    Loading,
    /// The adapter can serve.
    Resident,
}

/// An adapter's slot.
#[derive(Clone, Copy, Debug)]
struct Slot {
    state: SlotState,
    version: u64,
    in_use: u32,
    uses: f64,
    used_ms: TimeMs,
    /// When the load was ordered, until it is complete.
    ordered_ms: Option<TimeMs>,
}

/// The adapters of an engine, by full name.
#[derive(Clone, Debug, Default)]
pub struct AdapterSlots {
    slots: HashMap<Arc<str>, Slot>,
}

impl AdapterSlots {
    /// Returns the number of slots that are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of loads under way.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.state == SlotState::Loading)
            .count()
    }

    /// Returns the number of resident adapters that no request uses.
    #[must_use]
    pub fn unused(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.state == SlotState::Resident && slot.in_use == 0)
            .count()
    }

    /// Returns the state of an adapter, if it has a slot.
    #[must_use]
    pub fn state(&self, adapter: &str) -> Option<SlotState> {
        self.slots.get(adapter).map(|slot| slot.state)
    }

    /// Returns the version that an adapter has or is getting.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u64> {
        self.slots.get(adapter).map(|slot| slot.version)
    }

    /// Tells whether a request uses an adapter.
    #[must_use]
    pub fn is_in_use(&self, adapter: &str) -> bool {
        self.slots.get(adapter).is_some_and(|slot| slot.in_use > 0)
    }

    /// Records that a load was ordered; a resident adapter is being replaced.
    pub fn load(&mut self, adapter: Arc<str>, version: u64, now_ms: TimeMs) {
        let slot = self.slots.entry(adapter).or_insert(Slot {
            state: SlotState::Loading,
            version,
            in_use: 0,
            uses: 0.0,
            used_ms: now_ms,
            ordered_ms: None,
        });
        slot.state = SlotState::Loading;
        slot.version = version;
        slot.ordered_ms = Some(now_ms);
    }

    /// Records that an adapter was unloaded or that its load was not taken up.
    pub fn free(&mut self, adapter: &str) {
        self.slots.remove(adapter);
    }

    /// Records that a request begins to use an adapter.
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

    /// Returns the least used resident adapter that no request uses and `is_wanted` spares.
    #[must_use]
    pub fn victim<F>(&self, now_ms: TimeMs, is_wanted: F) -> Option<Arc<str>>
    where
        F: Fn(&str) -> bool,
    {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Resident && slot.in_use == 0)
            .filter(|(name, _)| !is_wanted(name))
            .min_by(|(name_a, a), (name_b, b)| {
                a.uses_at(now_ms)
                    .total_cmp(&b.uses_at(now_ms))
                    .then_with(|| name_a.cmp(name_b))
            })
            .map(|(name, _)| Arc::clone(name))
    }

    /// Adopts what the engine holds and what is on its way, as of after the last order; returns how
    /// long the loads took that are complete.
    pub fn reconcile(
        &mut self,
        held: &HashMap<Arc<str>, VersionedAdapter>,
        loading: &HashMap<Arc<str>, VersionedAdapter>,
        now_ms: TimeMs,
    ) -> Vec<u64> {
        let mut load_times_ms = Vec::new();
        self.slots.retain(|name, slot| {
            held.contains_key(name) || loading.contains_key(name) || slot.in_use > 0
        });
        for (name, adapter) in held {
            let slot = self.slots.entry(Arc::clone(name)).or_insert(Slot {
                state: SlotState::Resident,
                version: adapter.version,
                in_use: 0,
                uses: 0.0,
                used_ms: now_ms,
                ordered_ms: None,
            });
            if !loading.contains_key(name) {
                slot.state = SlotState::Resident;
                slot.version = adapter.version;
                load_times_ms.extend(slot.ordered_ms.take().map(|at_ms| now_ms - at_ms));
            }
        }
        for (name, adapter) in loading {
            let uses = self.slots.get(name).map_or(0.0, |slot| slot.uses);
            let slot = self.slots.entry(Arc::clone(name)).or_insert(Slot {
                state: SlotState::Loading,
                version: adapter.version,
                in_use: 0,
                uses,
                used_ms: now_ms,
                ordered_ms: None,
            });
            slot.state = SlotState::Loading;
        }
        load_times_ms
    }

    /// Forgets everything: the engine started anew.
    pub fn clear(&mut self) {
        self.slots.clear();
    }

    /// Returns the names of adapters that have a slot.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.slots.keys()
    }
}

impl Slot {
    fn uses_at(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.used_ms) as f64;
        self.uses * 0.5_f64.powf(age_ms / USES_HALF_LIFE_MS)
    }
}
