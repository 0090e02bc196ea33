//! Timings and limits of a link.

use std::time::Duration;

/// Timings and limits of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a link is closed, in milliseconds.
    pub timeout_ms: u64,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Messages that may wait to be sent.
    pub outbox_capacity: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            timeout_ms: 1_500,
            max_frame_bytes: 16 << 20,
            outbox_capacity: 4_096,
        }
    }
}

impl LinkSettings {
    pub(crate) const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    pub(crate) const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
