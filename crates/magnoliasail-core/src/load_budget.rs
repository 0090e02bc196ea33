//! Shares the weight store's rate among processes with no coordinator.
//!
//! Each process takes the published rate divided by the number of live peers. Load reports tell
//! every process how much of the rate the fleet uses; a process lends itself half of what is left,
//! and nothing while the store refuses.
//!
//! ```
//! use magnoliasail_core::LoadBudget;
//!
//! let mut budget = LoadBudget::new(7.0, 0);
//! budget.set_peers(7, 0);
//! assert!(budget.take(0, 5));
//! assert!(!budget.take(0, 5), "the last load is kept for urgent requests");
//! assert!(budget.take(0, 9));
//! ```

use {
    crate::{TimeMs, TokenBucket},
    std::collections::VecDeque,
};

const WINDOW_MS: u64 = 4_000;
const LENT_SHARE: f64 = 0.5;
const REFUSAL_HOLD_MS: u64 = 1_000;
const SHARE_AFTER_REFUSAL: f64 = 0.9;
const BURST_LOADS: f64 = 2.0;
const URGENT_RESERVE_LOADS: f64 = 1.0;
const URGENT_PRIORITY: u32 = 7;

/// One process's claim on the weight store.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    fleet_rate_per_s: f64,
    peers: usize,
    bucket: TokenBucket,
    loaded_ms: VecDeque<TimeMs>,
    refused_ms: Option<TimeMs>,
    rate_per_s: f64,
}

impl LoadBudget {
    /// Creates the budget of the only process of a fleet that may load `fleet_rate_per_s`.
    #[must_use]
    pub const fn new(fleet_rate_per_s: f64, now_ms: TimeMs) -> Self {
        Self {
            fleet_rate_per_s,
            peers: 1,
            bucket: TokenBucket::new(fleet_rate_per_s, BURST_LOADS, now_ms),
            loaded_ms: VecDeque::new(),
            refused_ms: None,
            rate_per_s: fleet_rate_per_s,
        }
    }

    /// Changes the rate that the operators allow the fleet.
    pub fn set_fleet_rate(&mut self, fleet_rate_per_s: f64, now_ms: TimeMs) {
        self.fleet_rate_per_s = fleet_rate_per_s;
        self.update(now_ms);
    }

    /// Changes the number of live processes that share the rate, this one included.
    pub fn set_peers(&mut self, peers: usize, now_ms: TimeMs) {
        self.peers = peers.max(1);
        self.update(now_ms);
    }

    /// Takes the permission for one load on behalf of a request of this priority.
    pub fn take(&mut self, now_ms: TimeMs, priority: u32) -> bool {
        self.update(now_ms);
        self.bucket.take_above(now_ms, reserve(priority))
    }

    /// Returns the milliseconds until the next permission for a request of this priority.
    #[must_use]
    pub fn wait_ms(&self, now_ms: TimeMs, priority: u32) -> u64 {
        self.bucket.wait_above_ms(now_ms, reserve(priority))
    }

    /// Records that some process of the fleet has loaded an adapter.
    pub fn record_load(&mut self, now_ms: TimeMs) {
        self.loaded_ms.push_back(now_ms);
        self.update(now_ms);
    }

    /// Records that the store has refused a load of some process.
    pub fn record_refusal(&mut self, now_ms: TimeMs) {
        self.refused_ms = Some(now_ms);
        self.update(now_ms);
    }

    /// Returns the current rate of this process, in loads per second.
    #[must_use]
    pub const fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    fn update(&mut self, now_ms: TimeMs) {
        let oldest_ms = now_ms.saturating_sub(WINDOW_MS);
        while self
            .loaded_ms
            .front()
            .is_some_and(|&at_ms| at_ms < oldest_ms)
        {
            self.loaded_ms.pop_front();
        }
        let used_per_s = self.loaded_ms.len() as f64 * 1_000.0 / WINDOW_MS as f64;
        let share_per_s = self.fleet_rate_per_s / self.peers as f64;
        let is_refused = self
            .refused_ms
            .is_some_and(|at_ms| now_ms < at_ms + REFUSAL_HOLD_MS);
        self.rate_per_s = if is_refused {
            share_per_s * SHARE_AFTER_REFUSAL
        } else {
            let spare_per_s = (self.fleet_rate_per_s - used_per_s).max(0.0);
            (share_per_s + LENT_SHARE * spare_per_s).min(self.fleet_rate_per_s)
        };
        self.bucket.set_rate(self.rate_per_s, BURST_LOADS, now_ms);
    }
}

/// Returns the loads that a request of this priority must leave for urgent ones.
const fn reserve(priority: u32) -> f64 {
    if priority >= URGENT_PRIORITY {
        0.0
    } else {
        URGENT_RESERVE_LOADS
    }
}
