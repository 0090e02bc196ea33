//! The lease of an incarnation on its slot, as a span of key creation times.

use {
    super::{KeySpan, MAX_CLOCK_SKEW_MS},
    crate::TimeMs,
};

/// The span of key creation times for which this incarnation of an agent may run jobs.
///
/// Let `b` be the platform time of the first list in which the VM holds the slot, and `a` that of
/// the newest such list. The incarnation may run keys created in `(b + lease, a + lease]`. A
/// predecessor's `a` is earlier than a successor's `b`, so their spans are disjoint, however stale
/// either process is and however late it acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLease {
    started_ms: TimeMs,
    newest_list_ms: TimeMs,
    /// Platform times of the first and the newest list in which the VM holds the slot.
    holding_ms: Option<(TimeMs, TimeMs)>,
}

impl JobLease {
    /// Creates the lease of an incarnation that started at `started_ms` on the VM's clock.
    #[must_use]
    pub const fn new(started_ms: TimeMs) -> Self {
        Self {
            started_ms,
            newest_list_ms: 0,
            holding_ms: None,
        }
    }

    /// Records whether the VM holds the slot in a list that was complete up to `as_of_ms`.
    pub fn observe(&mut self, as_of_ms: TimeMs, is_holder: bool) {
        if as_of_ms <= self.newest_list_ms {
            return;
        }
        self.newest_list_ms = as_of_ms;
        if !is_holder {
            return;
        }
        // A predecessor on this VM may have read a later list than this one before it exited.
        let first_ms = as_of_ms.max(self.started_ms + MAX_CLOCK_SKEW_MS);
        self.holding_ms = Some(match self.holding_ms {
            Some((first_ms, _)) => (first_ms, as_of_ms),
            None => (first_ms, as_of_ms),
        });
    }

    /// Returns the fencing token, which orders this incarnation among those of its slot.
    ///
    /// It is zero if the VM has not held the slot yet.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.holding_ms.map_or(0, |(first_ms, _)| first_ms)
    }

    /// Returns the platform time of the newest list that was observed.
    #[must_use]
    pub const fn newest_list_ms(&self) -> TimeMs {
        self.newest_list_ms
    }

    /// Returns `true` if a predecessor may have run a key of this span.
    #[must_use]
    pub fn may_belong_to_predecessor(&self, span: KeySpan, lease_ms: u64) -> bool {
        self.holding_ms
            .is_none_or(|(first_ms, _)| span.first_ms <= first_ms + lease_ms)
    }

    /// Returns `true` if a successor may run a key of this span.
    #[must_use]
    pub fn may_belong_to_successor(&self, span: KeySpan, lease_ms: u64) -> bool {
        self.holding_ms
            .is_none_or(|(_, newest_ms)| span.last_ms > newest_ms + lease_ms)
    }
}
