//! The software versions that the history of the server list shows.
//!
//! A process that has just started sees only the servers that are listed now. The history also shows those
//! that left before, if it is complete. A history that begins later proves nothing: the store may discard it at
//! any time, and nothing in it says when. A version that left shortly before may be missing from it.

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

/// The rows and removals of servers in a history that begins with the first change, in the order of their
/// revisions.
#[derive(Clone, Debug, Default)]
pub struct PastVersions {
    /// The ids of the servers whose rows the history shows.
    shown: HashSet<Arc<str>>,
    /// The starts of these servers, by id and start time: a server may start again under its id.
    shown_starts: HashSet<(Arc<str>, Option<u64>)>,
    versions: BTreeMap<Arc<str>, BTreeSet<Option<Arc<str>>>>,
    /// Whether a server was removed whose row the history does not show.
    has_unknown: bool,
}

impl PastVersions {
    /// Adds the row of a server.
    pub fn add_row(&mut self, entry: &ServerEntry) {
        self.shown.insert(Arc::clone(&entry.id));
        self.shown_starts.insert(start_of(entry));
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

    /// Returns whether the history shows every server that it removes and every start in `listed`, the servers listed
    /// now. If not, it lacks changes although its first revision was asked for.
    pub fn is_complete<'a>(&self, listed: impl IntoIterator<Item = &'a ServerEntry>) -> bool {
        let is_shown = |entry: &ServerEntry| self.shown_starts.contains(&start_of(entry));
        !self.has_unknown && listed.into_iter().all(is_shown)
    }

    /// Returns the versions that each service in `services` and in the history has ever had. The history has to
    /// be complete.
    ///
    /// When its rows were written is unknown, so that their versions count as listed now.
    pub fn into_messages(
        mut self,
        services: impl IntoIterator<Item = Arc<str>>,
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
                known_for_ms: u64::MAX,
            }
        };
        self.versions.into_iter().map(message).collect()
    }
}

fn start_of(entry: &ServerEntry) -> (Arc<str>, Option<u64>) {
    (Arc::clone(&entry.id), entry.started_ms)
}
