//! The clock of a process: the VM's wall clock, without the backward steps of the system clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// A wall clock that never runs backwards: it stands still while the system clock is behind it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    last_ms: u64,
}

impl Clock {
    /// Returns the time since the Unix epoch, in milliseconds; never less than an earlier result.
    pub(crate) fn now_ms(&mut self) -> u64 {
        self.last_ms = self.last_ms.max(wall_ms());
        self.last_ms
    }
}

/// Returns the time of the VM's system clock since the Unix epoch, in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
