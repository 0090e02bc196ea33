//! How often each adapter is asked for at one entry.
//!
//! A fetch of an adapter costs as much as many requests that cross data centres. A rare adapter is
//! therefore served by one engine of the whole fleet, and one that is asked for often by an engine
//! of the caller's own data centre.

use {
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Adapters that are remembered.
const MAX_ADAPTERS: usize = 8_192;

/// Decayed counts of requests by adapter.
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
    /// Time after which half of the requests are forgotten, in milliseconds.
    const HALF_LIFE_MS: f64 = 15_000.0;

    fn at(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.requests * 0.5_f64.powf(age_ms / Self::HALF_LIFE_MS)
    }
}

impl Popularity {
    /// Counts a request and returns the recent number of requests for its adapter.
    pub fn count(&mut self, adapter: &str, now_ms: TimeMs) -> f64 {
        if let Some(count) = self.counts.get_mut(adapter) {
            count.requests = count.at(now_ms) + 1.0;
            count.at_ms = now_ms;
            return count.requests;
        }
        if self.counts.len() >= MAX_ADAPTERS {
            self.forget(now_ms);
        }
        let count = Count {
            requests: 1.0,
            at_ms: now_ms,
        };
        self.counts.insert(adapter.into(), count);
        1.0
    }

    /// Forgets adapters that have hardly been asked for, or all if there are none such.
    fn forget(&mut self, now_ms: TimeMs) {
        const HARDLY: f64 = 0.5;
        self.counts.retain(|_, count| count.at(now_ms) > HARDLY);
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts.clear();
        }
    }
}
