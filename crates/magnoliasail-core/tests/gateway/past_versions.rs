//! The software versions that the history of the server list shows, and where that history begins.

use {
    arbtest::arbtest,
    magnoliasail_core::gateway::{HistorySearch, HistorySpan, PastVersions, ServerEntry},
    std::sync::Arc,
};

const UNIX_MS: u64 = 1_700_000_000_000;
const KEPT_MS: u64 = 20_000;

fn row(id: &str, version: &str, age_ms: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        slots: 8,
        is_draining: false,
        started_ms: Some(UNIX_MS - age_ms),
        software_version: Some(version.into()),
        models: Vec::new(),
    }
}

fn versions(past: PastVersions) -> Vec<String> {
    let services: [Arc<str>; 1] = ["s".into()];
    let messages = past.into_messages(services, KEPT_MS);
    assert_eq!(messages.len(), 1);
    let listed = messages[0].versions.iter();
    listed
        .filter_map(|listed| listed.software_version.clone())
        .collect()
}

/// Searches a history whose oldest kept revision is `oldest`; returns the number of probes.
fn search(newest: u64, oldest: u64) -> u32 {
    let mut search = HistorySearch::new(newest);
    let mut probes = 0;
    while let Some(revision) = search.next_probe() {
        search.record(revision, revision >= oldest);
        probes += 1;
        assert!(probes < 1_000, "the search does not end");
    }
    assert_eq!(search.oldest_kept(), oldest);
    probes
}

#[test]
fn oldest_kept_revision_is_found_in_few_probes_wherever_it_is() {
    arbtest(|random| {
        let newest = random.int_in_range(0..=u64::from(u32::MAX))?;
        let oldest = random.int_in_range(0..=newest)?;
        let kept = newest - oldest + 1;
        let max_probes = 3 + 2 * (kept.ilog2() + 1) + newest.max(1).ilog2();
        let probes = search(newest, oldest);
        assert!(probes <= max_probes, "{probes} for {oldest} of {newest}");
        Ok(())
    });
    assert_eq!(search(1_000, 0), 1);
    assert_eq!(search(0, 0), 0);
}

#[test]
fn history_that_is_discarded_during_the_search_is_searched_further() {
    let mut search = HistorySearch::new(100);
    let mut oldest = 10;
    while let Some(revision) = search.next_probe() {
        search.record(revision, revision >= oldest);
        oldest += 1;
    }
    while search.oldest_kept() < oldest {
        search.record(search.oldest_kept(), false);
    }
    assert_eq!(search.oldest_kept(), oldest);
}

#[test]
fn versions_of_listed_changed_and_removed_servers_are_shown() {
    let mut past = PastVersions::default();
    past.add_row(&row("a", "v1", 0));
    past.add_row(&row("a", "v2", 0));
    past.add_row(&row("b", "v3", 0));
    past.add_removal("b");
    past.add_unusable_row("c".into());
    past.add_removal("c");
    let known = past.known_for_ms(HistorySpan::Kept(KEPT_MS), &[], UNIX_MS);
    assert_eq!(known, Some(KEPT_MS));
    assert_eq!(versions(past), ["v1", "v2", "v3"]);
}

#[test]
fn removal_of_a_server_without_a_row_leaves_the_versions_unknown() {
    let mut past = PastVersions::default();
    past.add_row(&row("a", "v1", 0));
    past.add_removal("b");
    for span in [HistorySpan::Complete, HistorySpan::Kept(KEPT_MS)] {
        assert_eq!(past.known_for_ms(span, &[], UNIX_MS), None);
    }
}

/// A store that takes revision 0 for the present returns no history at all.
#[test]
fn history_is_complete_only_if_it_shows_every_listed_server() {
    let mut past = PastVersions::default();
    let listed = [row("a", "v1", 0), row("b", "v1", 0)];
    assert_eq!(
        past.known_for_ms(HistorySpan::Complete, &listed, UNIX_MS),
        None
    );
    past.add_row(&listed[0]);
    assert_eq!(
        past.known_for_ms(HistorySpan::Complete, &listed, UNIX_MS),
        None
    );
    past.add_row(&listed[1]);
    let known = past.known_for_ms(HistorySpan::Complete, &listed, UNIX_MS);
    assert_eq!(known, Some(u64::MAX));
}

/// A store that discarded its history early shows so by a server that started later than the history should begin.
#[test]
fn history_that_was_discarded_early_counts_from_the_start_of_the_latest_older_row() {
    let past = PastVersions::default();
    let span = HistorySpan::Kept(KEPT_MS);
    let old = row("a", "v1", 3 * KEPT_MS);
    let young = row("b", "v1", KEPT_MS / 4);
    assert_eq!(past.known_for_ms(span, [&old], UNIX_MS), Some(KEPT_MS));
    let known = past.known_for_ms(span, [&old, &young], UNIX_MS);
    assert_eq!(known, Some(KEPT_MS / 4));
}
