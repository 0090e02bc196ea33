//! A clock that steps of the time of day do not move.

use {std::time::Duration, tokio::time::Instant};

/// Milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub(super) struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    /// Starts at a distance from zero, so that a time a little in the past can be told.
    const OFFSET_MS: u64 = 60_000;

    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        Self::OFFSET_MS + self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant of a time.
    pub(super) fn instant(&self, time_ms: u64) -> Instant {
        self.start + Duration::from_millis(time_ms.saturating_sub(Self::OFFSET_MS))
    }
}
