//! What entries learn of the adapters that an engine holds.

use {
    magnoliasail_core::gateway::{Holding, Holdings, HoldingsTracker, adapter_key},
    std::collections::HashSet,
};

fn keys(names: &[&str]) -> HashSet<u64> {
    names.iter().map(|name| adapter_key(name)).collect()
}

fn holding(holdings: &Holdings, name: &str) -> Holding {
    holdings.holding(adapter_key(name))
}

#[test]
fn an_evicted_adapter_is_known_as_a_copy_of_its_host() {
    let (mut log, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    holdings.apply(&log.update(&keys(&["a", "b"])).expect("news"));
    holdings.apply(&log.update(&keys(&["b"])).expect("news"));
    assert_eq!(holding(&holdings, "a"), Holding::Copied);
    assert_eq!(holding(&holdings, "b"), Holding::Resident);
    assert_eq!(holding(&holdings, "c"), Holding::Absent);
    assert_eq!(log.update(&keys(&["b"])), None);
}

#[test]
fn an_engine_that_started_anew_has_no_copies() {
    let (mut log, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    holdings.apply(&log.update(&keys(&["a"])).expect("news"));
    holdings.apply(&log.update(&keys(&["b"])).expect("news"));
    log.discard_copies();
    holdings.apply(&log.update(&keys(&[])).expect("news"));
    for name in ["a", "b"] {
        assert_eq!(holding(&holdings, name), Holding::Absent, "{name}");
    }
}

#[test]
fn an_entry_that_is_new_learns_everything_and_forgets_what_it_was_told_before() {
    let (mut log, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    holdings.apply(&log.update(&keys(&["old"])).expect("news"));
    let mut other = HoldingsTracker::default();
    let _ = other.update(&keys(&["new"]));
    holdings.apply(&other.snapshot());
    assert_eq!(holding(&holdings, "old"), Holding::Absent);
    assert_eq!(holding(&holdings, "new"), Holding::Resident);
}

#[test]
fn only_the_newest_copies_are_kept() {
    let mut log = HoldingsTracker::default();
    let mut holdings = Holdings::default();
    for round in 0..300 {
        if let Some(news) = log.update(&keys(&[&round.to_string()])) {
            holdings.apply(&news);
        }
    }
    assert_eq!(holding(&holdings, "1"), Holding::Absent);
    assert_eq!(holding(&holdings, "298"), Holding::Copied);
}
