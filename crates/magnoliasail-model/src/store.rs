//! A simulated weight store in virtual time.
//!
//! A load takes `LOAD_MS` while at most `MAX_FULL_SPEED_LOADS` are in progress and at most
//! `MAX_LOADS_IN_TRANSIT` are in transit, and proportionally longer beyond either limit. A token
//! bucket with a burst of `MAX_FULL_SPEED_LOADS` limits the rate of loads.

use magnoliasail_core::TokenBucket;

pub(crate) const LOAD_MS: u64 = 250;
const MAX_FULL_SPEED_LOADS: f64 = 3.0;
const MAX_LOADS_IN_TRANSIT: f64 = 25.0;
/// One load in this number fails if the store is failing.
const FAIL_ONE_IN: u64 = 10;

/// The result of a load that an engine requests from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreResponse {
    /// The load completes after this time, in milliseconds.
    Completes(u64),
    /// The load fails after this time, in milliseconds.
    Fails(u64),
    /// The load is refused because the rate limit is exceeded.
    Refuses,
}

/// The weight store from which all engines load adapters.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    bucket: TokenBucket,
    in_progress: u32,
    accepted: u64,
    is_failing: bool,
    pub(crate) refusals: u64,
}

impl Store {
    pub(crate) const fn new(loads_per_s: f64, is_failing: bool) -> Self {
        Self {
            bucket: TokenBucket::new(loads_per_s, MAX_FULL_SPEED_LOADS, 0),
            in_progress: 0,
            accepted: 0,
            is_failing,
            refusals: 0,
        }
    }

    /// Starts a load, unless the rate limit is exceeded.
    pub(crate) fn start_load(&mut self, now_ms: u64) -> StoreResponse {
        if !self.bucket.take(now_ms) {
            self.refusals += 1;
            return StoreResponse::Refuses;
        }
        self.accepted += 1;
        self.in_progress += 1;
        let in_progress = f64::from(self.in_progress);
        let slowdown = (in_progress / MAX_FULL_SPEED_LOADS)
            .max(in_progress / MAX_LOADS_IN_TRANSIT)
            .max(1.0);
        let load_ms = (LOAD_MS as f64 * slowdown) as u64;
        if self.is_failing && self.accepted.is_multiple_of(FAIL_ONE_IN) {
            StoreResponse::Fails(load_ms)
        } else {
            StoreResponse::Completes(load_ms)
        }
    }

    /// Ends a load that completed or failed.
    pub(crate) const fn finish_load(&mut self) {
        self.in_progress -= 1;
    }
}
