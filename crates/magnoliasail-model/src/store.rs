//! A fake weight store in virtual time.
//!
//! A load takes `LOAD_MS` while at most `FULL_SPEED` are served at once and at most `TRANSIT` are
//! under way, and proportionally longer beyond either. The rate is a token bucket.

use magnoliasail_core::TokenBucket;

pub(crate) const LOAD_MS: u64 = 250;
const FULL_SPEED: f64 = 3.0;
const TRANSIT: f64 = 25.0;
const FAIL_ONE_IN: u64 = 10;

/// What the store does with a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreAnswer {
    /// The load completes after this time, in milliseconds.
    Loads(u64),
    /// The load fails after this time, in milliseconds.
    Fails(u64),
    /// The rate is exceeded.
    Refuses,
}

/// A weight store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    bucket: TokenBucket,
    under_way: u32,
    asked: u64,
    is_failing: bool,
    pub(crate) refusals: u64,
}

impl Store {
    pub(crate) const fn new(loads_per_s: f64, is_failing: bool) -> Self {
        Self {
            bucket: TokenBucket::new(loads_per_s, FULL_SPEED, 0),
            under_way: 0,
            asked: 0,
            is_failing,
            refusals: 0,
        }
    }

    pub(crate) fn load(&mut self, now_ms: u64) -> StoreAnswer {
        if !self.bucket.take(now_ms) {
            self.refusals += 1;
            return StoreAnswer::Refuses;
        }
        self.asked += 1;
        self.under_way += 1;
        let under_way = f64::from(self.under_way);
        let slowdown = (under_way / FULL_SPEED).max(under_way / TRANSIT).max(1.0);
        let load_ms = (LOAD_MS as f64 * slowdown) as u64;
        if self.is_failing && self.asked.is_multiple_of(FAIL_ONE_IN) {
            StoreAnswer::Fails(load_ms)
        } else {
            StoreAnswer::Loads(load_ms)
        }
    }

    pub(crate) const fn finished(&mut self) {
        self.under_way -= 1;
    }
}
