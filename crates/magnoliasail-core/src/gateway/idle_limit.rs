//! How long an idle connection to a backend server is trusted.
//!
//! A server may forget an idle connection without notice; what is sent on it next is lost, and
//! nobody knows whether it ran. Each such loss tells how long is too long, so the limit falls at
//! once to half of that and rises again slowly while connections hold.

use crate::TimeMs;

/// How long an idle connection is trusted before any has been lost, in milliseconds.
const FIRST_LIMIT_MS: u64 = 800;
/// The limit never falls below this, so that connections are still used again, in milliseconds.
const LEAST_LIMIT_MS: u64 = 50;
/// Time in which a limit that fell rises again by half, in milliseconds.
const RISE_MS: u64 = 10_000;

/// How long an idle connection is trusted with what may not run twice.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    limit_ms: u64,
    fell_ms: Option<TimeMs>,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self {
            limit_ms: FIRST_LIMIT_MS,
            fell_ms: None,
        }
    }
}

impl IdleLimit {
    /// Returns how long an idle connection is trusted now, in milliseconds.
    #[must_use]
    pub fn limit_ms(&self, now_ms: TimeMs) -> u64 {
        let Some(fell_ms) = self.fell_ms else {
            return self.limit_ms;
        };
        let rises = now_ms.saturating_sub(fell_ms) / RISE_MS;
        let mut limit_ms = self.limit_ms;
        for _ in 0..rises {
            if limit_ms >= FIRST_LIMIT_MS {
                break;
            }
            limit_ms += limit_ms / 2;
        }
        limit_ms.min(FIRST_LIMIT_MS)
    }

    /// Records that a connection was lost on which a request was sent after it had been idle. The
    /// loss of one that was used a moment ago has another cause.
    pub fn record_loss(&mut self, idle_ms: u64, now_ms: TimeMs) {
        if idle_ms < LEAST_LIMIT_MS {
            return;
        }
        let halved_ms = (idle_ms / 2).max(LEAST_LIMIT_MS);
        self.limit_ms = halved_ms.min(self.limit_ms(now_ms));
        self.fell_ms = Some(now_ms);
    }
}
