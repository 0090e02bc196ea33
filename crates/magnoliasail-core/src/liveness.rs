//! Liveness of connections and of the process itself.
//!
//! ```
//! use magnoliasail_core::Liveness;
//!
//! let mut link = Liveness::new(1_000, 0);
//! link.touch(500);
//! assert!(!link.is_silent(1_500));
//! assert!(link.is_silent(1_501));
//! ```

use crate::TimeMs;

/// Tells when a peer has been silent for too long.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    timeout_ms: u64,
    heard_ms: TimeMs,
}

impl Liveness {
    /// Creates a rule by which a peer heard at `now_ms` may be silent for `timeout_ms`.
    #[must_use]
    pub const fn new(timeout_ms: u64, now_ms: TimeMs) -> Self {
        Self {
            timeout_ms,
            heard_ms: now_ms,
        }
    }

    /// Records that the peer was heard.
    pub fn touch(&mut self, now_ms: TimeMs) {
        self.heard_ms = self.heard_ms.max(now_ms);
    }

    /// Tells whether the peer has exceeded its timeout.
    #[must_use]
    pub const fn is_silent(&self, now_ms: TimeMs) -> bool {
        now_ms.saturating_sub(self.heard_ms) > self.timeout_ms
    }
}

/// Detects that the process itself was paused, from the gap between its own ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    limit_ms: u64,
    ticked_ms: TimeMs,
}

impl PauseDetector {
    /// Creates a detector that calls a gap of more than `limit_ms` a pause.
    #[must_use]
    pub const fn new(limit_ms: u64, now_ms: TimeMs) -> Self {
        Self {
            limit_ms,
            ticked_ms: now_ms,
        }
    }

    /// Records the time and returns the length of a pause that has just ended, if any.
    pub fn observe(&mut self, now_ms: TimeMs) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.ticked_ms);
        self.ticked_ms = self.ticked_ms.max(now_ms);
        (gap_ms > self.limit_ms).then_some(gap_ms)
    }
}
