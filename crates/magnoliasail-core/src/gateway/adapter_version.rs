//! The newest version of each adapter that the operator announced.

use std::{collections::HashMap, sync::Arc};

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterVersion {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter.
    pub adapter: Arc<str>,
    /// The version.
    pub version: u64,
}

/// The newest announced versions; they only grow.
#[derive(Clone, Debug, Default)]
pub struct AdapterVersions {
    newest: HashMap<Arc<str>, u64>,
}

impl AdapterVersions {
    /// Adopts an announcement if it is newer; returns whether it was.
    pub fn apply(&mut self, announced: &AdapterVersion) -> bool {
        let name = adapter_name(&announced.model, &announced.adapter);
        let newest = self.newest.entry(name).or_insert(0);
        let is_newer = announced.version > *newest;
        *newest = announced.version.max(*newest);
        is_newer
    }

    /// Returns the newest version of an adapter by its full name, or 0 if none was announced.
    #[must_use]
    pub fn newest(&self, name: &str) -> u64 {
        self.newest.get(name).copied().unwrap_or(0)
    }
}

/// Returns the full name of an adapter.
pub(super) fn adapter_name(model: &str, adapter: &str) -> Arc<str> {
    format!("{model}/{adapter}").into()
}
