//! Adapters that an engine holds in a version older than announced.

use {
    super::{AdapterVersion, AdapterVersions, adapter_version::adapter_name},
    crate::TimeMs,
    std::sync::Arc,
};

/// The newest versions, and when older ones are to be replaced.
///
/// Engines replace in turn: an adapter cannot serve while it is being replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct Replacements {
    versions: AdapterVersions,
    due: Vec<(Arc<str>, TimeMs)>,
}

impl Replacements {
    /// Adopts an announcement, to be followed at `due_ms`.
    pub(super) fn announce(&mut self, announced: &AdapterVersion, due_ms: TimeMs) {
        if !self.versions.apply(announced) {
            return;
        }
        let name = adapter_name(&announced.model, &announced.adapter);
        self.due.retain(|(other, _)| *other != name);
        self.due.push((name, due_ms));
    }

    /// Schedules the replacement of an adapter that is held in a version.
    pub(super) fn expect(&mut self, name: &Arc<str>, version: u64, now_ms: TimeMs) {
        let is_old = version < self.versions.newest(name);
        let is_listed = self.due.iter().any(|(listed, _)| listed == name);
        if is_old && !is_listed {
            self.due.push((Arc::clone(name), now_ms));
        }
    }

    /// Takes an adapter that is due.
    pub(super) fn take_due(&mut self, now_ms: TimeMs) -> Option<Arc<str>> {
        let index = self.due.iter().position(|&(_, due_ms)| due_ms <= now_ms)?;
        Some(self.due.swap_remove(index).0)
    }

    /// Returns the newest version of an adapter, or 0 if none was announced.
    pub(super) fn newest(&self, name: &str) -> u64 {
        self.versions.newest(name)
    }
}
