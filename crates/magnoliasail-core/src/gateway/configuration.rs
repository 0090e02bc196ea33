//! The operator's configuration: routes, services and limits of callers.

use std::sync::Arc;

/// What the operator published, as one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; it only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<ServiceLimits>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// Where requests with a host and a path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that a request names.
    pub host: Arc<str>,
    /// The beginning of the paths; it starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The services that share the requests, by weight.
    pub splits: Vec<Split>,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The rank among requests, 0 first.
    pub rank: u32,
    /// The number of backend servers to which one request may be sent.
    pub max_servers: u32,
}

/// A service's part in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Safe,
    /// The request may run once at most.
    Unsafe,
    /// The answer is a stream, and the request may run once at most.
    Stream,
    /// The answer is a stream that may go on at another server after its last event.
    ResumableStream,
}

impl RequestKind {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// The service's name.
    pub name: Arc<str>,
    /// Connections that each server accepts from all callers together.
    pub max_connections: usize,
    /// The engine's limits, for services whose servers are model engines.
    pub engine: Option<EngineLimits>,
}

/// Limits of each model engine of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLimits {
    /// Requests that a batch holds.
    pub batch_slots: u32,
    /// Memory for prompts and output, in tokens.
    pub kv_tokens: u64,
    /// Memory for weights, in megabytes.
    pub weights_mb: f64,
    /// Adapters that an engine may hold.
    pub adapter_slots: u32,
    /// Loads of whole models that the weight store allows each second, over all engines.
    pub loads_per_s: f64,
    /// The models that the service offers.
    pub models: Vec<ModelLimits>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelLimits {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of its weights, in megabytes.
    pub weights_mb: f64,
    /// The size of each adapter, in megabytes.
    pub adapter_mb: f64,
    /// The time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// The time of a load from the disk of the engine's host, in milliseconds.
    pub disk_load_ms: u64,
    /// The time of a load from the memory of the engine's host, in milliseconds.
    pub memory_load_ms: u64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time between requests on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
