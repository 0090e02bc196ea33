//! The state that a model engine reports to its agent.

use std::sync::Arc;

/// State of a model engine at the time of a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The loaded base models with their loaded adapters.
    pub models: Vec<LoadedModel>,
    /// Adapters that are being loaded, with the names of their base models.
    pub loading: Vec<(Arc<str>, VersionedAdapter)>,
    /// Base models of which the host keeps a copy in memory.
    pub in_memory: Vec<Arc<str>>,
    /// Base models of which the host keeps a copy on disk.
    pub on_disk: Vec<Arc<str>>,
    /// Whether an order on a base model is in progress.
    pub is_busy: bool,
    /// The number of orders accepted since the engine started.
    pub sequence: u64,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of running requests.
    pub running: u32,
    /// The KV-cache memory in use that cannot be freed, in tokens.
    pub kv_used_tokens: u64,
    /// The start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Whether the engine is draining and takes no new requests.
    pub is_draining: bool,
}

/// A loaded base model and its loaded adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The name of the base model.
    pub name: Arc<str>,
    /// The loaded adapters of this base model.
    pub adapters: Vec<VersionedAdapter>,
}

/// An adapter in the version that an engine has loaded or is loading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedAdapter {
    /// The name of the adapter, without its base model.
    pub adapter: Arc<str>,
    /// The version of the adapter; 0 if the engine reports none.
    pub version: u64,
}
