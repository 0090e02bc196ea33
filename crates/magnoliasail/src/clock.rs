//! The clock of a process: the VM's time, which never runs backwards.

use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that never runs backwards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    last_ms: u64,
}

impl Clock {
    /// Returns the time since the epoch, in milliseconds.
    pub(crate) fn now_ms(&mut self) -> u64 {
        self.last_ms = self.last_ms.max(wall_ms());
        self.last_ms
    }
}

/// Returns the VM's time since the epoch, in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
