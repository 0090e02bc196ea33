//! The units of a quota that are available now.

use {super::QuotaShare, crate::TimeMs};

const MS_PER_S: f64 = 1_000.0;

/// A token bucket that large requests may overdraw.
///
/// A request is admitted while the level is above zero, whatever its size, and is charged in full. Where
/// each request had to find its whole size available, small ones would use up each unit as it comes, and
/// large ones would never be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuotaBucket {
    share: QuotaShare,
    level_units: f64,
    updated_ms: TimeMs,
}

impl QuotaBucket {
    /// Creates a bucket that is filled to a part of its burst.
    pub(super) fn new(share: QuotaShare, fill: f64, now_ms: TimeMs) -> Self {
        Self {
            share,
            level_units: share.burst_units * fill,
            updated_ms: now_ms,
        }
    }

    /// Changes the rate and the burst. What is available already stays, up to the new burst.
    pub(super) fn set_share(&mut self, share: QuotaShare, now_ms: TimeMs) {
        self.refill(now_ms);
        self.share = share;
        self.level_units = self.level_units.min(share.burst_units);
    }

    /// Returns the available units, which are negative after an overdraft.
    pub(super) fn level_units(&mut self, now_ms: TimeMs) -> f64 {
        self.refill(now_ms);
        self.level_units
    }

    /// Returns the level above which units may be granted ahead of their use.
    pub(super) const fn reserve_units(&self) -> f64 {
        self.share.burst_units / 2.0
    }

    /// Takes units, or puts them back if `units` is negative.
    pub(super) fn take(&mut self, units: f64, now_ms: TimeMs) {
        self.refill(now_ms);
        self.level_units = (self.level_units - units).min(self.share.burst_units);
    }

    /// Returns the time until a request is admitted, in milliseconds.
    pub(super) fn wait_ms(&mut self, now_ms: TimeMs) -> u64 {
        self.refill(now_ms);
        if self.level_units > 0.0 {
            return 0;
        }
        let wait_ms = -self.level_units / self.share.rate_per_s * MS_PER_S;
        // One more, since the level must be above zero.
        wait_ms as u64 + 1
    }

    fn refill(&mut self, now_ms: TimeMs) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let filled_units = self.level_units + elapsed_ms * self.share.rate_per_s / MS_PER_S;
        self.level_units = filled_units.min(self.share.burst_units);
    }
}
