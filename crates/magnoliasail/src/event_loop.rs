//! The event loop of the worker that owns the core.
//!
//! It handles the inputs of a bounded queue, ticks the core periodically and detects pauses of the
//! process.

use {
    crate::{clock::Clock, queue::QueueReceiver},
    magnoliasail_core::{PauseDetector, TimeMs},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(10);
const TICK_MS: u64 = 10;
/// Time without a pass of the loop above which the process counts as paused.
const PAUSE_LIMIT_MS: u64 = 1_000;
/// Further inputs that one pass may handle, so that a full queue does not delay the tick.
const MAX_BATCH: usize = 256;

/// The handler that an event loop calls: a worker that owns a core.
pub(crate) trait EventHandler {
    /// Item of the queue that the loop reads.
    type Input;

    /// Handles one item of the queue.
    fn handle_input(&mut self, now_ms: TimeMs, input: Self::Input);

    /// Handles the periodic tick, on which the core checks its timeouts.
    fn tick(&mut self, now_ms: TimeMs);

    /// Handles the end of a pause of the process that lasted `pause_ms` milliseconds.
    fn handle_pause(&mut self, now_ms: TimeMs, pause_ms: u64);
}

/// Runs a handler until its queue is empty and every sender has been dropped.
pub(crate) fn run_event_loop<H: EventHandler>(
    handler: &mut H,
    queue: &QueueReceiver<H::Input>,
    clock: &mut Clock,
) {
    let mut last_tick_ms = clock.now_ms();
    let mut pause_detector = PauseDetector::new(PAUSE_LIMIT_MS, last_tick_ms);
    loop {
        let (input, is_open) = queue.recv_timeout(TICK);
        if !is_open {
            return;
        }
        let now_ms = clock.now_ms();
        if let Some(pause_ms) = pause_detector.observe(now_ms) {
            handler.handle_pause(now_ms, pause_ms);
        }
        if let Some(input) = input {
            handler.handle_input(now_ms, input);
            for _ in 0..MAX_BATCH {
                let Some(input) = queue.try_recv() else { break };
                handler.handle_input(now_ms, input);
            }
        }
        if now_ms >= last_tick_ms + TICK_MS {
            last_tick_ms = now_ms;
            handler.tick(now_ms);
        }
    }
}
