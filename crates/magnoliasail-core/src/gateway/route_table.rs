//! The active configuration and the route lookup.
//!
//! Configuration versions only increase: an older or equal version is ignored, whichever source
//! delivers it.

use {
    super::{
        Account, AccountTable, CallerLimits, Configuration, EngineLimits, KeyError, PresentedKey,
        RequestKind, Route, ServiceLimits,
    },
    std::{collections::HashMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// The active configuration, indexed for route lookup.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Option<u64>,
    /// Routes by host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Route>>,
    services: HashMap<Arc<str>, ServiceLimits>,
    limits: CallerLimits,
    accounts: AccountTable,
}

/// The service and the route settings that apply to a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The service that serves the request.
    pub service: Arc<str>,
    /// Whether the request is idempotent and whether its answer is a stream.
    pub kind: RequestKind,
    /// The longest time that the caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency, in milliseconds.
    pub objective_ms: u64,
    /// The priority rank; rank 0 is served first.
    pub rank: u32,
    /// The maximum number of backend servers to which the request is sent, at least 1.
    pub max_servers: u32,
    /// Whether requests need no key, even if there are client accounts.
    pub is_public: bool,
}

impl RouteTable {
    /// Applies a configuration if its version is newer; returns whether it was applied.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        if self
            .version
            .is_some_and(|version| version >= configuration.version)
        {
            return false;
        }
        let mut routes: HashMap<Arc<str>, Vec<Route>> = HashMap::new();
        for route in configuration.routes {
            routes
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(route);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        self.version = Some(configuration.version);
        self.routes = routes;
        self.services = configuration
            .services
            .into_iter()
            .map(|service| (Arc::clone(&service.name), service))
            .collect();
        self.limits = configuration.limits;
        self.accounts = AccountTable::new(configuration.accounts);
        true
    }

    /// Returns the active version, or `None` before the first configuration is applied.
    #[must_use]
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the limits on requests and connections of callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the client accounts.
    #[must_use]
    pub const fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Returns the client account that a request of a route belongs to, or `None` if the route needs no
    /// account.
    ///
    /// # Errors
    ///
    /// Returns an error if the request needs an account and its key belongs to none.
    pub fn authorize(
        &self,
        route: &RouteMatch,
        key: &PresentedKey,
    ) -> Result<Option<Arc<Account>>, KeyError> {
        if route.is_public || self.accounts.is_empty() {
            return Ok(None);
        }
        self.accounts.authenticate(key).map(Some)
    }

    /// Returns the limits of a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceLimits> {
        self.services.get(name)
    }

    /// Returns the limits of a service's engines, or `None` if its servers are no model engines.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&EngineLimits> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the maximum number of connections that one of `entries` entries may open to a server of
    /// a service. Together they stay below what the server accepts.
    #[must_use]
    pub fn connections_per_entry(&self, service: &str, entries: u32) -> usize {
        /// Share of the server's connections that entries use, which leaves room for those that are
        /// being closed.
        const USED_SHARE: f64 = 0.8;
        /// Enough for any entry to use the slots of a server for a short burst.
        const MIN_CONNECTIONS: usize = 4;
        const MAX_CONNECTIONS: usize = 64;
        let Some(limits) = self.services.get(service) else {
            return MIN_CONNECTIONS;
        };
        let share = limits.max_connections as f64 * USED_SHARE / f64::from(entries.max(1));
        (share as usize).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }

    /// Finds the route with the longest matching prefix. The hash of `request_id` picks one of the
    /// route's services in proportion to their weights.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, request_id: &str) -> Option<RouteMatch> {
        let route = self
            .routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))?;
        Some(RouteMatch {
            service: pick_service(route, request_id)?,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            rank: route.rank,
            max_servers: route.max_servers.max(1),
            is_public: route.is_public,
        })
    }
}

fn pick_service(route: &Route, request_id: &str) -> Option<Arc<str>> {
    let [split] = route.splits.as_slice() else {
        return pick_by_weight(route, request_id);
    };
    Some(Arc::clone(&split.service))
}

fn pick_by_weight(route: &Route, request_id: &str) -> Option<Arc<str>> {
    let total_weight: f64 = route.splits.iter().map(|split| split.weight.max(0.0)).sum();
    let fraction = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
    let mut remaining = fraction * total_weight;
    let mut picked = None;
    for split in route.splits.iter().filter(|split| split.weight > 0.0) {
        picked = Some(&split.service);
        remaining -= split.weight;
        if remaining < 0.0 {
            break;
        }
    }
    picked.cloned()
}
