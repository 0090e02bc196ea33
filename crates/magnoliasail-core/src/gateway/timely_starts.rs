//! How much of an engine's capacity requests that are in time have taken lately.
//!
//! Load: more requests arrive than the engine can start. Those that can be in time start before late ones, so
//! that a late request gets only what they leave, which may be nothing until its deadline. The next seconds
//! are expected to be like the last ones.

use {crate::TimeMs, std::collections::VecDeque};

/// The time over which starts are counted: about as long as a request may wait.
const WINDOW_MS: u64 = 4_000;

/// The starts of requests that were in time.
#[derive(Clone, Debug, Default)]
pub(super) struct TimelyStarts {
    recent_ms: VecDeque<TimeMs>,
}

impl TimelyStarts {
    /// Longest wait that is predicted, in milliseconds.
    pub(super) const MAX_WAIT_MS: u64 = WINDOW_MS;

    /// Records the start of a request that was in time.
    pub(super) fn record(&mut self, now_ms: TimeMs) {
        while self
            .recent_ms
            .front()
            .is_some_and(|&started_ms| started_ms + WINDOW_MS <= now_ms)
        {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(now_ms);
    }

    /// Returns the expected time between two starts of late requests, in milliseconds, if the engine starts a
    /// request every `start_interval_ms`; infinite if those in time leave it no room.
    pub(super) fn late_interval_ms(&self, start_interval_ms: f64, now_ms: TimeMs) -> f64 {
        let is_recent = |&&started_ms: &&TimeMs| started_ms + WINDOW_MS > now_ms;
        let timely = self.recent_ms.iter().filter(is_recent).count();
        let possible = WINDOW_MS as f64 / start_interval_ms.max(f64::EPSILON);
        let left_share = 1.0 - timely as f64 / possible;
        if left_share > 0.0 {
            start_interval_ms / left_share
        } else {
            f64::INFINITY
        }
    }
}
