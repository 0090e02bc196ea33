//! Replacement of loaded adapters that are older than announced.

use {
    super::{
        AdapterSlots, AdapterVersion, AdapterVersions, SlotState, adapter_version::adapter_name,
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Announcements that are kept for each adapter; among more of them, the newest one takes the time of the
/// one before it.
const MAX_ANNOUNCEMENTS: usize = 16;

/// When a version was announced.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    /// 0 if the version was announced at an unknown earlier time.
    announced_ms: TimeMs,
}

/// An adapter that is loaded in an older version than the newest.
#[derive(Clone, Debug)]
pub(super) struct OutdatedAdapter {
    /// The full name.
    pub(super) name: Arc<str>,
    /// When the first version after the loaded one was announced. Later announcements don't change it.
    pub(super) since_ms: TimeMs,
}

/// The announced versions, and the loaded adapters that are older.
#[derive(Clone, Debug, Default)]
pub(super) struct Replacements {
    versions: AdapterVersions,
    /// Announcements in the order of versions, by the full name of the adapter.
    announcements: HashMap<Arc<str>, Vec<Announcement>>,
    outdated: Vec<OutdatedAdapter>,
}

impl Replacements {
    /// Applies an announcement; [`Self::update`] has to follow. Of the announcements up to `expired_ms`, the
    /// newest is enough.
    pub(super) fn announce(
        &mut self,
        announced: &AdapterVersion,
        announced_ms: TimeMs,
        expired_ms: TimeMs,
    ) {
        if !self.versions.apply(announced) {
            return;
        }
        let name = adapter_name(&announced.model, &announced.adapter);
        let announcements = self.announcements.entry(name).or_default();
        let is_expired = |announcement: &&Announcement| announcement.announced_ms <= expired_ms;
        let expired = announcements.iter().filter(is_expired).count();
        announcements.drain(..expired.saturating_sub(1));
        let version = announced.version;
        let is_full = announcements.len() >= MAX_ANNOUNCEMENTS;
        match announcements.last_mut() {
            Some(last) if is_full => last.version = version,
            _ => announcements.push(Announcement {
                version,
                announced_ms,
            }),
        }
    }

    /// Finds the outdated adapters among those that are loaded.
    pub(super) fn update(&mut self, adapters: &AdapterSlots) {
        let outdated = adapters.versions().filter_map(|(name, version)| {
            let since_ms = self.outdated_since_ms(name, version)?;
            Some(OutdatedAdapter {
                name: Arc::clone(name),
                since_ms,
            })
        });
        self.outdated = outdated.collect();
        self.outdated
            .sort_by(|a, b| (a.since_ms, &a.name).cmp(&(b.since_ms, &b.name)));
    }

    /// Returns the loaded adapters that are outdated, those first that have been so for longest.
    pub(super) fn outdated<'a>(
        &'a self,
        adapters: &'a AdapterSlots,
    ) -> impl Iterator<Item = &'a OutdatedAdapter> {
        let is_resident = |name: &str| adapters.state(name) == Some(SlotState::Resident);
        self.outdated
            .iter()
            .filter(move |adapter| is_resident(&adapter.name))
    }

    /// Returns the newest announced version of an adapter, or 0 if none was announced.
    pub(super) fn newest(&self, name: &str) -> u64 {
        self.versions.newest(name)
    }

    /// Returns when the first version after `version` was announced, or `None` if there is none.
    fn outdated_since_ms(&self, name: &str, version: u64) -> Option<TimeMs> {
        let announcements = self.announcements.get(name)?;
        let first_newer = announcements
            .iter()
            .find(|announcement| announcement.version > version)?;
        Some(first_newer.announced_ms)
    }
}
