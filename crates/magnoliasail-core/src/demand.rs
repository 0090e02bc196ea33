//! How much each adapter is asked for, as an exponentially decaying count.

use {
    crate::{AdapterRef, TimeMs},
    std::collections::HashMap,
};

/// Time in which a count decays to a third, in milliseconds.
pub(crate) const DEMAND_DECAY_MS: f64 = 600_000.0;

const FORGOTTEN_BELOW: f64 = 0.02;
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// Returns what is left of a count after a time.
pub(crate) fn decayed(count: f64, since_ms: TimeMs, now_ms: TimeMs) -> f64 {
    let idle_ms = now_ms.saturating_sub(since_ms) as f64;
    count * (-idle_ms / DEMAND_DECAY_MS).exp()
}

/// The demand for every adapter that has been asked for lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: HashMap<AdapterRef, (f64, TimeMs)>,
    swept_ms: TimeMs,
}

impl Demand {
    /// Counts one request.
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
        if now_ms < self.swept_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_ms = now_ms;
        self.counts
            .retain(|_, &mut (count, since_ms)| decayed(count, since_ms, now_ms) > FORGOTTEN_BELOW);
    }
}
