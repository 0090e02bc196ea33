//! Which versions of adapters the operator announced, and which ones requests began on.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The time after the announcement of a version from which no request may begin on an older one, as in the settings of
/// the fleet's processes.
pub(crate) const VERSION_BOUND: Duration = Duration::from_millis(5_000);
/// Allowed for the delays of the records themselves.
const SLACK: Duration = Duration::from_millis(100);

/// The announced versions, and the runs on older ones.
#[derive(Debug, Default)]
pub(crate) struct VersionRuns {
    /// When each version of an adapter was confirmed, by its name.
    announced: HashMap<String, Vec<(u64, Instant)>>,
    /// How long after the first newer version's confirmation runs on older ones began.
    outdated: Vec<(Instant, Duration)>,
}

impl VersionRuns {
    /// Records the confirmation of a version.
    pub(crate) fn announce(&mut self, adapter: &str, version: u64) {
        let versions = self.announced.entry(adapter.to_owned()).or_default();
        versions.push((version, Instant::now()));
    }

    /// Records that a request begins on a version.
    pub(crate) fn record_run(&mut self, adapter: &str, version: u64) {
        let versions = self.announced.get(adapter).into_iter().flatten();
        let first_newer = versions.filter(|(newer, _)| *newer > version).min();
        if let Some((_, confirmed_at)) = first_newer {
            let now = Instant::now();
            self.outdated.push((now, now - *confirmed_at));
        }
    }

    /// Returns how long after the confirmation of a newer version runs on older ones have begun since `from`.
    pub(crate) fn outdated_since(&self, from: Instant) -> Vec<Duration> {
        let recent = self.outdated.iter().filter(|(at, _)| *at >= from);
        recent.map(|(_, after)| *after).collect()
    }

    /// Returns those of [`Self::outdated_since`] that began too late.
    pub(crate) fn late_since(&self, from: Instant) -> Vec<Duration> {
        let mut late = self.outdated_since(from);
        late.retain(|&after| after > VERSION_BOUND + SLACK);
        late
    }
}
