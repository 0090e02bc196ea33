//! Which responses of the platform's store a follower of its keys uses, and what it reads next.
//!
//! The store may be restored from a copy that is some seconds old. Its newest writes are lost then,
//! their revisions are given out again for other writes, and it enters a new era. A follower
//! therefore knows a write by its [`StorePosition`], never by its revision alone, and it checks the
//! era of each response before it uses the content.

use {
    super::{Freshness, StorePosition},
    std::collections::{HashMap, HashSet},
    strum::{Display, EnumIter, IntoStaticStr},
};

/// What a response of the store says about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEra {
    /// The response names its era.
    Named(u64),
    /// The response does not name an era, as those of stores that do not number their eras.
    Unnamed,
    /// The response names an era that is not a number.
    Unreadable,
}

/// What to do with a response of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerUse {
    /// The content is used.
    Apply,
    /// The store has entered a new era. The content is not used, and the keys are listed afresh.
    ListAfresh,
    /// The content is not used, and the read is retried.
    Discard(DiscardReason),
}

/// Why the content of a response is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DiscardReason {
    /// The response is of an era that has ended.
    EarlierEra,
    /// The response names no era, but responses before it did.
    EraMissing,
    /// The era is not a number.
    EraUnreadable,
}

/// The next read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// A page of the list of keys.
    List {
        /// The last key of the previous page, or `None` for the first page.
        after: Option<String>,
    },
    /// The changes after a revision.
    Watch {
        /// The revision.
        revision: u64,
    },
}

/// State of a follower of the keys that start with a prefix.
#[derive(Clone, Debug)]
pub struct StoreFollow {
    /// The newest era that a response has named.
    era: Option<u64>,
    stage: Stage,
    /// Existing keys with the positions of their last writes.
    known: HashMap<String, StorePosition>,
    /// The highest revision that a used response has shown, in any era.
    highest_revision: u64,
    /// In the current era, writes up to this revision may be of an older copy of what is known.
    restored_revision: Option<u64>,
}

#[derive(Clone, Debug)]
enum Stage {
    Listing(Listing),
    Watching { revision: u64 },
}

/// Progress of listing the keys page by page.
#[derive(Clone, Debug, Default)]
struct Listing {
    /// The revision of the first page, from which the watch starts.
    first_revision: Option<u64>,
    listed: HashSet<String>,
    after: Option<String>,
}

impl Default for StoreFollow {
    fn default() -> Self {
        Self {
            era: None,
            stage: Stage::Listing(Listing::default()),
            known: HashMap::new(),
            highest_revision: 0,
            restored_revision: Some(0),
        }
    }
}

impl StoreFollow {
    /// Returns the next read.
    #[must_use]
    pub fn next_read(&self) -> StoreRead {
        match &self.stage {
            Stage::Listing(listing) => StoreRead::List {
                after: listing.after.clone(),
            },
            Stage::Watching { revision } => StoreRead::Watch {
                revision: *revision,
            },
        }
    }

    /// Returns the newest era that a response has named.
    #[must_use]
    pub const fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns the highest revision that a used response has shown, in any era.
    #[must_use]
    pub const fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// Decides how to treat a response from its era, before its content is used.
    ///
    /// A new era ends the read in progress, whether it is a watch or a later page of a list: the
    /// store may have given out the revision of the watch again, and pages of two eras are no list.
    pub fn judge(&mut self, era: AnswerEra) -> AnswerUse {
        let era = match era {
            AnswerEra::Named(era) => era,
            AnswerEra::Unreadable => return AnswerUse::Discard(DiscardReason::EraUnreadable),
            AnswerEra::Unnamed if self.era.is_some() => {
                return AnswerUse::Discard(DiscardReason::EraMissing);
            }
            AnswerEra::Unnamed => return AnswerUse::Apply,
        };
        match self.era {
            Some(current) if era < current => AnswerUse::Discard(DiscardReason::EarlierEra),
            Some(current) if era == current => AnswerUse::Apply,
            None if self.has_read_nothing() => {
                self.era = Some(era);
                AnswerUse::Apply
            }
            _ => {
                self.enter_era(era);
                AnswerUse::ListAfresh
            }
        }
    }

    /// Lists the keys afresh because the store no longer has the history for the watch.
    pub fn list_afresh(&mut self) {
        self.stage = Stage::Listing(Listing::default());
    }

    /// Starts to apply a response that shows the store as of `revision`. The keys of the response
    /// follow, and then [`Self::end_page`].
    pub fn begin_page(&mut self, revision: u64) {
        if let Stage::Listing(listing) = &mut self.stage {
            listing.first_revision.get_or_insert(revision);
            listing.after = None;
        }
        let highest_revision = self.highest_revision;
        self.restored_revision
            .get_or_insert(revision.min(highest_revision));
        self.highest_revision = highest_revision.max(revision);
    }

    /// Records a write or a removal that a response shows, and returns how it relates to what is
    /// known. Returns `None` if it or a later one of the same key has been recorded before.
    pub fn record(&mut self, key: &str, revision: u64, is_removed: bool) -> Option<Freshness> {
        if let Stage::Listing(listing) = &mut self.stage {
            listing.listed.insert(key.to_owned());
            listing.after = Some(key.to_owned());
        }
        let position = StorePosition {
            era: self.era,
            revision,
        };
        if self.known.get(key).is_some_and(|&known| known >= position) {
            return None;
        }
        if is_removed {
            self.known.remove(key);
        } else {
            self.known.insert(key.to_owned(), position);
        }
        Some(if self.is_possibly_restored(revision) {
            Freshness::Restored
        } else {
            Freshness::Written
        })
    }

    /// Ends a response that shows the store as of `revision`, and returns the keys that are missing
    /// from a list that is now complete.
    pub fn end_page(&mut self, revision: u64, has_more: bool) -> Vec<String> {
        let listing = match &mut self.stage {
            Stage::Watching { revision: watched } => {
                *watched = revision.max(*watched);
                return Vec::new();
            }
            Stage::Listing(listing) if has_more && listing.after.is_some() => return Vec::new(),
            Stage::Listing(listing) => std::mem::take(listing),
        };
        self.stage = Stage::Watching {
            revision: listing.first_revision.unwrap_or(revision),
        };
        let mut missing: Vec<String> = self
            .known
            .keys()
            .filter(|&key| !listing.listed.contains(key))
            .cloned()
            .collect();
        missing.sort_unstable();
        for key in &missing {
            self.known.remove(key);
        }
        missing
    }

    fn has_read_nothing(&self) -> bool {
        self.highest_revision == 0 && self.known.is_empty()
    }

    fn enter_era(&mut self, era: u64) {
        self.era = Some(era);
        self.restored_revision = None;
        self.list_afresh();
    }

    /// Returns whether a write may be part of the copy and so be older than what is known.
    ///
    /// The writes of a copy are no newer than the first read of the era. A copy may also hold writes
    /// beyond the highest revision seen before; these are news.
    fn is_possibly_restored(&self, revision: u64) -> bool {
        self.restored_revision
            .is_some_and(|restored| revision <= restored)
    }
}
