//! Divides the weight store's load rate among processes without a coordinator.
//!
//! Each process may use the published rate divided by the number of live processes. Load reports
//! show every process how much of the rate the fleet uses; a process may use half of the unused
//! rate on top of its share. While the store refuses loads, a process uses none of the unused rate
//! and slightly less than its share.
//!
//! ```
//! use magnoliasail_core::LoadBudget;
//!
//! let mut budget = LoadBudget::new(7.0, 0);
//! budget.set_peers(7, 0);
//! assert!(budget.take(0, 5));
//! assert!(!budget.take(0, 5), "the last load is reserved for urgent requests");
//! assert!(budget.take(0, 9));
//! ```

use {
    crate::{TimeMs, TokenBucket},
    std::collections::VecDeque,
};

/// Length of the sliding window over which the fleet's loads are counted.
const WINDOW_MS: u64 = 4_000;
/// Fraction of the fleet's unused rate that one process may use on top of its share.
const SPARE_FRACTION: f64 = 0.5;
/// Time after a refusal by the store during which the rate stays reduced.
const REFUSAL_BACKOFF_MS: u64 = 1_000;
/// Fraction of its share that a process uses during the backoff.
const BACKOFF_SHARE_FRACTION: f64 = 0.9;
/// Loads that may start at once after an idle time.
const BURST_LOADS: f64 = 2.0;
/// Loads of the burst that only urgent requests may use.
const URGENT_RESERVE_LOADS: f64 = 1.0;
/// Lowest priority that counts as urgent.
const URGENT_PRIORITY: u32 = 7;

/// The load budget of one process: its share of the weight store's rate.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    fleet_rate_per_s: f64,
    peers: usize,
    bucket: TokenBucket,
    load_times_ms: VecDeque<TimeMs>,
    last_refusal_ms: Option<TimeMs>,
    rate_per_s: f64,
}

impl LoadBudget {
    /// Creates the budget of a process that has no peers yet and may use the whole fleet's rate.
    #[must_use]
    pub const fn new(fleet_rate_per_s: f64, now_ms: TimeMs) -> Self {
        Self {
            fleet_rate_per_s,
            peers: 1,
            bucket: TokenBucket::new(fleet_rate_per_s, BURST_LOADS, now_ms),
            load_times_ms: VecDeque::new(),
            last_refusal_ms: None,
            rate_per_s: fleet_rate_per_s,
        }
    }

    /// Sets the rate that the operators allow the whole fleet, in loads per second.
    pub fn set_fleet_rate(&mut self, fleet_rate_per_s: f64, now_ms: TimeMs) {
        self.fleet_rate_per_s = fleet_rate_per_s;
        self.update(now_ms);
    }

    /// Sets the number of live processes that share the rate, including this one.
    pub fn set_peers(&mut self, peers: usize, now_ms: TimeMs) {
        self.peers = peers.max(1);
        self.update(now_ms);
    }

    /// Takes permission for one load for a request of this priority; returns `false` if there is
    /// none.
    pub fn take(&mut self, now_ms: TimeMs, priority: u32) -> bool {
        self.update(now_ms);
        self.bucket.take_above(now_ms, reserve(priority))
    }

    /// Returns the time until a request of this priority may load, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, now_ms: TimeMs, priority: u32) -> u64 {
        self.bucket.wait_above_ms(now_ms, reserve(priority))
    }

    /// Records that any process of the fleet has loaded an adapter.
    pub fn record_load(&mut self, now_ms: TimeMs) {
        self.load_times_ms.push_back(now_ms);
        self.update(now_ms);
    }

    /// Records that the store has refused a load of any process of the fleet.
    pub fn record_refusal(&mut self, now_ms: TimeMs) {
        self.last_refusal_ms = Some(now_ms);
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
            .load_times_ms
            .front()
            .is_some_and(|&at_ms| at_ms < oldest_ms)
        {
            self.load_times_ms.pop_front();
        }
        let used_per_s = self.load_times_ms.len() as f64 * 1_000.0 / WINDOW_MS as f64;
        let share_per_s = self.fleet_rate_per_s / self.peers as f64;
        let is_backing_off = self
            .last_refusal_ms
            .is_some_and(|at_ms| now_ms < at_ms + REFUSAL_BACKOFF_MS);
        self.rate_per_s = if is_backing_off {
            share_per_s * BACKOFF_SHARE_FRACTION
        } else {
            let spare_per_s = (self.fleet_rate_per_s - used_per_s).max(0.0);
            (share_per_s + SPARE_FRACTION * spare_per_s).min(self.fleet_rate_per_s)
        };
        self.bucket.set_rate(self.rate_per_s, BURST_LOADS, now_ms);
    }
}

/// Returns the number of loads that a request of this priority must leave for urgent requests.
const fn reserve(priority: u32) -> f64 {
    if priority >= URGENT_PRIORITY {
        0.0
    } else {
        URGENT_RESERVE_LOADS
    }
}
