//! An incarnation's claim on its slot, as a span of key times.

use {
    super::{KeySpan, MAX_CLOCK_SKEW_MS},
    crate::TimeMs,
};

/// The span of key times that this incarnation of an agent may run.
///
/// With `a` the platform time of the newest list and `b` that of the first list in which the VM
/// holds the slot, the incarnation may run keys minted in `(b + lease, a + lease]`. A predecessor's
/// `a` lies before a successor's `b`, so that their spans are disjoint whatever either process
/// still believes and however late it acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLease {
    started_ms: TimeMs,
    newest_list_ms: TimeMs,
    held: Option<(TimeMs, TimeMs)>,
}

impl JobLease {
    /// Creates the lease of an incarnation that started at `started_ms` on the VM's clock.
    #[must_use]
    pub const fn new(started_ms: TimeMs) -> Self {
        Self {
            started_ms,
            newest_list_ms: 0,
            held: None,
        }
    }

    /// Takes note of a list that was complete up to `as_of_ms`.
    pub fn observe(&mut self, as_of_ms: TimeMs, is_holder: bool) {
        if as_of_ms <= self.newest_list_ms {
            return;
        }
        self.newest_list_ms = as_of_ms;
        if !is_holder {
            return;
        }
        // A predecessor on this VM may have read a later list than this one before it ended.
        let first_ms = as_of_ms.max(self.started_ms + MAX_CLOCK_SKEW_MS);
        self.held = Some(match self.held {
            Some((first_ms, _)) => (first_ms, as_of_ms),
            None => (first_ms, as_of_ms),
        });
    }

    /// Returns the number that orders this incarnation among those of its slot.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.held.map_or(0, |(first_ms, _)| first_ms)
    }

    /// Returns the platform time of the newest list that was read.
    #[must_use]
    pub const fn newest_list_ms(&self) -> TimeMs {
        self.newest_list_ms
    }

    /// Tells whether a predecessor may have run a key of this span.
    #[must_use]
    pub fn may_belong_to_predecessor(&self, span: KeySpan, lease_ms: u64) -> bool {
        self.held
            .is_none_or(|(first_ms, _)| span.first_ms <= first_ms + lease_ms)
    }

    /// Tells whether a successor may run a key of this span.
    #[must_use]
    pub fn may_belong_to_successor(&self, span: KeySpan, lease_ms: u64) -> bool {
        self.held
            .is_none_or(|(_, newest_ms)| span.last_ms > newest_ms + lease_ms)
    }
}
