//! The configuration in force, and which route a request takes.
//!
//! Versions only grow: an older configuration, however it arrives, is not adopted.

use {
    super::{CallerLimits, Configuration, EngineLimits, RequestKind, Route, ServiceLimits},
    std::{collections::HashMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Option<u64>,
    /// Routes of each host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Route>>,
    services: HashMap<Arc<str>, ServiceLimits>,
    limits: CallerLimits,
}

/// The route of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The service that serves the request.
    pub service: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that the caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The rank among requests, 0 first.
    pub rank: u32,
    /// The number of backend servers to which the request may be sent.
    pub max_servers: u32,
}

impl RouteTable {
    /// Adopts a configuration if it is newer; returns whether it was.
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
        true
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns what a caller may send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns a service's limits.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceLimits> {
        self.services.get(name)
    }

    /// Returns the limits of a service's engines, if its servers are engines.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&EngineLimits> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Finds the route with the longest prefix; `request_id` decides between a route's services.
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
        })
    }
}

fn pick_service(route: &Route, request_id: &str) -> Option<Arc<str>> {
    let [only] = route.splits.as_slice() else {
        return pick_by_weight(route, request_id);
    };
    Some(Arc::clone(&only.service))
}

fn pick_by_weight(route: &Route, request_id: &str) -> Option<Arc<str>> {
    let total: f64 = route.splits.iter().map(|split| split.weight.max(0.0)).sum();
    let share = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
    let mut left = share * total;
    let mut last = None;
    for split in route.splits.iter().filter(|split| split.weight > 0.0) {
        last = Some(&split.service);
        left -= split.weight;
        if left < 0.0 {
            break;
        }
    }
    last.cloned()
}
