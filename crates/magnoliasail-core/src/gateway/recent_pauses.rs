//! The latest pauses of the process, by which it judges how old something may be that it reads.
//!
//! ```
//! use magnoliasail_core::gateway::RecentPauses;
//!
//! let mut pauses = RecentPauses::new(350, 0);
//! pauses.observe(250);
//! assert_eq!(pauses.running_until_ms(100, 300), 300);
//! // Nothing ran from 250 on; whatever is handled now may have waited since then.
//! assert_eq!(pauses.running_until_ms(100, 4_000), 250);
//! ```

use {
    crate::{PauseDetector, TimeMs},
    std::collections::VecDeque,
};

/// Number of pauses that are kept.
const MAX_PAUSES: usize = 8;

/// A time in which the process did not run, as far as its ticks show.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// The last tick before the pause.
    began_ms: TimeMs,
    ended_ms: TimeMs,
}

/// Records the pauses of the process, from the gaps between its own ticks.
#[derive(Clone, Debug)]
pub struct RecentPauses {
    limit_ms: u64,
    detector: PauseDetector,
    pauses: VecDeque<Pause>,
}

impl RecentPauses {
    /// Creates a record that counts a gap of more than `limit_ms` between two ticks as a pause.
    #[must_use]
    pub const fn new(limit_ms: u64, now_ms: TimeMs) -> Self {
        Self {
            limit_ms,
            detector: PauseDetector::new(limit_ms, now_ms),
            pauses: VecDeque::new(),
        }
    }

    /// Records a tick and returns the length of the pause that it ended, in milliseconds, if any.
    pub fn observe(&mut self, now_ms: TimeMs) -> Option<u64> {
        let began_ms = self.detector.last_tick_ms();
        let length_ms = self.detector.observe(now_ms)?;
        if self.pauses.len() >= MAX_PAUSES {
            self.pauses.pop_front();
        }
        self.pauses.push_back(Pause {
            began_ms,
            ended_ms: now_ms,
        });
        Some(length_ms)
    }

    /// Returns until when the process has run without a pause since `from_ms`: `now_ms` if there was none. A pause of
    /// which no tick has told yet counts too.
    #[must_use]
    pub fn running_until_ms(&self, from_ms: TimeMs, now_ms: TimeMs) -> TimeMs {
        let last_tick_ms = self.detector.last_tick_ms();
        let is_pausing = now_ms.saturating_sub(last_tick_ms) > self.limit_ms;
        let ended = self.pauses.iter().filter(|pause| pause.ended_ms >= from_ms);
        ended
            .map(|pause| pause.began_ms)
            .chain(is_pausing.then_some(last_tick_ms))
            .min()
            .unwrap_or(now_ms)
    }
}
