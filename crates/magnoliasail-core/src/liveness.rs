//! Detection of silent peers and of pauses of the process itself.
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

/// Detects a peer that has sent nothing for longer than a timeout.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    timeout_ms: u64,
    last_heard_ms: TimeMs,
}

impl Liveness {
    /// Creates a detector for a peer that was last heard at `now_ms`.
    #[must_use]
    pub const fn new(timeout_ms: u64, now_ms: TimeMs) -> Self {
        Self {
            timeout_ms,
            last_heard_ms: now_ms,
        }
    }

    /// Records that the peer has sent something.
    pub fn touch(&mut self, now_ms: TimeMs) {
        self.last_heard_ms = self.last_heard_ms.max(now_ms);
    }

    /// Returns whether the peer has been silent for longer than its timeout.
    #[must_use]
    pub const fn is_silent(&self, now_ms: TimeMs) -> bool {
        now_ms.saturating_sub(self.last_heard_ms) > self.timeout_ms
    }
}

/// Detects that the process itself was paused, from the gaps between its own ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    limit_ms: u64,
    last_tick_ms: TimeMs,
}

impl PauseDetector {
    /// Creates a detector that reports a gap of more than `limit_ms` as a pause.
    #[must_use]
    pub const fn new(limit_ms: u64, now_ms: TimeMs) -> Self {
        Self {
            limit_ms,
            last_tick_ms: now_ms,
        }
    }

    /// Returns the time of the last tick.
    #[must_use]
    pub const fn last_tick_ms(&self) -> TimeMs {
        self.last_tick_ms
    }

    /// Records a tick and returns the length of the pause that it ended, in milliseconds, if any.
    pub fn observe(&mut self, now_ms: TimeMs) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = self.last_tick_ms.max(now_ms);
        (gap_ms > self.limit_ms).then_some(gap_ms)
    }
}
