//! Request rates of adapters at one entry.
//!
//! Fetching an adapter costs as much as many requests that cross data centres. A rare adapter is
//! therefore served by one engine of the whole fleet, a popular one by an engine in the caller's
//! own data centre.

use {
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Maximum number of adapters that are counted.
const MAX_ADAPTERS: usize = 8_192;

/// Decaying request counts by adapter.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    counts: HashMap<Arc<str>, Count>,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    requests: f64,
    at_ms: TimeMs,
}

impl Count {
    /// Time after which a count has decayed by half.
    const HALF_LIFE_MS: f64 = 15_000.0;

    fn at(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.requests * 0.5_f64.powf(age_ms / Self::HALF_LIFE_MS)
    }
}

impl Popularity {
    /// Counts a request and returns the decayed number of requests for its adapter.
    pub fn count(&mut self, adapter: &str, now_ms: TimeMs) -> f64 {
        if let Some(count) = self.counts.get_mut(adapter) {
            count.requests = count.at(now_ms) + 1.0;
            count.at_ms = now_ms;
            return count.requests;
        }
        if self.counts.len() >= MAX_ADAPTERS {
            self.evict(now_ms);
        }
        let count = Count {
            requests: 1.0,
            at_ms: now_ms,
        };
        self.counts.insert(adapter.into(), count);
        1.0
    }

    /// Evicts rarely requested adapters, or all of them if none is rare.
    fn evict(&mut self, now_ms: TimeMs) {
        const RARE_REQUESTS: f64 = 0.5;
        self.counts
            .retain(|_, count| count.at(now_ms) > RARE_REQUESTS);
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts.clear();
        }
    }
}
