//! Unloads that wait for runs which the agent no longer counts, because their callers have left.

use {
    super::scheduler_harness::Harness,
    magnoliasail_core::gateway::{AdapterReadiness, OrderKind},
    std::sync::Arc,
};

/// Longer than an unload is awaited before another adapter has to go.
const LONG_UNLOAD_MS: u64 = 300;

/// Returns a harness whose engine has an adapter in each slot, and whose run of `a` goes on although its request was
/// cancelled.
fn full_engine_with_a_lingering_run() -> Harness {
    let mut harness = Harness::new();
    for adapter in ["a", "b", "c", "d"] {
        let key = harness.submit(adapter, 1);
        harness.complete_loads();
        if adapter == "a" {
            harness.cancel(key);
        } else {
            harness.finish(key);
        }
    }
    harness.orders.clear();
    harness
}

fn unload(adapter: &str) -> (OrderKind, Option<Arc<str>>) {
    (OrderKind::Unload, Some(adapter.into()))
}

fn load(adapter: &str) -> (OrderKind, Option<Arc<str>>) {
    (OrderKind::Load, Some(adapter.into()))
}

/// Guards against an engine that is ordered to load more adapters than it has slots, because an unload that it has
/// only accepted counts as done. `review/7` failed because of it.
#[test]
fn the_slot_of_an_accepted_unload_is_taken_until_a_report_shows_it_free() {
    let mut harness = full_engine_with_a_lingering_run();
    let waiting = harness.submit("e", 1);
    assert_eq!(harness.orders, [unload("a")]);
    harness.report();
    assert_eq!(harness.orders, [unload("a")], "the engine still has `a`");
    assert!(harness.scheduler.has_pending_loads());
    harness.engine.end_lingering_runs();
    harness.report();
    assert_eq!(harness.orders, [unload("a"), load("e")]);
    harness.complete_loads();
    assert!(harness.started.contains(&waiting));
    assert!(!harness.engine.has_crashed);
}

/// The engine refuses requests for it until it is gone.
#[test]
fn no_request_starts_on_an_adapter_that_is_being_unloaded() {
    let mut harness = full_engine_with_a_lingering_run();
    harness.submit("e", 1);
    let late = harness.submit("a", 1);
    harness.report();
    assert!(!harness.started.contains(&late));
    let readiness = harness.scheduler.adapter_readiness(Some("m/a"));
    assert_eq!(readiness, AdapterReadiness::Copied);
    let names = harness.scheduler.loaded_names(harness.now_ms);
    assert!(!names.into_iter().any(|(name, _)| **name == *"m/a"));
    harness.engine.end_lingering_runs();
    harness.report();
    harness.complete_loads();
    harness.report();
    harness.complete_loads();
    assert!(harness.started.contains(&late));
    assert!(!harness.engine.has_crashed);
}

/// A run that goes on after its connection was closed may take as long as its stream.
#[test]
fn another_adapter_makes_room_if_an_unload_takes_long() {
    let mut harness = full_engine_with_a_lingering_run();
    let waiting = harness.submit("e", 1);
    harness.now_ms += LONG_UNLOAD_MS;
    harness.report();
    assert_eq!(harness.orders, [unload("a"), unload("b"), load("e")]);
    harness.complete_loads();
    assert!(harness.started.contains(&waiting));
    assert!(!harness.engine.has_crashed);
}

#[test]
fn each_missing_adapter_gets_an_unload_of_its_own() {
    let mut harness = full_engine_with_a_lingering_run();
    harness.submit("e", 1);
    harness.submit("f", 1);
    assert_eq!(harness.orders[..2], [unload("a"), unload("b")]);
    assert_eq!(harness.orders.len(), 3, "{:?}", harness.orders);
    assert!(!harness.engine.has_crashed);
}

/// An engine that restarts forgets its unload with everything else.
#[test]
fn a_restart_ends_an_unload() {
    let mut harness = full_engine_with_a_lingering_run();
    harness.submit("e", 1);
    harness.engine.restart();
    harness.report();
    assert_eq!(harness.scheduler.taken_slots(), 0);
}
