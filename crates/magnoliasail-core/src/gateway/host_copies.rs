//! Adapters that an engine's host keeps in memory after they have left their slots.
//!
//! A load from the host's memory takes a tenth of the time of a fetch and nothing from the weight
//! store.

use std::collections::VecDeque;

/// Adapters that the engine's host probably still caches, because they were in a slot before.
#[derive(Clone, Debug, Default)]
pub(super) struct HostCopies {
    /// Keys in the order in which the adapters left their slots, oldest first.
    order: VecDeque<u64>,
}

impl HostCopies {
    /// Assumed number of copies that a host keeps; where it keeps fewer, a load is slower than
    /// expected.
    const MAX_COPIES: usize = 80;

    /// Records that an adapter has left its slot.
    pub(super) fn add(&mut self, key: u64) {
        self.order.retain(|&other| other != key);
        self.order.push_back(key);
        if self.order.len() > Self::MAX_COPIES {
            self.order.pop_front();
        }
    }

    /// Returns whether the host probably still caches an adapter.
    pub(super) fn contains(&self, key: u64) -> bool {
        self.order.contains(&key)
    }

    /// Returns the keys of the copies, the least recent first.
    pub(super) fn iter(&self) -> impl Iterator<Item = u64> {
        self.order.iter().copied()
    }
}
