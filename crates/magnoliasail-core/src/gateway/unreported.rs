//! Work that an entry has sent to an engine since the engine's last reported state.

use crate::TimeMs;

/// Time after which an engine's agent has reported any work that made a difference.
const REPORTED_AFTER_MS: u64 = 300;

/// Requests that an entry has sent to an engine and that the engine's state does not include yet.
///
/// An agent reports only states that differ enough from the one before, so that requests count as
/// included after some time even without a report.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreportedWork {
    first_ms: TimeMs,
    requests: u32,
    prompt_tokens: u64,
}

impl UnreportedWork {
    /// Records that a request was sent.
    pub const fn add(&mut self, prompt_tokens: u64, now_ms: TimeMs) {
        if self.is_expired(now_ms) {
            *self = Self {
                first_ms: now_ms,
                requests: 0,
                prompt_tokens: 0,
            };
        }
        self.requests += 1;
        self.prompt_tokens = self.prompt_tokens.saturating_add(prompt_tokens);
    }

    /// Returns the number of unreported requests, and the tokens of their prompts.
    #[must_use]
    pub const fn totals(&self, now_ms: TimeMs) -> (u32, u64) {
        if self.is_expired(now_ms) {
            return (0, 0);
        }
        (self.requests, self.prompt_tokens)
    }

    const fn is_expired(&self, now_ms: TimeMs) -> bool {
        now_ms >= self.first_ms + REPORTED_AFTER_MS
    }
}
