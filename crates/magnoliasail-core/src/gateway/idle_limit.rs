//! Adaptive limit on how long a connection to a backend server may be idle before it is reused.
//!
//! A server may drop an idle connection without notice. The next request sent on it is lost, and
//! it is unknown whether it ran. After such a loss the limit falls at once to half the idle time of
//! the lost connection, and rises again slowly while no connection is lost.

use crate::TimeMs;

/// Initial limit, which is also the highest one.
const MAX_LIMIT_MS: u64 = 800;
/// Lowest limit, so that connections are still reused.
const MIN_LIMIT_MS: u64 = 50;
/// Time after which a lowered limit rises by half of its value.
const RISE_INTERVAL_MS: u64 = 10_000;

/// How long a connection may be idle before it is reused for a request that must not run twice.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    /// The limit as of the last loss.
    limit_ms: u64,
    /// When the limit was last lowered.
    lowered_ms: Option<TimeMs>,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self {
            limit_ms: MAX_LIMIT_MS,
            lowered_ms: None,
        }
    }
}

impl IdleLimit {
    /// Returns the current limit, in milliseconds.
    #[must_use]
    pub fn limit_ms(&self, now_ms: TimeMs) -> u64 {
        let Some(lowered_ms) = self.lowered_ms else {
            return self.limit_ms;
        };
        let rises = now_ms.saturating_sub(lowered_ms) / RISE_INTERVAL_MS;
        let mut limit_ms = self.limit_ms;
        for _ in 0..rises {
            if limit_ms >= MAX_LIMIT_MS {
                break;
            }
            limit_ms += limit_ms / 2;
        }
        limit_ms.min(MAX_LIMIT_MS)
    }

    /// Records that a connection was lost when a request was sent on it after `idle_ms` without
    /// use. A loss after a shorter idle time than the lowest limit has another cause and is
    /// ignored.
    pub fn record_loss(&mut self, idle_ms: u64, now_ms: TimeMs) {
        if idle_ms < MIN_LIMIT_MS {
            return;
        }
        let halved_ms = (idle_ms / 2).max(MIN_LIMIT_MS);
        self.limit_ms = halved_ms.min(self.limit_ms(now_ms));
        self.lowered_ms = Some(now_ms);
    }
}
