//! The software versions that the backend servers of each service have had recently.
//!
//! A stream whose origin no process has recorded can only go on if its service has had one version since
//! the stream began. A process that has just started cannot know that from the list of servers, which does
//! not show those that left before. So entries report to agents what was listed, and agents report it to
//! an entry that starts: the knowledge survives the restart of any of them.

use {
    super::{
        StreamOrigins, VersionConstraint,
        message::{ListedVersion, ServiceVersions},
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Time between refreshes of the versions of listed servers, a fraction of the retention.
const REFRESH_INTERVAL_MS: u64 = StreamOrigins::RETENTION_MS / 12;
/// Maximum number of versions of a service that another process can add.
const MAX_ADDED_VERSIONS: usize = 32;

/// The software versions of the listed backend servers, and of those that left recently.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<Arc<str>, ServiceHistory>,
    refreshed_ms: Option<TimeMs>,
    /// Whether the process has started with the whole system and has missed no change of the list since, so
    /// that it knows all versions of a service that it has not heard of yet.
    is_first_start: bool,
}

#[derive(Clone, Debug)]
struct ServiceHistory {
    /// Since when every version is known; absent if it is since the system started.
    known_since_ms: Option<TimeMs>,
    /// When a server of each version was last listed.
    last_listed_ms: HashMap<Option<Arc<str>>, TimeMs>,
}

impl VersionHistory {
    /// Creates the history of a process. `is_first_start` says that the whole system starts for the first
    /// time with it.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Returns whether the listed servers should be recorded again, and if so, starts a new interval.
    pub fn start_refresh(&mut self, now_ms: TimeMs) -> bool {
        let is_due = self
            .refreshed_ms
            .is_none_or(|refreshed_ms| now_ms >= refreshed_ms + REFRESH_INTERVAL_MS);
        if is_due {
            self.refreshed_ms = Some(now_ms);
        }
        is_due
    }

    /// Records that a server of this software version is listed for a service; returns whether the version
    /// is new.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        version: Option<&Arc<str>>,
        now_ms: TimeMs,
    ) -> bool {
        let history = self.service(service, now_ms);
        let is_new = history
            .last_listed_ms
            .insert(version.cloned(), now_ms)
            .is_none();
        history.drop_expired(now_ms);
        is_new
    }

    /// Records that changes of the list may have been missed up to now: a version may have come and left unseen.
    pub fn record_gap(&mut self, now_ms: TimeMs) {
        self.is_first_start = false;
        for history in self.services.values_mut() {
            history.known_since_ms = Some(now_ms);
        }
    }

    /// Adds what another process knows of a service.
    pub fn add(&mut self, known: &ServiceVersions, now_ms: TimeMs) {
        let history = self.service(&known.service.as_str().into(), now_ms);
        for listed in &known.versions {
            let version = listed.software_version.as_deref().map(Arc::from);
            let is_known = history.last_listed_ms.contains_key(&version);
            if is_known || history.last_listed_ms.len() < MAX_ADDED_VERSIONS {
                let listed_ms = now_ms.saturating_sub(listed.age_ms);
                let last_listed_ms = history.last_listed_ms.entry(version).or_insert(listed_ms);
                *last_listed_ms = listed_ms.max(*last_listed_ms);
            } else {
                // What does not fit may matter, so that nothing before now counts as known.
                history.known_since_ms = Some(now_ms);
                return;
            }
        }
        history.extend_to(known.known_for_ms, now_ms);
        history.drop_expired(now_ms);
    }

    /// Returns what is known of each service, to tell other processes.
    #[must_use]
    pub fn snapshot(&self, now_ms: TimeMs) -> Vec<ServiceVersions> {
        self.services
            .iter()
            .map(|(service, history)| history.to_message(service, now_ms))
            .collect()
    }

    /// Returns the only software version that a service has had recently, as a constraint, or `None`
    /// if it has had several or none.
    #[must_use]
    pub fn only_version(&self, service: &str, now_ms: TimeMs) -> Option<VersionConstraint> {
        let mut recent = self.services.get(service)?.recent(now_ms);
        let (version, _) = recent.next()?;
        recent
            .next()
            .is_none()
            .then(|| VersionConstraint::Only(version.clone()))
    }

    /// Returns for how long all versions that the service has had are known, in milliseconds: `u64::MAX` if it
    /// is since the system started, and 0 if no version is known.
    #[must_use]
    pub fn known_for_ms(&self, service: &str, now_ms: TimeMs) -> u64 {
        self.services
            .get(service)
            .map_or(0, |history| history.known_for_ms(now_ms))
    }

    fn service(&mut self, service: &Arc<str>, now_ms: TimeMs) -> &mut ServiceHistory {
        let known_since_ms = (!self.is_first_start).then_some(now_ms);
        self.services
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceHistory {
                known_since_ms,
                last_listed_ms: HashMap::new(),
            })
    }
}

impl ServiceHistory {
    /// Takes over the longer of two times for which all versions are known.
    fn extend_to(&mut self, known_for_ms: u64, now_ms: TimeMs) {
        self.known_since_ms = match self.known_since_ms {
            Some(known_since_ms) if known_for_ms < u64::MAX => {
                Some(known_since_ms.min(now_ms.saturating_sub(known_for_ms)))
            }
            _ => None,
        };
    }

    fn known_for_ms(&self, now_ms: TimeMs) -> u64 {
        self.known_since_ms.map_or(u64::MAX, |known_since_ms| {
            now_ms.saturating_sub(known_since_ms)
        })
    }

    fn recent(&self, now_ms: TimeMs) -> impl Iterator<Item = (&Option<Arc<str>>, TimeMs)> {
        self.last_listed_ms
            .iter()
            .map(|(version, &listed_ms)| (version, listed_ms))
            .filter(move |&(_, listed_ms)| is_recent(listed_ms, now_ms))
    }

    fn drop_expired(&mut self, now_ms: TimeMs) {
        self.last_listed_ms
            .retain(|_, &mut listed_ms| is_recent(listed_ms, now_ms));
    }

    fn to_message(&self, service: &str, now_ms: TimeMs) -> ServiceVersions {
        let versions = self
            .recent(now_ms)
            .map(|(version, listed_ms)| ListedVersion {
                software_version: version.as_deref().map(str::to_owned),
                age_ms: now_ms.saturating_sub(listed_ms),
            });
        ServiceVersions {
            service: service.to_owned(),
            versions: versions.collect(),
            known_for_ms: self.known_for_ms(now_ms),
        }
    }
}

const fn is_recent(listed_ms: TimeMs, now_ms: TimeMs) -> bool {
    now_ms.saturating_sub(listed_ms) < StreamOrigins::RETENTION_MS
}
