//! The rate at which an engine reads prompts, measured while it has any to read.
//!
//! An engine reads prompts between the steps of its batch, so the rate falls as the batch fills. It
//! is measured over the time in which at least one started request has no event yet.

use crate::TimeMs;

/// Assumed rate until prompts have been read, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 20.0;
/// Weight of the assumed rate, as the time over which it would have been measured.
const INITIAL_WEIGHT_MS: f64 = 300.0;
/// Measured time beyond which older measurements count half.
const WINDOW_MS: f64 = 3_000.0;
/// Lowest rate that is reported, so that a stalled engine has a finite expected wait.
const MIN_TOKENS_PER_MS: f64 = 0.5;

/// Measures the rate at which an engine reads prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptRate {
    tokens: f64,
    busy_ms: f64,
    /// The number of prompts that are being read.
    reading: u32,
    /// The time up to which `busy_ms` is accounted.
    accounted_ms: TimeMs,
}

impl Default for PromptRate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS_PER_MS * INITIAL_WEIGHT_MS,
            busy_ms: INITIAL_WEIGHT_MS,
            reading: 0,
            accounted_ms: 0,
        }
    }
}

impl PromptRate {
    /// Records that the engine has received a prompt.
    pub(super) fn start(&mut self, now_ms: TimeMs) {
        self.account(now_ms);
        self.reading += 1;
    }

    /// Records that a prompt of `tokens` tokens was read, or 0 tokens if it was given up.
    pub(super) fn finish(&mut self, tokens: u64, now_ms: TimeMs) {
        self.account(now_ms);
        self.reading = self.reading.saturating_sub(1);
        self.tokens += tokens as f64;
        if self.busy_ms > WINDOW_MS {
            self.tokens /= 2.0;
            self.busy_ms /= 2.0;
        }
    }

    /// Returns the rate in tokens per millisecond.
    pub(super) fn tokens_per_ms(&self) -> f64 {
        (self.tokens / self.busy_ms).max(MIN_TOKENS_PER_MS)
    }

    fn account(&mut self, now_ms: TimeMs) {
        if self.reading > 0 {
            self.busy_ms += now_ms.saturating_sub(self.accounted_ms) as f64;
        }
        self.accounted_ms = now_ms;
    }
}
