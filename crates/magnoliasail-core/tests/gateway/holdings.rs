//! Updates by which entries follow the adapters that an engine has.

use {
    magnoliasail_core::gateway::{Holding, Holdings, HoldingsTracker, adapter_key},
    std::collections::HashMap,
};

fn keys(names: &[&str]) -> HashMap<u64, u32> {
    names.iter().map(|name| (adapter_key(name), 0)).collect()
}

fn copies(names: &[&str]) -> impl Iterator<Item = u64> {
    names.iter().map(|name| adapter_key(name))
}

fn holding(holdings: &Holdings, name: &str) -> Holding {
    holdings.holding(adapter_key(name))
}

#[test]
fn entries_know_which_adapters_an_engine_and_its_host_have() {
    let (mut tracker, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    let update = tracker.update(&keys(&["a", "b"]), copies(&[]));
    holdings.apply(&update.expect("an update"));
    let update = tracker.update(&keys(&["b"]), copies(&["a"]));
    holdings.apply(&update.expect("an update"));
    assert_eq!(holding(&holdings, "a"), Holding::Copied);
    assert_eq!(holding(&holdings, "b"), Holding::Resident);
    assert_eq!(holding(&holdings, "c"), Holding::Absent);
    assert_eq!(tracker.update(&keys(&["b"]), copies(&["a"])), None);
    let update = tracker.update(&keys(&[]), copies(&[]));
    holdings.apply(&update.expect("an update"));
    for name in ["a", "b"] {
        assert_eq!(holding(&holdings, name), Holding::Absent, "{name}");
    }
}

#[test]
fn a_snapshot_replaces_all_earlier_updates() {
    let (mut tracker, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    let update = tracker.update(&keys(&["old"]), copies(&[]));
    holdings.apply(&update.expect("an update"));
    let mut other = HoldingsTracker::default();
    let _ = other.update(&keys(&["new"]), copies(&["copied"]));
    holdings.apply(&other.snapshot());
    assert_eq!(holding(&holdings, "old"), Holding::Absent);
    assert_eq!(holding(&holdings, "new"), Holding::Resident);
    assert_eq!(holding(&holdings, "copied"), Holding::Copied);
}

#[test]
fn entries_learn_how_often_an_adapter_is_used_by_all_of_them() {
    let (mut tracker, mut holdings) = (HoldingsTracker::default(), Holdings::default());
    let key = adapter_key("a");
    let used = |uses| HashMap::from([(key, uses)]);
    holdings.apply(&tracker.update(&used(30), copies(&[])).expect("an update"));
    assert_eq!(holdings.uses(key), 30);
    assert_eq!(
        tracker.update(&used(35), copies(&[])),
        None,
        "nearly the same"
    );
    let mut newcomer = Holdings::default();
    newcomer.apply(&tracker.snapshot());
    assert_eq!(newcomer.uses(key), 30);
    holdings.apply(&tracker.update(&used(60), copies(&[])).expect("an update"));
    assert_eq!(holdings.uses(key), 60);
    holdings.apply(&tracker.update(&used(1), copies(&[])).expect("an update"));
    assert_eq!(holdings.uses(key), 0);
    holdings.apply(&tracker.update(&used(50), copies(&[])).expect("an update"));
    holdings.apply(
        &tracker
            .update(&HashMap::new(), copies(&[]))
            .expect("an update"),
    );
    assert_eq!(holdings.uses(key), 0, "an evicted adapter is not used");
}
