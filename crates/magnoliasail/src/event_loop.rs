//! The loop of a deciding duty: takes what its ring brings, ticks, and notices pauses.

use {
    crate::{clock::Clock, queue::QueueReceiver},
    magnoliasail_core::{PauseDetector, TimeMs},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(10);
const TICK_MS: u64 = 10;
const PAUSE_LIMIT_MS: u64 = 1_000;
const MAX_BATCH: usize = 256;

/// A duty that owns a core.
pub(crate) trait EventHandler {
    /// What the ring brings.
    type Input;

    /// Takes one item.
    fn handle_input(&mut self, now_ms: TimeMs, input: Self::Input);

    /// Lets the core see that time has passed.
    fn tick(&mut self, now_ms: TimeMs);

    /// Takes note that the process was paused and has woken.
    fn handle_pause(&mut self, now_ms: TimeMs, pause_ms: u64);
}

/// Runs a duty until every writer of its ring is gone.
pub(crate) fn run_event_loop<D: EventHandler>(
    duty: &mut D,
    ring: &QueueReceiver<D::Input>,
    clock: &mut Clock,
) {
    let mut ticked_ms = clock.now_ms();
    let mut pauses = PauseDetector::new(PAUSE_LIMIT_MS, ticked_ms);
    loop {
        let (input, is_open) = ring.recv_timeout(TICK);
        if !is_open {
            return;
        }
        let now_ms = clock.now_ms();
        if let Some(pause_ms) = pauses.observe(now_ms) {
            duty.handle_pause(now_ms, pause_ms);
        }
        if let Some(input) = input {
            duty.handle_input(now_ms, input);
            for _ in 0..MAX_BATCH {
                let Some(input) = ring.try_recv() else { break };
                duty.handle_input(now_ms, input);
            }
        }
        if now_ms >= ticked_ms + TICK_MS {
            ticked_ms = now_ms;
            duty.tick(now_ms);
        }
    }
}
