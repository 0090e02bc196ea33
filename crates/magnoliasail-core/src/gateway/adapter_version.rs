//! The newest version of each adapter, as announced by the operator.

use std::{collections::HashMap, sync::Arc};

/// Announcement of a version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterVersion {
    /// The name of the base model.
    pub model: Arc<str>,
    /// The name of the adapter, without its base model.
    pub adapter: Arc<str>,
    /// The version; a higher one supersedes lower ones.
    pub version: u64,
}

/// The newest announced versions by full adapter name. A version never decreases.
#[derive(Clone, Debug, Default)]
pub struct AdapterVersions {
    newest: HashMap<Arc<str>, u64>,
}

impl AdapterVersions {
    /// Applies an announcement if its version is newer; returns whether it was.
    pub fn apply(&mut self, announced: &AdapterVersion) -> bool {
        let name = adapter_name(&announced.model, &announced.adapter);
        let newest = self.newest.entry(name).or_insert(0);
        let is_newer = announced.version > *newest;
        *newest = announced.version.max(*newest);
        is_newer
    }

    /// Returns the newest version of an adapter by its full name (`model/adapter`), or 0 if none
    /// was announced.
    #[must_use]
    pub fn newest(&self, name: &str) -> u64 {
        self.newest.get(name).copied().unwrap_or(0)
    }
}

/// Returns the full name of an adapter, `model/adapter`.
pub(super) fn adapter_name(model: &str, adapter: &str) -> Arc<str> {
    format!("{model}/{adapter}").into()
}

/// Returns the name of the base model in the full name of an adapter.
pub(super) fn model_of(adapter: &str) -> &str {
    adapter.split_once('/').map_or(adapter, |(model, _)| model)
}
