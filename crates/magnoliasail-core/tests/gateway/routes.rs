//! Route lookup by longest prefix, split weights, and configuration versions.

use {
    magnoliasail_core::gateway::{
        Configuration, RequestKind, Route, RouteTable, ServiceLimits, Split,
    },
    std::collections::HashMap,
};

fn route(prefix: &str, splits: &[(&str, f64)]) -> Route {
    Route {
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Safe,
        splits: splits
            .iter()
            .map(|&(service, weight)| Split {
                service: service.into(),
                weight,
            })
            .collect(),
        timeout_ms: 1_000,
        objective_ms: 300,
        pause_objective_ms: 0,
        rank: 0,
        max_servers: 1,
        is_public: false,
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    let mut table = RouteTable::default();
    assert!(table.apply(Configuration {
        version,
        routes,
        ..Configuration::default()
    }));
    table
}

fn service(table: &RouteTable, path: &str) -> Option<String> {
    table
        .find("a.example", path, "id")
        .map(|found| found.service.to_string())
}

#[test]
fn the_longest_matching_prefix_wins() {
    let table = table(
        1,
        vec![
            route("/a/", &[("short", 1.0)]),
            route("/a/b/", &[("long", 1.0)]),
        ],
    );
    assert_eq!(service(&table, "/a/b/c").as_deref(), Some("long"));
    assert_eq!(service(&table, "/a/c").as_deref(), Some("short"));
    assert_eq!(service(&table, "/a"), None);
    assert!(table.find("b.example", "/a/c", "id").is_none());
}

#[test]
fn an_older_or_equal_configuration_version_is_ignored() {
    let mut table = table(7, vec![route("/new/", &[("s", 1.0)])]);
    for version in [6, 7] {
        let older = Configuration {
            version,
            routes: vec![route("/old/", &[("s", 1.0)])],
            ..Configuration::default()
        };
        assert!(!table.apply(older));
    }
    assert_eq!(table.version(), Some(7));
    assert_eq!(service(&table, "/old/x"), None);
}

#[test]
fn a_split_follows_its_weights_and_skips_services_with_weight_zero() {
    let table = table(
        1,
        vec![route(
            "/a/",
            &[("big", 90.0), ("none", 0.0), ("small", 10.0)],
        )],
    );
    let mut counts: HashMap<String, u32> = HashMap::new();
    for id in 0..10_000 {
        let found = table
            .find("a.example", "/a/x", &id.to_string())
            .expect("a route");
        *counts.entry(found.service.to_string()).or_default() += 1;
    }
    assert!((8_800..=9_200).contains(&counts["big"]), "{counts:?}");
    assert!(!counts.contains_key("none"));
}

/// Servers reset connections beyond those that they accept, from all entries together.
#[test]
fn entries_together_open_no_more_connections_than_a_server_accepts() {
    let mut table = RouteTable::default();
    let limits = |name: &str, max_connections| ServiceLimits {
        name: name.into(),
        health_path: "/health".into(),
        max_connections,
        engine: None,
    };
    assert!(table.apply(Configuration {
        version: 1,
        services: vec![limits("large", 470), limits("none", 0)],
        ..Configuration::default()
    }));
    for entries in [1, 5, 25, 68] {
        let connections = table.connections_per_entry("large", entries);
        assert!(connections * entries as usize <= 470, "{entries} entries");
        assert!(connections >= 4, "{entries} entries");
    }
    for service in ["none", "unknown"] {
        assert!(table.connections_per_entry(service, 0) > 0, "{service}");
    }
}
