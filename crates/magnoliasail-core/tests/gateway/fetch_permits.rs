//! Fetches of one engine by the permits of an entry, and without an entry that answers.

use {
    super::fake_engine::{MODEL, limits, scheduler_with_model},
    magnoliasail_core::gateway::{
        EngineAction, EngineRefusal, EngineRequest, EngineScheduler, Order, OrderOutcome,
        adapter_key,
        message::{EngineFetches, FetchPermits},
    },
};

const NOW_MS: u64 = 100_000;
/// Longer than an engine waits for an answer of the entry.
const SILENCE_MS: u64 = 160;

/// Returns the scheduler of an engine that has its base model, and asks an entry for permits.
fn governed_scheduler() -> EngineScheduler {
    let mut scheduler = scheduler_with_model(limits(), NOW_MS);
    scheduler.set_fetch_entry(true);
    let first = scheduler
        .fetch_message(NOW_MS)
        .expect("the entry is told of the engine");
    permit(&mut scheduler, &first, &[], NOW_MS);
    scheduler
}

fn full_name(adapter: &str) -> String {
    format!("{MODEL}/{adapter}")
}

fn submit(scheduler: &mut EngineScheduler, key: u64, adapter: &str) -> Vec<EngineAction> {
    let request = EngineRequest {
        key,
        model: MODEL.into(),
        adapter: Some(full_name(adapter).into()),
        arrived_ms: NOW_MS,
        objective_ms: NOW_MS + 800,
        deadline_ms: NOW_MS + 5_000,
        may_move: true,
        ..EngineRequest::default()
    };
    let mut actions = Vec::new();
    scheduler.submit(request, NOW_MS, &mut actions);
    actions
}

/// Applies the entry's answer to a message, with permits for these adapters.
fn permit(
    scheduler: &mut EngineScheduler,
    message: &EngineFetches,
    adapters: &[&str],
    now_ms: u64,
) -> Vec<EngineAction> {
    let permits = FetchPermits {
        received: message.number,
        adapters: adapters
            .iter()
            .map(|name| adapter_key(&full_name(name)))
            .collect(),
        is_unrestricted: false,
    };
    let mut actions = Vec::new();
    scheduler.apply_fetch_permits(&permits, now_ms, &mut actions);
    actions
}

/// Returns the adapters whose loads are ordered.
fn ordered(actions: &[EngineAction]) -> Vec<&str> {
    let adapter = |action| match action {
        &EngineAction::Order(Order { ref adapter, .. }) => adapter.as_deref(),
        _ => None,
    };
    actions.iter().filter_map(adapter).collect()
}

fn pending(message: &EngineFetches) -> Vec<u64> {
    message.pending.iter().map(|fetch| fetch.adapter).collect()
}

#[test]
fn an_adapter_is_fetched_once_it_is_permitted() {
    let mut scheduler = governed_scheduler();
    let actions = submit(&mut scheduler, 1, "a1");
    assert!(actions.is_empty(), "{actions:?}");
    let message = scheduler.fetch_message(NOW_MS).expect("the adapter is new");
    assert_eq!(pending(&message), [adapter_key(&full_name("a1"))]);
    assert_eq!(scheduler.fetch_message(NOW_MS), None);
    let actions = permit(&mut scheduler, &message, &["a1"], NOW_MS + 5);
    assert_eq!(ordered(&actions), ["a1"]);
    let message = scheduler
        .fetch_message(NOW_MS + 5)
        .expect("a fetch has begun");
    assert_eq!((message.in_transit, message.permits_received), (1, 1));
    assert!(message.pending.is_empty(), "{message:?}");
}

/// The entry is paused, cut off one way or overloaded.
#[test]
fn an_engine_fetches_by_itself_while_the_entry_is_silent_and_asks_again_once_it_answers() {
    let mut scheduler = governed_scheduler();
    submit(&mut scheduler, 1, "a1");
    let message = scheduler.fetch_message(NOW_MS).expect("the adapter is new");
    let mut actions = Vec::new();
    scheduler.advance(NOW_MS + SILENCE_MS / 2, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    scheduler.advance(NOW_MS + SILENCE_MS, &mut actions);
    assert_eq!(ordered(&actions), ["a1"]);
    let mut actions = Vec::new();
    scheduler.record_order_outcome(OrderOutcome::Accepted, NOW_MS + SILENCE_MS, &mut actions);
    permit(&mut scheduler, &message, &[], NOW_MS + SILENCE_MS + 1);
    let actions = submit(&mut scheduler, 2, "a2");
    assert!(actions.is_empty(), "{actions:?}");
}

/// A permit for an adapter that nobody waits for any more is given back with the next message.
#[test]
fn a_permit_that_is_not_needed_is_given_back() {
    let mut scheduler = governed_scheduler();
    submit(&mut scheduler, 1, "a1");
    let message = scheduler.fetch_message(NOW_MS).expect("the adapter is new");
    scheduler.finish(1, false, NOW_MS + 1, &mut Vec::new());
    let actions = permit(&mut scheduler, &message, &["a1"], NOW_MS + 2);
    assert!(actions.is_empty(), "{actions:?}");
    let message = scheduler
        .fetch_message(NOW_MS + 2)
        .expect("the permit has come");
    assert_eq!((message.in_transit, message.permits_received), (0, 1));
}

/// Another engine would wait for the same permits, so that handing the request back gains nothing.
#[test]
fn a_request_that_waits_for_a_permit_is_not_handed_back() {
    let mut scheduler = governed_scheduler();
    submit(&mut scheduler, 1, "a1");
    let message = scheduler.fetch_message(NOW_MS).expect("the adapter is new");
    permit(&mut scheduler, &message, &[], NOW_MS + 1);
    let mut actions = Vec::new();
    scheduler.advance(NOW_MS + 400, &mut actions);
    let is_handed_back = |action: &EngineAction| {
        matches!(
            action,
            EngineAction::Refuse {
                reason: EngineRefusal::LateHere,
                ..
            }
        )
    };
    assert!(!actions.iter().any(is_handed_back), "{actions:?}");
}

#[test]
fn without_an_entry_nothing_is_asked() {
    let mut scheduler = governed_scheduler();
    scheduler.set_fetch_entry(false);
    let actions = submit(&mut scheduler, 1, "a1");
    assert_eq!(ordered(&actions), ["a1"]);
    assert_eq!(scheduler.fetch_message(NOW_MS), None);
}
