//! Demand for each adapter, as an exponentially decaying count of its requests.

use {
    crate::{AdapterRef, TimeMs},
    std::collections::HashMap,
};

/// Time constant of the decay: a count falls to 1/e (about a third) in this time.
pub(crate) const DEMAND_DECAY_MS: f64 = 600_000.0;

/// A count that has decayed to this value is removed, which bounds the map.
const MIN_RETAINED_COUNT: f64 = 0.02;
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// Returns a count that was current at `since_ms`, decayed until `now_ms`.
pub(crate) fn decayed(count: f64, since_ms: TimeMs, now_ms: TimeMs) -> f64 {
    let idle_ms = now_ms.saturating_sub(since_ms) as f64;
    count * (-idle_ms / DEMAND_DECAY_MS).exp()
}

/// Decayed request counts of the adapters that were requested recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: HashMap<AdapterRef, (f64, TimeMs)>,
    last_sweep_ms: TimeMs,
}

impl Demand {
    /// Counts one request for an adapter.
    pub(crate) fn observe(&mut self, adapter: &AdapterRef, now_ms: TimeMs) {
        let count = self.count(adapter, now_ms) + 1.0;
        self.counts.insert(adapter.clone(), (count, now_ms));
        self.sweep(now_ms);
    }

    /// Returns the decayed count of requests for an adapter.
    pub(crate) fn count(&self, adapter: &AdapterRef, now_ms: TimeMs) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |&(count, since_ms)| decayed(count, since_ms, now_ms))
    }

    fn sweep(&mut self, now_ms: TimeMs) {
        if now_ms < self.last_sweep_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        self.counts.retain(|_, &mut (count, since_ms)| {
            decayed(count, since_ms, now_ms) > MIN_RETAINED_COUNT
        });
    }
}
