//! Steady clock, which is unaffected when the system time is set.

use {
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Steady clock in milliseconds. Its zero is a minute before it was created.
///
/// It goes on while the process is paused, and also while the whole machine is suspended. The monotonic clock of the
/// timers does not count a suspension, so that limits which began on other machines would end too late.
#[derive(Clone, Copy, Debug)]
pub(super) struct SteadyClock {
    start: Duration,
}

impl SteadyClock {
    /// Time at creation, above zero so that times shortly before it can be represented.
    const OFFSET_MS: u64 = 60_000;

    pub(super) fn new() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the current time, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        let elapsed = time_since_boot().saturating_sub(self.start);
        Self::OFFSET_MS + elapsed.as_millis() as u64
    }

    /// Converts a time in milliseconds to an instant of the timers' clock. Times that have passed give the present.
    pub(super) fn instant(&self, time_ms: u64) -> Instant {
        Instant::now() + Duration::from_millis(time_ms.saturating_sub(self.now_ms()))
    }
}

/// Returns the time since the machine started, with the times in which it was suspended.
///
/// # Panics
///
/// Panics if the system lacks this clock. Each Linux since 2.6.39 has it.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot time clock");
    time.into()
}
