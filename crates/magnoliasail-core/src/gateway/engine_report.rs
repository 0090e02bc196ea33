//! What a model engine reports of itself.

use std::sync::Arc;

/// The state of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The base models that it holds.
    pub models: Vec<LoadedModel>,
    /// Adapters that are on their way to it, with their base models.
    pub loading: Vec<(Arc<str>, VersionedAdapter)>,
    /// Base models of which its host keeps a copy in memory.
    pub in_memory: Vec<Arc<str>>,
    /// Base models of which its host keeps a copy on disk.
    pub on_disk: Vec<Arc<str>>,
    /// Whether an order on a base model is being carried out.
    pub is_busy: bool,
    /// The number of orders that it has accepted since its start.
    pub sequence: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Memory in use that cannot be freed, in tokens.
    pub kv_used_tokens: u64,
    /// The time of its start, in milliseconds since the epoch.
    pub started_ms: Option<u64>,
    /// Whether it is leaving.
    pub is_draining: bool,
}

/// A base model and its adapters at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The base model.
    pub name: Arc<str>,
    /// The adapters.
    pub adapters: Vec<VersionedAdapter>,
}

/// An adapter with the version that an engine holds or fetches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// The adapter.
    pub adapter: Arc<str>,
    /// The version.
    pub version: u64,
}
