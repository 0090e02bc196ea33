//! The adapter slots of one engine, with pins.
//!
//! Each request pins the slot of its adapter. A slot's generation changes whenever another adapter
//! is loaded into it, which binds a request to the load that it was admitted for. Only unpinned
//! slots can be evicted.
//!
//! ```
//! use magnoliasail_core::{AdapterRef, PinResult, SlotTable};
//!
//! let mut slots = SlotTable::new(1);
//! let breeds = AdapterRef::new("breeds", "v1", "d");
//! let PinResult::Reserved { slot, .. } = slots.pin(&breeds, 0.0, 0) else { panic!() };
//! slots.mark_loaded(slot);
//! assert!(matches!(slots.pin(&breeds, 0.0, 1), PinResult::Ready { .. }));
//! assert!(matches!(slots.pin(&AdapterRef::new("other", "v1", "d"), 0.0, 2), PinResult::Busy));
//! ```

use crate::{AdapterRef, TimeMs, demand::decayed};

/// The result of [`SlotTable::pin`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PinResult {
    /// The adapter is resident; its slot is pinned.
    Ready {
        /// Index of the slot.
        slot: usize,
    },
    /// The adapter is already being loaded; its slot is pinned and the request waits for the load.
    Loading {
        /// Index of the slot.
        slot: usize,
    },
    /// A slot was reserved and pinned; the caller must load the adapter into it.
    Reserved {
        /// Index of the slot.
        slot: usize,
        /// Adapter that was evicted from the slot, if any.
        evicted: Option<AdapterRef>,
    },
    /// Every slot is pinned or loading another adapter; nothing was pinned.
    Busy,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    Empty,
    Loading,
    Ready,
}

#[derive(Clone, Debug)]
struct Slot {
    adapter: Option<AdapterRef>,
    state: SlotState,
    generation: u64,
    pins: u32,
    used_ms: TimeMs,
    uses: f64,
}

impl Slot {
    const fn empty() -> Self {
        Self {
            adapter: None,
            state: SlotState::Empty,
            generation: 0,
            pins: 0,
            used_ms: 0,
            uses: 0.0,
        }
    }

    /// Returns the decayed count of uses at `now_ms`.
    fn uses_at(&self, now_ms: TimeMs) -> f64 {
        decayed(self.uses, self.used_ms, now_ms)
    }

    /// Counts one use and adds one pin.
    fn pin(&mut self, now_ms: TimeMs) {
        self.uses = self.uses_at(now_ms) + 1.0;
        self.used_ms = now_ms;
        self.pins += 1;
    }
}

/// The slots of one engine.
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: Vec<Slot>,
    generation: u64,
}

impl SlotTable {
    /// Creates a table of `count` empty slots.
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            slots: vec![Slot::empty(); count],
            generation: 0,
        }
    }

    /// Finds or reserves a slot for an adapter and pins it, in one step.
    ///
    /// A newly reserved slot starts with `past_uses`, the decayed uses of the adapter on other
    /// servers.
    pub fn pin(&mut self, adapter: &AdapterRef, past_uses: f64, now_ms: TimeMs) -> PinResult {
        if let Some(slot) = self.find(adapter) {
            self.slots[slot].pin(now_ms);
            return match self.slots[slot].state {
                SlotState::Ready => PinResult::Ready { slot },
                SlotState::Loading | SlotState::Empty => PinResult::Loading { slot },
            };
        }
        let Some(slot) = self.victim(now_ms) else {
            return PinResult::Busy;
        };
        self.generation += 1;
        let generation = self.generation;
        let entry = &mut self.slots[slot];
        let evicted = entry.adapter.replace(adapter.clone());
        *entry = Slot {
            adapter: entry.adapter.take(),
            state: SlotState::Loading,
            generation,
            ..Slot::empty()
        };
        entry.pin(now_ms);
        entry.uses = entry.uses.max(past_uses);
        PinResult::Reserved { slot, evicted }
    }

    /// Releases one pin of a slot; does nothing if its generation no longer matches.
    pub fn unpin(&mut self, slot: usize, generation: u64) {
        let entry = &mut self.slots[slot];
        if entry.generation == generation {
            entry.pins = entry.pins.saturating_sub(1);
        }
    }

    /// Marks the adapter that was being loaded into a slot as resident.
    pub fn mark_loaded(&mut self, slot: usize) {
        if self.slots[slot].state == SlotState::Loading {
            self.slots[slot].state = SlotState::Ready;
        }
    }

    /// Marks a resident adapter as lost by the engine; the pins are kept while it is loaded again.
    pub fn mark_unloaded(&mut self, slot: usize) {
        self.slots[slot].state = SlotState::Loading;
    }

    /// Empties a slot whose load was abandoned.
    pub fn clear(&mut self, slot: usize) {
        self.slots[slot] = Slot::empty();
    }

    /// Empties every slot after the engine restarted without adapters.
    pub fn clear_all(&mut self) {
        self.slots.fill(Slot::empty());
    }

    /// Returns the index of the slot that holds or is loading an adapter.
    #[must_use]
    pub fn find(&self, adapter: &AdapterRef) -> Option<usize> {
        self.slots
            .iter()
            .position(|slot| slot.adapter.as_ref() == Some(adapter))
    }

    /// Returns the generation of a slot, which changes with each load of another adapter.
    #[must_use]
    pub fn generation(&self, slot: usize) -> u64 {
        self.slots[slot].generation
    }

    /// Returns the adapter that a slot holds or is loading.
    #[must_use]
    pub fn adapter(&self, slot: usize) -> Option<&AdapterRef> {
        self.slots[slot].adapter.as_ref()
    }

    /// Returns whether a slot's adapter is resident.
    #[must_use]
    pub fn is_ready(&self, slot: usize) -> bool {
        self.slots[slot].state == SlotState::Ready
    }

    /// Returns the number of pins on a slot.
    #[must_use]
    pub fn pins(&self, slot: usize) -> u32 {
        self.slots[slot].pins
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the table has no slots.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the number of pinned slots.
    #[must_use]
    pub fn pinned(&self) -> usize {
        self.slots.iter().filter(|slot| slot.pins > 0).count()
    }

    /// Returns the number of loads in progress.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.state == SlotState::Loading)
            .count()
    }

    /// Returns the adapters that are resident or being loaded.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.slots.iter().filter_map(|slot| slot.adapter.as_ref())
    }

    /// Returns the recent uses of the adapter that the next load would evict: zero if a slot is
    /// empty, infinity if nothing can be evicted.
    #[must_use]
    pub fn victim_uses(&self, now_ms: TimeMs) -> f64 {
        self.victim(now_ms)
            .map_or(f64::INFINITY, |slot| self.slots[slot].uses_at(now_ms))
    }

    /// Chooses an empty slot, or the unpinned resident slot with the fewest recent uses; the least
    /// recently used one wins a tie.
    fn victim(&self, now_ms: TimeMs) -> Option<usize> {
        if let Some(empty) = self.slots.iter().position(|slot| slot.adapter.is_none()) {
            return Some(empty);
        }
        self.slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.pins == 0 && slot.state == SlotState::Ready)
            .min_by(|(_, a), (_, b)| {
                a.uses_at(now_ms)
                    .total_cmp(&b.uses_at(now_ms))
                    .then(a.used_ms.cmp(&b.used_ms))
            })
            .map(|(index, _)| index)
    }
}
