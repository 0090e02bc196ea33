//! Pauses of the agent's process, which a task with a short interval shows.

use {
    super::{engine::STATE_INTERVAL, state::AgentState},
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::RecentPauses,
    std::time::Duration,
};

/// Longest delay of a tick that does not count as a pause.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);
/// Shortest pause that is logged.
const LOGGED_PAUSE_MS: u64 = 1_000;

/// Creates the record of the pauses of a process that ticks once each `STATE_INTERVAL`.
pub(super) const fn new_pauses(now_ms: u64) -> RecentPauses {
    let max_tick_gap_ms = STATE_INTERVAL.as_millis() + MAX_TICK_DELAY.as_millis();
    RecentPauses::new(max_tick_gap_ms as u64, now_ms)
}

impl AgentState {
    /// Records a tick of the process.
    pub(super) fn record_tick(&self) {
        let pause_ms = self.pauses.borrow_mut().observe(self.clock.now_ms());
        if let Some(pause_ms) = pause_ms.filter(|&pause_ms| pause_ms >= LOGGED_PAUSE_MS) {
            emit(EventId::Paused, format_args!("pause_ms={pause_ms}"));
        }
    }

    /// Returns until when the process has run without a pause since `from_ms`.
    pub(super) fn running_until_ms(&self, from_ms: u64) -> u64 {
        let now_ms = self.clock.now_ms();
        self.pauses.borrow().running_until_ms(from_ms, now_ms)
    }
}
