//! How many fetches the weight store carries at once before they slow each other down.
//!
//! The store does not publish it. While fetches take as long as a single one, the limit grows: at first with
//! each fetch that ends, so that it triples in the time of a fetch, and slowly once the store has been found
//! full. A fetch that takes longer shows the store's capacity: the mean number in transit during the fetch,
//! divided by its slow-down.

use {super::load_times::MIN_FETCH_MS, crate::TimeMs, std::collections::VecDeque};

/// Slow-down from which on the store counts as full; less may come from the times of reports.
const MIN_SLOWDOWN: f64 = 1.3;
/// Slow-down that is aimed at, so that the store is never idle.
const AIMED_SLOWDOWN: f64 = 1.1;
/// Weight of the newest estimate in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Share of the limit that must be in use for a fast fetch to show that more are possible.
const MIN_USED_SHARE: f64 = 0.8;
/// Growth of the limit with each fast fetch until the store has been found full.
const FIRST_GROWTH: f64 = 2.0;
/// Maximum number of changes of the number in transit that are kept.
const MAX_CHANGES: usize = 4_096;

/// The number of fetches that may be in transit over the whole fleet, learned from their times.
#[derive(Clone, Debug, Default)]
pub struct TransferLimit {
    learned: Option<f64>,
    shortest_ms: Option<f64>,
    is_store_full: bool,
    changes: VecDeque<Change>,
}

/// A change of the number in transit.
#[derive(Clone, Copy, Debug)]
struct Change {
    at_ms: TimeMs,
    in_transit: u32,
    /// The sum over the time until then of the number in transit.
    transit_ms: u64,
}

impl TransferLimit {
    /// Records how many fetches are in transit from now on.
    pub fn record_in_transit(&mut self, in_transit: u32, now_ms: TimeMs) {
        let transit_ms = self.transit_ms(now_ms);
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at_ms: now_ms,
            in_transit,
            transit_ms,
        });
    }

    /// Records the time of a fetch that ended now at one of `engines` engines.
    pub fn record(&mut self, fetch_ms: u64, engines: usize, now_ms: TimeMs) {
        if fetch_ms < MIN_FETCH_MS {
            return;
        }
        let in_transit = self.mean_in_transit(fetch_ms, now_ms);
        let fetch_ms = fetch_ms as f64;
        let shortest_ms = self.shortest_ms.map_or(fetch_ms, |ms| ms.min(fetch_ms));
        self.shortest_ms = Some(shortest_ms);
        let limit = self.limit_for(engines);
        let slowdown = fetch_ms / shortest_ms;
        let learned = if slowdown > MIN_SLOWDOWN {
            self.is_store_full = true;
            limit + NEWEST_WEIGHT * (in_transit * AIMED_SLOWDOWN / slowdown - limit)
        } else if in_transit < MIN_USED_SHARE * limit {
            limit
        } else if self.is_store_full {
            limit + 1.0 / limit
        } else {
            limit + FIRST_GROWTH
        };
        self.learned = Some(learned.max(1.0));
    }

    /// Returns by how much a fetch may take longer than a single one while the store is not full, in milliseconds.
    #[must_use]
    pub fn usual_delay_ms(&self) -> u64 {
        (self.shortest_ms.unwrap_or(0.0) * (MIN_SLOWDOWN - 1.0)) as u64
    }

    /// Returns whether the limit was learned from fetches.
    #[must_use]
    pub const fn is_store_known(&self) -> bool {
        self.learned.is_some()
    }

    /// Returns the number of fetches that may be in transit to this number of engines.
    #[must_use]
    pub fn get(&self, engines: usize) -> u32 {
        self.limit_for(engines).round().max(1.0) as u32
    }

    fn limit_for(&self, engines: usize) -> f64 {
        // One fetch for each engine until the limit is known.
        self.learned.unwrap_or((engines as f64).max(1.0))
    }

    /// Returns the mean number in transit over the last `duration_ms` milliseconds.
    fn mean_in_transit(&self, duration_ms: u64, now_ms: TimeMs) -> f64 {
        let from_ms = now_ms.saturating_sub(duration_ms);
        let transit_ms = self.transit_ms(now_ms) - self.transit_ms(from_ms);
        (transit_ms as f64 / duration_ms as f64).max(1.0)
    }

    /// Returns the sum of the number in transit over the time until `at_ms`.
    fn transit_ms(&self, at_ms: TimeMs) -> u64 {
        let index = self.changes.partition_point(|change| change.at_ms <= at_ms);
        match index.checked_sub(1) {
            Some(last) => {
                let last = self.changes[last];
                last.transit_ms + (at_ms - last.at_ms) * u64::from(last.in_transit)
            }
            None => self.changes.front().map_or(0, |first| first.transit_ms),
        }
    }
}
