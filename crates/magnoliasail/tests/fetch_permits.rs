//! Tests that adapters are fetched while the entry that permits fetches is killed or paused.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, Outcome},
    std::{future::Future, time::Duration},
};

const ENTRIES: usize = 2;

fn with_two_entries<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    let settings = FleetSettings {
        entries: ENTRIES as u8,
        engines: 2,
        plain_servers: 1,
        ..small_fleet(network)
    };
    run_with_fleet(settings, test);
}

/// Returns the entry that an agent picked last.
fn picked_entry(fleet: &Fleet) -> usize {
    let output = fleet.output();
    let picked = output
        .lines()
        .filter_map(|line| {
            line.split("fetch_entry_picked: entry=platform-entry-")
                .nth(1)
        })
        .next_back()
        .expect("an entry is picked");
    usize::from(!picked.starts_with('0'))
}

/// Requests an adapter that no engine has at the other entry than `lost`.
async fn assert_new_adapter_is_served(fleet: &Fleet, lost: usize, number: u32) {
    let address = fleet.entry_address((1 - lost) as u8);
    let mut caller = Caller::new(address, fleet.ledger.clone());
    let call = Call {
        id: format!("new-adapter-{number}"),
        kind: CallKind::Stream,
        adapter: format!("base/a{number}"),
        deadline: Duration::from_millis(2_900),
        ..Call::default()
    };
    let outcome = caller.call(&call).await;
    assert_eq!(outcome, Outcome::Served, "{}", fleet.output());
}

#[test]
fn adapters_are_fetched_after_the_entry_that_permits_fetches_is_killed() {
    with_two_entries(121, |mut fleet| async move {
        let lost = picked_entry(&fleet);
        fleet.kill(lost);
        for number in 1..4 {
            assert_new_adapter_is_served(&fleet, lost, number).await;
        }
        assert_no_violations(&fleet);
    });
}

#[test]
fn adapters_are_fetched_while_the_entry_that_permits_fetches_is_paused() {
    with_two_entries(122, |fleet| async move {
        let lost = picked_entry(&fleet);
        fleet.signal(lost, "STOP");
        for number in 1..4 {
            assert_new_adapter_is_served(&fleet, lost, number).await;
        }
        fleet.signal(lost, "CONT");
        assert_no_violations(&fleet);
    });
}
