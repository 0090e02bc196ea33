//! How well a backend server does, judged by the outcomes of requests alone.
//!
//! Health answers are not consulted: a server may fail requests while it calls itself healthy.

use crate::TimeMs;

/// Weight of the newest outcome in the running averages.
const NEWEST: f64 = 0.15;
/// Time after which half of what is known is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Running averages of a server's outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failure_share: f64,
    first_byte_ms: f64,
    updated_ms: TimeMs,
}

impl ServerHealth {
    /// Counts an answer and the time until its first byte.
    pub fn record_success(&mut self, first_byte_ms: u64, now_ms: TimeMs) {
        self.decay(now_ms);
        self.failure_share -= NEWEST * self.failure_share;
        self.first_byte_ms += NEWEST * (first_byte_ms as f64 - self.first_byte_ms);
    }

    /// Counts a failure that the request is not to blame for.
    pub fn record_failure(&mut self, now_ms: TimeMs) {
        self.decay(now_ms);
        self.failure_share += NEWEST * (1.0 - self.failure_share);
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self, now_ms: TimeMs) -> f64 {
        self.failure_share * self.memory(now_ms)
    }

    /// Returns the recent time until the first byte, in milliseconds.
    #[must_use]
    pub fn first_byte_ms(&self, now_ms: TimeMs) -> f64 {
        self.first_byte_ms * self.memory(now_ms)
    }

    fn memory(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    fn decay(&mut self, now_ms: TimeMs) {
        let memory = self.memory(now_ms);
        self.failure_share *= memory;
        self.first_byte_ms *= memory;
        self.updated_ms = now_ms;
    }
}
