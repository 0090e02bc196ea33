//! The operator's configuration: routes, services and limits on what callers send.

use {
    super::{Account, adapter_version::model_of},
    std::sync::Arc,
};

/// One published version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version, which increases with every publication.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes refer to by name.
    pub services: Vec<ServiceLimits>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// The client accounts. If there are none, requests need no key.
    pub accounts: Vec<Account>,
}

impl Configuration {
    /// Returns the limits of the engines of a service, with the pause objective of its routes; `None` if the
    /// service has no engines.
    #[must_use]
    pub fn engine_limits(&self, service: &str) -> Option<EngineLimits> {
        let limits = self.services.iter().find(|limits| *limits.name == *service);
        let engine = limits?.engine.clone()?;
        let routes = self.routes.iter().filter(|route| {
            let is_named = route.pause_objective_ms > 0;
            is_named && route.splits.iter().any(|split| *split.service == *service)
        });
        let shortest_ms = routes.map(|route| route.pause_objective_ms).min();
        Some(EngineLimits {
            pause_objective_ms: shortest_ms.unwrap_or(0),
            ..engine
        })
    }
}

/// Routing rule for requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that the request must name.
    pub host: Arc<str>,
    /// The prefix that the path must have; it starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests are idempotent and whether their answers are streams.
    pub kind: RequestKind,
    /// The services that share the requests, by weight.
    pub splits: Vec<Split>,
    /// The longest time that a caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency, in milliseconds; an answer that misses it is worth less to the caller.
    pub objective_ms: u64,
    /// The longest pause between the events of a stream for which it is still on time, in milliseconds; 0 if
    /// the route names none.
    pub pause_objective_ms: u64,
    /// The priority rank; rank 0 is served first.
    pub rank: u32,
    /// The maximum number of backend servers to which one request is sent.
    pub max_servers: u32,
    /// Whether requests need no key, even if there are client accounts.
    pub is_public: bool,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The name of the service.
    pub service: Arc<str>,
    /// The weight relative to the route's other services; 0 means no requests.
    pub weight: f64,
}

/// Whether a request may be retried, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Safe,
    /// The request may run once at most.
    Unsafe,
    /// The answer is a stream, and the request may run once at most.
    Stream,
    /// The answer is a stream that another server can resume after the last event delivered.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and the limits of its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    /// The name that routes refer to.
    pub name: Arc<str>,
    /// The path at which each server answers health checks; empty if there is none.
    pub health_path: Arc<str>,
    /// The maximum number of connections that each server accepts from all callers together.
    pub max_connections: usize,
    /// The limits of each engine, for services whose servers are model engines.
    pub engine: Option<EngineLimits>,
}

/// Limits of each model engine of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLimits {
    /// The maximum number of requests in a batch.
    pub batch_slots: u32,
    /// The KV-cache capacity for prompts and output, in tokens.
    pub kv_tokens: u64,
    /// The memory for base model weights, in megabytes.
    pub weights_mb: f64,
    /// The maximum number of adapters loaded at once.
    pub adapter_slots: u32,
    /// The base model loads that the weight store allows per second, over all engines.
    pub loads_per_s: f64,
    /// The tokens in an event of a stream; 0 if unknown.
    pub tokens_per_event: u32,
    /// The shortest pause objective of the routes to the service, in milliseconds; 0 if they name none.
    pub pause_objective_ms: u64,
    /// The base models that the service offers.
    pub models: Vec<ModelLimits>,
}

impl EngineLimits {
    /// Returns the size of an adapter, given by its full name, in megabytes; 0 if its base model is unknown.
    pub(super) fn adapter_mb(&self, adapter: &str) -> f64 {
        let model = model_of(adapter);
        let limits = self.models.iter().find(|limits| *limits.name == *model);
        limits.map_or(0.0, |limits| limits.adapter_mb)
    }
}

/// Sizes and load times of a base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelLimits {
    /// The name of the base model.
    pub name: Arc<str>,
    /// The size of its weights, in megabytes.
    pub weights_mb: f64,
    /// The size of each of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// The expected load time from the weight store, in milliseconds.
    pub load_ms: u64,
    /// The expected load time from the disk of the engine's host, in milliseconds.
    pub disk_load_ms: u64,
    /// The expected load time from the memory of the engine's host, in milliseconds.
    pub memory_load_ms: u64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// The maximum time between requests on a connection, in milliseconds.
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
