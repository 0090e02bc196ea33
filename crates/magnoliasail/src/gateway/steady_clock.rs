//! Monotonic clock, which is unaffected when the system time is set.

use {std::time::Duration, tokio::time::Instant};

/// Monotonic clock in milliseconds. Its zero is a minute before it was created.
#[derive(Clone, Copy, Debug)]
pub(super) struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    /// Time at creation, above zero so that times shortly before it can be represented.
    const OFFSET_MS: u64 = 60_000;

    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        Self::OFFSET_MS + self.start.elapsed().as_millis() as u64
    }

    /// Converts a time in milliseconds to an instant. Times before the clock was created give the
    /// instant of its creation.
    pub(super) fn instant(&self, time_ms: u64) -> Instant {
        self.start + Duration::from_millis(time_ms.saturating_sub(Self::OFFSET_MS))
    }
}
