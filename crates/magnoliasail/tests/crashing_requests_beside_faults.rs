//! Tests of requests that crash each server which runs them, beside other faults.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, PROPAGATION_TIME, Poison},
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const ENTRIES: u8 = 2;
/// Time for which the request comes again.
const ATTACK_TIME: Duration = Duration::from_secs(12);
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

fn with_fleet<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    let settings = FleetSettings {
        entries: ENTRIES,
        engines: 4,
        plain_servers: 3,
        ..small_fleet(network)
    };
    run_with_fleet(settings, test);
}

fn poison_call(kind: CallKind) -> Call {
    Call {
        id: format!("poison-{kind:?}"),
        kind,
        content: "poison".to_owned(),
        ..Call::default()
    }
}

/// Makes a call again and again through one entry, under other ids, until `end`. The ids begin with that
/// of `call`.
async fn repeat_call(fleet: &Fleet, entry: u8, call: Call, end: Instant) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let call = Call {
            id: format!("{}-{entry}-{number}", call.id),
            ..call.clone()
        };
        // A caller that leaves needs a connection of its own.
        let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
        caller.call(&call).await;
        sleep(CALL_INTERVAL).await;
    }
}

/// Makes the call again and again through all entries, beside sound calls of the same kind.
async fn attack(fleet: &Fleet, call: Call) {
    let end = Instant::now() + ATTACK_TIME;
    let sound_call = Call {
        id: "sound".to_owned(),
        kind: call.kind,
        content: "sound".to_owned(),
        ..Call::default()
    };
    tokio::join!(
        repeat_call(fleet, 0, call.clone(), end),
        repeat_call(fleet, 1, call, end),
        repeat_call(fleet, 0, sound_call.clone(), end),
        repeat_call(fleet, 1, sound_call, end),
    );
}

/// Asserts that no server gets a request after it has crashed three, although every second run of it ends
/// with an error answer.
fn assert_refused_beside_error_answers(network: u8, kind: CallKind) {
    with_fleet(network, |fleet| async move {
        let poison = Poison::request("poison").with_error_interval(2);
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
        attack(&fleet, poison_call(kind)).await;
        assert!(poison.crashes() >= 3, "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Guards against an error answer that counts as a completion and so clears the request.
#[test]
fn safe_request_that_crashes_plain_servers_is_refused_beside_error_answers() {
    assert_refused_beside_error_answers(95, CallKind::Safe);
}

/// The same for requests that are not repeated within an attempt of the caller.
#[test]
fn unsafe_request_that_crashes_plain_servers_is_refused_beside_error_answers() {
    assert_refused_beside_error_answers(96, CallKind::Unsafe);
}

/// The same at engines, whose agents count completions too.
#[test]
fn stream_that_crashes_engines_is_refused_beside_error_answers() {
    assert_refused_beside_error_answers(97, CallKind::ResumableStream);
}

/// Asserts that no server gets a request after it has crashed three, although its callers have left when
/// a server crashes.
fn assert_refused_if_callers_leave(network: u8, kind: CallKind) {
    with_fleet(network, |fleet| async move {
        let poison = Poison::request("poison").with_crash_delay(Duration::from_millis(160));
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
        let call = Call {
            deadline: Duration::from_millis(120),
            ..poison_call(kind)
        };
        attack(&fleet, call).await;
        assert!(poison.crashes() >= 3, "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Guards against a crash that is put down to nothing because the caller has left before it.
#[test]
fn safe_request_whose_callers_leave_before_the_crash_is_refused() {
    assert_refused_if_callers_leave(98, CallKind::Safe);
}

/// The same at engines, whose agents cancel the request.
#[test]
fn stream_whose_callers_leave_before_the_crash_is_refused() {
    assert_refused_if_callers_leave(99, CallKind::ResumableStream);
}

/// Guards against a request that counts as another one once its route leads to another service.
#[test]
fn request_that_crashed_servers_is_refused_after_its_route_has_moved_to_another_service() {
    with_fleet(100, |mut fleet| async move {
        let poison = Poison::request("poison");
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
        let call = poison_call(CallKind::Safe);
        attack(&fleet, call.clone()).await;
        let crashes = poison.crashes();
        fleet.move_plain_servers("desk-2");
        sleep(PROPAGATION_TIME).await;
        let call = Call {
            id: "after-the-move".to_owned(),
            ..call
        };
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        caller.call(&call).await;
        assert_eq!(poison.crashes(), crashes, "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Guards against an entry that sends a quarantined request to plain servers right after its start, before
/// agents have told it.
#[test]
fn entry_that_has_just_started_sends_no_quarantined_request_to_plain_servers() {
    with_fleet(101, |mut fleet| async move {
        let poison = Poison::request("poison");
        for server in &fleet.servers {
            server.set_poison(&poison);
        }
        let numbered_call = |number: u32| Call {
            id: format!("poison-{number}"),
            ..poison_call(CallKind::Unsafe)
        };
        let mut number = 0;
        while poison.crashes() < 3 && number < 100 {
            let soon = Instant::now() + CALL_INTERVAL;
            repeat_call(&fleet, 1, numbered_call(number), soon).await;
            number += 1;
        }
        let crashes = poison.crashes();
        assert!(crashes >= 3, "{}", fleet.output());
        for restart in 0..2 {
            fleet.restart(0).expect("the entry starts again");
            let soon = Instant::now() + Duration::from_secs(1);
            repeat_call(&fleet, 0, numbered_call(number + restart), soon).await;
        }
        assert_eq!(poison.crashes(), crashes, "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}
