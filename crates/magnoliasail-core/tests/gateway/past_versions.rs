//! The software versions that the complete history of the server list shows.

use {
    magnoliasail_core::gateway::{PastVersions, ServerEntry},
    std::sync::Arc,
};

const STARTED_MS: u64 = 1_700_000_000_000;

fn row(id: &str, version: &str) -> ServerEntry {
    row_of_start(id, version, STARTED_MS)
}

fn row_of_start(id: &str, version: &str, started_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 8,
        is_draining: false,
        started_ms: Some(started_ms),
        software_version: Some(version.into()),
        models: Vec::new(),
    }
}

fn versions(past: PastVersions) -> Vec<String> {
    let services: [Arc<str>; 1] = ["s".into()];
    let messages = past.into_messages(services);
    assert_eq!(messages.len(), 1);
    let listed = messages[0].versions.iter();
    listed
        .filter_map(|listed| listed.software_version.clone())
        .collect()
}

#[test]
fn versions_of_listed_changed_and_removed_servers_are_shown() {
    let mut past = PastVersions::default();
    past.add_row(&row("a", "v1"));
    past.add_row(&row("a", "v2"));
    past.add_row(&row("b", "v3"));
    past.add_removal("b");
    past.add_unusable_row("c".into());
    past.add_removal("c");
    assert!(past.is_complete([&row("a", "v2")]));
    assert_eq!(versions(past), ["v1", "v2", "v3"]);
}

#[test]
fn removal_of_a_server_without_a_row_leaves_the_versions_unknown() {
    let mut past = PastVersions::default();
    past.add_row(&row("a", "v1"));
    past.add_removal("b");
    assert!(!past.is_complete(&[]));
}

/// A store that takes revision 0 for the present returns no history at all.
#[test]
fn history_is_complete_only_if_it_shows_every_listed_server() {
    let mut past = PastVersions::default();
    let listed = [row("a", "v1"), row("b", "v1")];
    assert!(!past.is_complete(&listed));
    past.add_row(&listed[0]);
    assert!(!past.is_complete(&listed));
    past.add_row(&listed[1]);
    assert!(past.is_complete(&listed));
}

/// A server that started again under its id may have another software version than before.
#[test]
fn history_is_complete_only_if_it_shows_the_listed_start_of_a_server() {
    let mut past = PastVersions::default();
    past.add_row(&row("a", "v1"));
    let listed = [row_of_start("a", "v2", STARTED_MS + 1_000)];
    assert!(!past.is_complete(&listed));
    past.add_row(&listed[0]);
    assert!(past.is_complete(&listed));
}
