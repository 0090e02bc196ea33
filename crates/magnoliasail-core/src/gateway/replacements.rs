//! Replacement of loaded adapters that are older than the newest announced version.

use {
    super::{AdapterVersion, AdapterVersions, adapter_version::adapter_name},
    crate::TimeMs,
    std::sync::Arc,
};

/// The newest versions, and the times at which older ones are due for replacement.
///
/// The times are spread over the engines, because an adapter cannot serve while it is replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct Replacements {
    versions: AdapterVersions,
    /// Full names of adapters, with the times from which they may be replaced.
    due: Vec<(Arc<str>, TimeMs)>,
}

impl Replacements {
    /// Applies an announcement; the adapter is due for replacement at `due_ms`.
    pub(super) fn announce(&mut self, announced: &AdapterVersion, due_ms: TimeMs) {
        if !self.versions.apply(announced) {
            return;
        }
        let name = adapter_name(&announced.model, &announced.adapter);
        self.due.retain(|(other, _)| *other != name);
        self.due.push((name, due_ms));
    }

    /// Schedules the replacement of an adapter if the loaded `version` is outdated and no
    /// replacement is scheduled yet.
    pub(super) fn schedule_if_outdated(&mut self, name: &Arc<str>, version: u64, now_ms: TimeMs) {
        let is_outdated = version < self.versions.newest(name);
        let is_scheduled = self.due.iter().any(|(scheduled, _)| scheduled == name);
        if is_outdated && !is_scheduled {
            self.due.push((Arc::clone(name), now_ms));
        }
    }

    /// Removes and returns an adapter that is due for replacement.
    pub(super) fn take_due(&mut self, now_ms: TimeMs) -> Option<Arc<str>> {
        let index = self.due.iter().position(|&(_, due_ms)| due_ms <= now_ms)?;
        Some(self.due.swap_remove(index).0)
    }

    /// Returns the newest announced version of an adapter, or 0 if none was announced.
    pub(super) fn newest(&self, name: &str) -> u64 {
        self.versions.newest(name)
    }
}
