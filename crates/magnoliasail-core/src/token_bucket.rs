//! A token bucket rate limiter that takes the time as an argument.

use crate::TimeMs;

/// A token bucket: tokens accrue at a fixed rate, up to the burst size.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_ms: TimeMs,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that accrue at `rate_per_s`.
    #[must_use]
    pub const fn new(rate_per_s: f64, burst: f64, now_ms: TimeMs) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            updated_ms: now_ms,
        }
    }

    /// Changes the rate and the burst size; accrued tokens are kept up to the new burst size.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64, now_ms: TimeMs) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one token; returns `false` if there is none.
    pub fn take(&mut self, now_ms: TimeMs) -> bool {
        self.take_above(now_ms, 0.0)
    }

    /// Takes one token; returns `false` if fewer than `reserve` tokens would be left.
    pub fn take_above(&mut self, now_ms: TimeMs, reserve: f64) -> bool {
        self.refill(now_ms);
        if self.tokens < 1.0 + reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until a token can be taken, in milliseconds; zero if the rate is zero.
    #[must_use]
    pub fn wait_ms(&self, now_ms: TimeMs) -> u64 {
        self.wait_above_ms(now_ms, 0.0)
    }

    /// Returns the time until a token can be taken that leaves `reserve` tokens, in milliseconds;
    /// zero if the rate is zero.
    #[must_use]
    pub fn wait_above_ms(&self, now_ms: TimeMs, reserve: f64) -> u64 {
        let missing = 1.0 + reserve - self.tokens_at(now_ms);
        if missing <= 0.0 || self.rate_per_s <= 0.0 {
            return 0;
        }
        (missing / self.rate_per_s * 1_000.0).ceil() as u64
    }

    fn refill(&mut self, now_ms: TimeMs) {
        self.tokens = self.tokens_at(now_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    fn tokens_at(&self, now_ms: TimeMs) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        (self.tokens + self.rate_per_s * elapsed_ms as f64 / 1_000.0).min(self.burst)
    }
}
