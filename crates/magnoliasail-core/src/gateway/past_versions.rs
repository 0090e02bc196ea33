//! The software versions that the history of the server list shows.
//!
//! A process that has just started sees only the servers that are listed now. The history shows those that
//! left before, as far back as it is kept.

use {
    super::{
        ServerEntry,
        message::{ListedVersion, ServiceVersions},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        sync::Arc,
    },
};

/// How far back the history of the server list goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistorySpan {
    /// To the first change ever.
    Complete,
    /// For this time, in milliseconds, unless the store has discarded it sooner.
    Kept(u64),
}

/// The rows and removals of servers in a history, in the order of their revisions.
#[derive(Clone, Debug, Default)]
pub struct PastVersions {
    /// The ids of the servers whose rows the history shows.
    shown: HashSet<Arc<str>>,
    versions: BTreeMap<Arc<str>, BTreeSet<Option<Arc<str>>>>,
    /// Whether a server was removed whose row the history does not show.
    has_unknown: bool,
}

impl PastVersions {
    /// Adds the row of a server.
    pub fn add_row(&mut self, entry: &ServerEntry) {
        self.shown.insert(Arc::clone(&entry.id));
        self.versions
            .entry(Arc::clone(&entry.service))
            .or_default()
            .insert(entry.software_version.clone());
    }

    /// Adds a row that names no server to use.
    pub fn add_unusable_row(&mut self, id: Arc<str>) {
        self.shown.insert(id);
    }

    /// Adds the removal of a server.
    pub fn add_removal(&mut self, id: &str) {
        self.has_unknown |= !self.shown.contains(id);
    }

    /// Returns for how long all versions are known, in milliseconds; `u64::MAX` if it is since the first
    /// change, and `None` if the history does not show them all.
    ///
    /// `listed` are the servers listed now, and `unix_ms` is the Unix time. If a listed server's row is not in the
    /// history, the history begins after that row was written, and so after the start of the server.
    pub fn known_for_ms<'a>(
        &self,
        span: HistorySpan,
        listed: impl IntoIterator<Item = &'a ServerEntry>,
        unix_ms: u64,
    ) -> Option<u64> {
        if self.has_unknown {
            return None;
        }
        let mut older = listed
            .into_iter()
            .filter(|entry| !self.shown.contains(&entry.id))
            .peekable();
        match span {
            HistorySpan::Complete => older.peek().is_none().then_some(u64::MAX),
            HistorySpan::Kept(kept_ms) => {
                let ages_ms = older.filter_map(|entry| entry.started_ms);
                let youngest_ms = ages_ms.map(|started_ms| unix_ms.saturating_sub(started_ms));
                Some(
                    youngest_ms
                        .min()
                        .map_or(kept_ms, |age_ms| age_ms.min(kept_ms)),
                )
            }
        }
    }

    /// Returns the versions of each service in `services` and in the history, as known for `known_for_ms`.
    ///
    /// When the history's rows were written is unknown, so that their versions count as listed now.
    pub fn into_messages(
        mut self,
        services: impl IntoIterator<Item = Arc<str>>,
        known_for_ms: u64,
    ) -> Vec<ServiceVersions> {
        for service in services {
            self.versions.entry(service).or_default();
        }
        let message = |(service, versions): (Arc<str>, BTreeSet<Option<Arc<str>>>)| {
            let listed = |version: Option<Arc<str>>| ListedVersion {
                software_version: version.as_deref().map(str::to_owned),
                age_ms: 0,
            };
            ServiceVersions {
                service: service.as_ref().to_owned(),
                versions: versions.into_iter().map(listed).collect(),
                known_for_ms,
            }
        };
        self.versions.into_iter().map(message).collect()
    }
}
