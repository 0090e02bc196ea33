//! The highest value of a while.

use crate::TimeMs;

/// The highest value of the last `window_ms` to twice as long.
#[derive(Clone, Copy, Debug)]
pub struct RecentMaximum {
    window_ms: u64,
    started_ms: TimeMs,
    current: Option<u32>,
    previous: Option<u32>,
}

impl RecentMaximum {
    /// Creates a maximum without values.
    #[must_use]
    pub const fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            started_ms: 0,
            current: None,
            previous: None,
        }
    }

    /// Records a value that holds now, if there is one; returns the highest one.
    pub fn record(&mut self, value: Option<u32>, now_ms: TimeMs) -> Option<u32> {
        if now_ms >= self.started_ms + self.window_ms {
            let is_recent = now_ms < self.started_ms + 2 * self.window_ms;
            self.previous = self.current.take().filter(|_| is_recent);
            self.started_ms = now_ms;
        }
        self.current = self.current.max(value);
        self.current.max(self.previous)
    }
}
