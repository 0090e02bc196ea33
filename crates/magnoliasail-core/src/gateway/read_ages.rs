//! When the changes were written that a follower of the store's keys reads.
//!
//! Some bounds count from the confirmation of a write. A process reads it later: after the interval between reads, or
//! after it was paused or could not reach the store. So a change counts as written at the earliest time that the reads
//! before leave open: the time up to which they have shown all changes. A response that was read right after a
//! pause of the process may have been ready since the pause began.

use crate::TimeMs;

/// Longest time in which the store answers a call that it does not hold, and the process handles the response.
const RESPONSE_MS: u64 = 300;

/// Progress of the reads of a follower.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadAges {
    /// The time up to which all changes have been read; absent before the first complete read.
    read_until_ms: Option<TimeMs>,
    /// The same for the read in progress, a list of several pages perhaps.
    reading_until_ms: Option<TimeMs>,
    call_began_ms: TimeMs,
    /// Whether the store holds the call until there is a change.
    is_watch: bool,
}

impl ReadAges {
    /// Records that a call begins.
    pub const fn begin_call(&mut self, is_watch: bool, now_ms: TimeMs) {
        self.call_began_ms = now_ms;
        self.is_watch = is_watch;
    }

    /// Returns when the latest call began.
    #[must_use]
    pub const fn call_began_ms(&self) -> TimeMs {
        self.call_began_ms
    }

    /// Records that the response to the call is used, and returns the earliest time at which its changes can have been
    /// written, or `None` if nothing is known of it. `running_until_ms` is the time until which the process has run
    /// without a pause since the call began.
    pub fn record_response(&mut self, running_until_ms: TimeMs) -> Option<TimeMs> {
        let ready_ms = running_until_ms.saturating_sub(RESPONSE_MS);
        let shows_until_ms = ready_ms.max(self.call_began_ms);
        let reading_until_ms = self.reading_until_ms.unwrap_or(shows_until_ms);
        self.reading_until_ms = Some(reading_until_ms.min(shows_until_ms));
        // A store that held the watch had no change when it began.
        let is_held = self.is_watch && ready_ms > self.call_began_ms;
        let read_until_ms = self.read_until_ms?;
        Some(if is_held {
            ready_ms.max(read_until_ms)
        } else {
            read_until_ms
        })
    }

    /// Records that all changes up to the latest response have been read.
    pub fn end_read(&mut self) {
        self.read_until_ms = self.reading_until_ms.take().or(self.read_until_ms);
    }
}
