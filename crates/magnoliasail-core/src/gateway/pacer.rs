//! Spaces requests so that they keep to a rate.
//!
//! Each request takes the next of the times that lie one interval apart. Times that have passed unused
//! can still be taken for a moment, so that requests which come in small bursts get the whole rate;
//! older ones are lost, so that no burst follows a time without requests.

use {super::RequestRate, crate::TimeMs};

/// Time for which an unused time can still be taken.
const MAX_SAVED_US: u64 = 500_000;
const US_PER_MS: u64 = 1_000;

/// The times at which requests may be sent to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacer {
    next_us: u64,
}

impl Pacer {
    /// Creates a pacer whose first request may be sent one interval from now.
    #[must_use]
    pub const fn new(rate: RequestRate, now_ms: TimeMs) -> Self {
        Self {
            next_us: now_ms * US_PER_MS + rate.interval_us(),
        }
    }

    /// Returns the time until a request may be sent after `ahead` others, in milliseconds.
    #[must_use]
    pub const fn wait_ms(&self, rate: RequestRate, ahead: u64, now_ms: TimeMs) -> u64 {
        let now_us = now_ms * US_PER_MS;
        let first_us = self.first_us(now_us);
        let due_us = first_us.saturating_add(rate.interval_us().saturating_mul(ahead));
        due_us.saturating_sub(now_us).div_ceil(US_PER_MS)
    }

    /// Returns how many requests may be sent now.
    #[must_use]
    pub fn available(&self, rate: RequestRate, now_ms: TimeMs) -> usize {
        let now_us = now_ms * US_PER_MS;
        let first_us = self.first_us(now_us);
        if first_us > now_us {
            return 0;
        }
        let saved = (now_us - first_us).checked_div(rate.interval_us());
        saved.map_or(usize::MAX, |saved| saved as usize + 1)
    }

    /// Takes the next time, for a request that is sent now or reserved for then.
    pub const fn take(&mut self, rate: RequestRate, now_ms: TimeMs) {
        let first_us = self.first_us(now_ms * US_PER_MS);
        self.next_us = first_us.saturating_add(rate.interval_us());
    }

    /// Drops the times that have passed unused.
    pub fn drop_saved(&mut self, now_ms: TimeMs) {
        self.next_us = self.next_us.max(now_ms * US_PER_MS);
    }

    /// Allows no request within the next `wait_ms` milliseconds.
    pub const fn postpone(&mut self, wait_ms: u64, now_ms: TimeMs) {
        self.next_us = (now_ms + wait_ms) * US_PER_MS;
    }

    const fn first_us(&self, now_us: u64) -> u64 {
        let oldest_us = now_us.saturating_sub(MAX_SAVED_US);
        if self.next_us > oldest_us {
            self.next_us
        } else {
            oldest_us
        }
    }
}
