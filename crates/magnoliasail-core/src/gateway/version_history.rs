//! The software versions that the backend servers of each service have had recently.

use {
    super::{StreamOrigins, VersionConstraint},
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Time between refreshes of the versions of listed servers, a fraction of the retention.
const REFRESH_INTERVAL_MS: u64 = StreamOrigins::RETENTION_MS / 12;

/// The software versions of the listed backend servers, and of those that left recently.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<Arc<str>, ServiceVersions>,
    refreshed_ms: Option<TimeMs>,
}

#[derive(Clone, Debug)]
struct ServiceVersions {
    first_listed_ms: TimeMs,
    /// When a server of each version was last listed.
    last_listed_ms: HashMap<Option<Arc<str>>, TimeMs>,
}

impl VersionHistory {
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

    /// Records that a server of this software version is listed for a service.
    pub fn record(&mut self, service: &Arc<str>, version: Option<&Arc<str>>, now_ms: TimeMs) {
        let versions =
            self.services
                .entry(Arc::clone(service))
                .or_insert_with(|| ServiceVersions {
                    first_listed_ms: now_ms,
                    last_listed_ms: HashMap::new(),
                });
        versions.last_listed_ms.insert(version.cloned(), now_ms);
        versions
            .last_listed_ms
            .retain(|_, &mut listed_ms| is_recent(listed_ms, now_ms));
    }

    /// Returns the only software version that a service has had recently, as a constraint, or `None`
    /// if it has had several or none.
    #[must_use]
    pub fn only_version(&self, service: &str, now_ms: TimeMs) -> Option<VersionConstraint> {
        let mut recent = self
            .services
            .get(service)?
            .last_listed_ms
            .iter()
            .filter(|&(_, &listed_ms)| is_recent(listed_ms, now_ms))
            .map(|(version, _)| version);
        let version = recent.next()?;
        recent
            .next()
            .is_none()
            .then(|| VersionConstraint::Only(version.clone()))
    }

    /// Returns whether the service was known when the oldest stream that a caller may still resume
    /// began.
    #[must_use]
    pub fn covers_resumable_streams(&self, service: &str, now_ms: TimeMs) -> bool {
        self.services
            .get(service)
            .is_some_and(|versions| !is_recent(versions.first_listed_ms, now_ms))
    }
}

const fn is_recent(listed_ms: TimeMs, now_ms: TimeMs) -> bool {
    now_ms.saturating_sub(listed_ms) < StreamOrigins::RETENTION_MS
}
