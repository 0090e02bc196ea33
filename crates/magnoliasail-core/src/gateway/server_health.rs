//! Health of a backend server, derived from the outcomes of requests.
//!
//! Health checks are not used: a server may fail requests while it reports itself healthy.

use crate::TimeMs;

/// Weight of the newest outcome in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time after which the averages have decayed by half.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Exponential moving averages of a server's failures and time to first byte. Both decay over time,
/// so that an avoided server is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failure_share: f64,
    first_byte_ms: f64,
    updated_ms: TimeMs,
}

impl ServerHealth {
    /// Records a successful answer and its time to first byte, in milliseconds.
    pub fn record_success(&mut self, first_byte_ms: u64, now_ms: TimeMs) {
        self.decay(now_ms);
        self.failure_share -= NEWEST_WEIGHT * self.failure_share;
        self.first_byte_ms += NEWEST_WEIGHT * (first_byte_ms as f64 - self.first_byte_ms);
    }

    /// Records a failure caused by the server rather than by the request.
    pub fn record_failure(&mut self, now_ms: TimeMs) {
        self.decay(now_ms);
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share);
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self, now_ms: TimeMs) -> f64 {
        self.failure_share * self.decay_factor(now_ms)
    }

    /// Returns the average time to first byte of recent answers, in milliseconds; 0 if unknown.
    #[must_use]
    pub fn first_byte_ms(&self, now_ms: TimeMs) -> f64 {
        self.first_byte_ms * self.decay_factor(now_ms)
    }

    fn decay_factor(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    fn decay(&mut self, now_ms: TimeMs) {
        let factor = self.decay_factor(now_ms);
        self.failure_share *= factor;
        self.first_byte_ms *= factor;
        self.updated_ms = now_ms;
    }
}
