//! The search for the oldest revision of the platform's store whose history is still kept.
//!
//! The store discards its history after a while, and says so only when it is asked for changes since a
//! revision. The search asks for all changes first, then goes back from the newest revision in steps that
//! double, and halves the last step.

/// A search for the oldest revision after which all changes are kept.
#[derive(Clone, Copy, Debug)]
pub struct HistorySearch {
    /// The oldest revision known to be kept.
    kept: u64,
    /// The newest revision known to be discarded.
    discarded: Option<u64>,
    step: u64,
    /// Whether each step back has found a kept revision so far.
    goes_back: bool,
}

impl HistorySearch {
    /// Creates a search in a store whose newest change has this revision.
    #[must_use]
    pub const fn new(newest_revision: u64) -> Self {
        Self {
            kept: newest_revision,
            discarded: None,
            step: 1,
            goes_back: true,
        }
    }

    /// Returns the revision to ask for next, or `None` once the oldest one is found.
    #[must_use]
    pub const fn next_probe(&self) -> Option<u64> {
        if self.kept == 0 {
            return None;
        }
        let Some(discarded) = self.discarded else {
            return Some(0);
        };
        if discarded + 1 >= self.kept {
            return None;
        }
        let stepped = self.kept.saturating_sub(self.step);
        Some(if self.goes_back && stepped > discarded {
            stepped
        } else {
            discarded + (self.kept - discarded) / 2
        })
    }

    /// Records whether all changes after `revision` are kept.
    pub fn record(&mut self, revision: u64, is_kept: bool) {
        if is_kept {
            self.kept = self.kept.min(revision);
            self.step *= 2;
        } else {
            self.goes_back &= self.discarded.is_none();
            self.discarded = Some(self.discarded.map_or(revision, |other| other.max(revision)));
            self.kept = self.kept.max(revision + 1);
        }
    }

    /// Returns the oldest revision known to be kept.
    #[must_use]
    pub const fn oldest_kept(&self) -> u64 {
        self.kept
    }
}
