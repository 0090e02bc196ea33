//! The adapter slots of one engine, with pins.
//!
//! A slot's generation changes whenever another adapter is loaded into it, so that a request is
//! bound to the load it was admitted for. Eviction considers only slots without pins.
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

/// What pinning an adapter found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PinResult {
    /// The adapter is resident.
    Ready {
        /// Index of the slot.
        slot: usize,
    },
    /// The adapter is being loaded; the request joins the load.
    Loading {
        /// Index of the slot.
        slot: usize,
    },
    /// A slot has been reserved and the adapter must be loaded into it.
    Reserved {
        /// Index of the slot.
        slot: usize,
        /// Adapter that had to make room.
        evicted: Option<AdapterRef>,
    },
    /// Every slot is pinned by another adapter.
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

    fn uses_at(&self, now_ms: TimeMs) -> f64 {
        decayed(self.uses, self.used_ms, now_ms)
    }

    fn touch(&mut self, now_ms: TimeMs) {
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
    /// A new slot starts with the uses that the adapter has had elsewhere.
    pub fn pin(&mut self, adapter: &AdapterRef, past_uses: f64, now_ms: TimeMs) -> PinResult {
        if let Some(slot) = self.find(adapter) {
            self.slots[slot].touch(now_ms);
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
        entry.touch(now_ms);
        entry.uses = entry.uses.max(past_uses);
        PinResult::Reserved { slot, evicted }
    }

    /// Releases one pin of a slot if its generation still matches.
    pub fn unpin(&mut self, slot: usize, generation: u64) {
        let entry = &mut self.slots[slot];
        if entry.generation == generation {
            entry.pins = entry.pins.saturating_sub(1);
        }
    }

    /// Marks the adapter of a slot as resident.
    pub fn mark_loaded(&mut self, slot: usize) {
        if self.slots[slot].state == SlotState::Loading {
            self.slots[slot].state = SlotState::Ready;
        }
    }

    /// Marks a resident adapter as lost by the engine; its pins stay for the load that follows.
    pub fn mark_unloaded(&mut self, slot: usize) {
        self.slots[slot].state = SlotState::Loading;
    }

    /// Empties a slot whose load was given up.
    pub fn clear(&mut self, slot: usize) {
        self.slots[slot] = Slot::empty();
    }

    /// Empties every slot after the engine restarted cold.
    pub fn clear_all(&mut self) {
        self.slots.fill(Slot::empty());
    }

    /// Returns the index of the slot that holds or loads an adapter.
    #[must_use]
    pub fn find(&self, adapter: &AdapterRef) -> Option<usize> {
        self.slots
            .iter()
            .position(|slot| slot.adapter.as_ref() == Some(adapter))
    }

    /// Returns the generation of a slot.
    #[must_use]
    pub fn generation(&self, slot: usize) -> u64 {
        self.slots[slot].generation
    }

    /// Returns the adapter that a slot holds or loads.
    #[must_use]
    pub fn adapter(&self, slot: usize) -> Option<&AdapterRef> {
        self.slots[slot].adapter.as_ref()
    }

    /// Tells whether a slot's adapter is resident.
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

    /// Tells whether there are no slots.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the number of slots with pins.
    #[must_use]
    pub fn pinned(&self) -> usize {
        self.slots.iter().filter(|slot| slot.pins > 0).count()
    }

    /// Returns the number of loads under way.
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

    /// Returns the recent uses of the adapter that the next load would evict.
    #[must_use]
    pub fn victim_uses(&self, now_ms: TimeMs) -> f64 {
        self.victim(now_ms)
            .map_or(f64::INFINITY, |slot| self.slots[slot].uses_at(now_ms))
    }

    /// Chooses an empty slot, or the unpinned resident one with the least expected use.
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
