//! Shares the weight store's rate among processes with no coordinator.
//!
//! Each process takes the published rate divided by the number of live peers, lends itself more
//! while the store accepts, and lowers its claim when the store refuses.
//!
//! ```
//! use magnoliasail_core::LoadBudget;
//!
//! let mut budget = LoadBudget::new(7.0, 0);
//! budget.set_peers(7, 0);
//! assert!(budget.take(0));
//! assert!(!budget.take(0));
//! ```

use crate::{TimeMs, TokenBucket};

const GROWTH_PER_LOAD: f64 = 0.02;
const SHRINK_ON_REFUSAL: f64 = 0.97;
const SHRINK_INTERVAL_MS: u64 = 1_000;
const MIN_CLAIM: f64 = 0.8;
const MAX_CLAIM: f64 = 2.0;
const BURST_LOADS: f64 = 1.0;

/// One process's claim on the weight store.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    fleet_rate_per_s: f64,
    peers: usize,
    claim: f64,
    shrunk_ms: TimeMs,
    bucket: TokenBucket,
}

impl LoadBudget {
    /// Creates the budget of the only process of a fleet that may load `fleet_rate_per_s`.
    #[must_use]
    pub const fn new(fleet_rate_per_s: f64, now_ms: TimeMs) -> Self {
        Self {
            fleet_rate_per_s,
            peers: 1,
            claim: 1.0,
            shrunk_ms: 0,
            bucket: TokenBucket::new(fleet_rate_per_s, BURST_LOADS, now_ms),
        }
    }

    /// Changes the rate that the operators allow the fleet.
    pub fn set_fleet_rate(&mut self, fleet_rate_per_s: f64, now_ms: TimeMs) {
        self.fleet_rate_per_s = fleet_rate_per_s;
        self.apply(now_ms);
    }

    /// Changes the number of live processes that share the rate, this one included.
    pub fn set_peers(&mut self, peers: usize, now_ms: TimeMs) {
        self.peers = peers.max(1);
        self.apply(now_ms);
    }

    /// Takes the permission for one load.
    pub fn take(&mut self, now_ms: TimeMs) -> bool {
        self.bucket.take(now_ms)
    }

    /// Returns the milliseconds until the next permission.
    #[must_use]
    pub fn wait_ms(&self, now_ms: TimeMs) -> u64 {
        self.bucket.wait_ms(now_ms)
    }

    /// Raises the claim after the store has accepted a load.
    pub fn accepted(&mut self, now_ms: TimeMs) {
        self.claim = (self.claim + GROWTH_PER_LOAD).min(MAX_CLAIM);
        self.apply(now_ms);
    }

    /// Lowers the claim after the store has refused loads, at most once per interval.
    ///
    /// Every peer hears of every refusal, so that all of them lower their claims together.
    pub fn refused(&mut self, now_ms: TimeMs) {
        if now_ms < self.shrunk_ms + SHRINK_INTERVAL_MS {
            return;
        }
        self.shrunk_ms = now_ms;
        self.claim = (self.claim * SHRINK_ON_REFUSAL).max(MIN_CLAIM);
        self.apply(now_ms);
    }

    /// Returns the current rate of this process, in loads per second.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        (self.fleet_rate_per_s * self.claim / self.peers as f64).min(self.fleet_rate_per_s)
    }

    fn apply(&mut self, now_ms: TimeMs) {
        self.bucket.set_rate(self.rate_per_s(), BURST_LOADS, now_ms);
    }
}
