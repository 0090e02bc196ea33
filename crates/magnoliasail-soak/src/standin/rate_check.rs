//! Checks that a server which names a rate gets no more requests than that from all VMs together.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time after the first answer that names the rate from which it must be kept.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the rate that may arrive within the window.
const MAX_EXCESS: f64 = 1.5;
/// Arrivals that may come on top.
const MAX_EXTRA: f64 = 5.0;

/// The rate that a server names, and the arrivals that count against it.
#[derive(Debug)]
pub(super) struct RateCheck {
    per_s: f64,
    /// When the rate was first named to all VMs that send.
    named_since: Option<Instant>,
    arrivals: VecDeque<Instant>,
}

impl RateCheck {
    pub(super) const fn new(per_s: f64) -> Self {
        Self {
            per_s,
            named_since: None,
            arrivals: VecDeque::new(),
        }
    }

    pub(super) const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Records an answer that names the rate.
    pub(super) fn record_naming(&mut self) {
        self.named_since.get_or_insert_with(Instant::now);
    }

    /// Starts over, since a VM that was restarted or paused does not know the rate.
    pub(super) fn restart(&mut self) {
        self.named_since = None;
        self.arrivals.clear();
    }

    /// Records an arrival; returns how many came within the window if they are too many.
    pub(super) fn record_arrival(&mut self) -> Option<usize> {
        let now = Instant::now();
        let strict_from = self.named_since? + SETTLING_TIME;
        if now < strict_from {
            return None;
        }
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|&first| now - first > WINDOW)
        {
            self.arrivals.pop_front();
        }
        let max = MAX_EXCESS * self.per_s * WINDOW.as_secs_f64() + MAX_EXTRA;
        (self.arrivals.len() as f64 > max).then_some(self.arrivals.len())
    }
}
