//! Heartbeat, timeout and size limits of a link.

use std::time::Duration;

/// Heartbeat, timeout and size limits of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Idle time after which the sending side writes a heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a received frame after which the link is closed, in milliseconds.
    ///
    /// The handshake must finish within the same time.
    pub timeout_ms: u64,
    /// Largest frame that is sent or accepted, in bytes.
    pub max_frame_bytes: usize,
    /// Largest number of messages that are queued for sending.
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
