//! Tests of answers that have neither a length nor chunks and end with their connection.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    hyper::StatusCode,
    magnoliasail_soak::{
        BackendServer, Call, CallKind, Caller, Fleet, FleetSettings, Outcome, ServerFaults,
    },
    std::time::Duration,
    tokio::time::sleep,
};

const STREAMS: u32 = 12;
const ENGINES: usize = 2;

fn set_unframed(fleet: &Fleet, event_delay_ms: u64) {
    for engine in &fleet.servers[..ENGINES] {
        engine.set_unframed_answers(true);
        engine.set_faults(ServerFaults {
            event_delay_ms,
            ..ServerFaults::default()
        });
    }
}

/// Starts streams, crashes an engine while they run, and returns their outcomes. `before_crash` is called
/// some reports before.
async fn outcomes_beside_a_crash(
    fleet: &Fleet,
    kind: CallKind,
    before_crash: impl FnOnce(&BackendServer),
) -> Vec<Outcome> {
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        tasks.push(tokio::spawn(async move {
            let call = Call {
                id: format!("{kind:?}-{number}"),
                kind,
                adapter: format!("base/a{}", number % 4),
                content: format!("{number}"),
                ..Call::default()
            };
            caller.call(&call).await
        }));
    }
    sleep(Duration::from_millis(350)).await;
    before_crash(&fleet.servers[0]);
    sleep(Duration::from_millis(350)).await;
    fleet.servers[0].crash_keeping_id();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("the caller does not panic"));
    }
    outcomes
}

#[test]
fn streams_that_end_with_their_connections_are_served() {
    run_with_fleet(small_fleet(98), |fleet| async move {
        set_unframed(&fleet, 0);
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        for number in 0..STREAMS {
            let call = Call {
                id: format!("unframed-{number}"),
                kind: CallKind::Stream,
                ..Call::default()
            };
            let outcome = caller.call(&call).await;
            assert_eq!(outcome, Outcome::Served, "{}", fleet.output());
        }
        assert_no_violations(&fleet);
    });
}

/// Guards against a stream that looks complete because its engine crashed between two events.
#[test]
fn stream_whose_engine_crashes_between_events_never_looks_complete() {
    for kind in [CallKind::Stream, CallKind::ResumableStream] {
        run_with_fleet(small_fleet(99), |fleet| async move {
            set_unframed(&fleet, 100);
            let outcomes = outcomes_beside_a_crash(&fleet, kind, |_| ()).await;
            assert_no_violations(&fleet);
            assert!(outcomes.contains(&Outcome::Served), "{outcomes:?}");
        });
    }
}

/// Guards against a stream that looks complete because its engine, which was leaving, exited between two
/// events.
#[test]
fn stream_whose_leaving_engine_exits_between_events_never_looks_complete() {
    for kind in [CallKind::Stream, CallKind::ResumableStream] {
        run_with_fleet(small_fleet(173), |fleet| async move {
            set_unframed(&fleet, 100);
            let outcomes = outcomes_beside_a_crash(&fleet, kind, BackendServer::set_leaving).await;
            assert_no_violations(&fleet);
            assert!(outcomes.contains(&Outcome::Served), "{outcomes:?}");
        });
    }
}

/// Calls plain servers whose answers take a while, and crashes one of them meanwhile. Returns the outcomes.
async fn outcomes_beside_a_plain_crash(fleet: &Fleet, kind: CallKind) -> Vec<Outcome> {
    let plain_servers = &fleet.servers[ENGINES..];
    for server in plain_servers {
        server.set_unframed_answers(true);
        server.set_faults(ServerFaults {
            event_delay_ms: 400,
            ..ServerFaults::default()
        });
    }
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        tasks.push(tokio::spawn(async move {
            let call = Call {
                id: format!("{kind:?}-{number}"),
                kind,
                content: format!("{number}"),
                ..Call::default()
            };
            caller.call(&call).await
        }));
    }
    sleep(Duration::from_millis(200)).await;
    plain_servers[0].crash();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("the caller does not panic"));
    }
    outcomes
}

/// Guards against a body that looks complete because its plain server crashed between two parts.
#[test]
fn body_whose_plain_server_crashes_between_two_parts_never_looks_complete() {
    run_with_fleet(small_fleet(175), |fleet| async move {
        let outcomes = outcomes_beside_a_plain_crash(&fleet, CallKind::Safe).await;
        assert_no_violations(&fleet);
        let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
        assert!(outcomes.iter().all(is_served), "{outcomes:?}");
    });
}

/// Such a request may have run, so that it is neither sent again nor reported as not run.
#[test]
fn unsafe_request_whose_plain_server_crashes_in_its_body_is_answered_as_broken_off() {
    run_with_fleet(small_fleet(176), |fleet| async move {
        let outcomes = outcomes_beside_a_plain_crash(&fleet, CallKind::Unsafe).await;
        assert_no_violations(&fleet);
        assert!(outcomes.contains(&Outcome::Served), "{outcomes:?}");
        let broken_off = Outcome::Failed(StatusCode::BAD_GATEWAY);
        assert!(outcomes.contains(&broken_off), "{outcomes:?}");
    });
}

/// The checks of the ends take nothing of the rate that the server names.
#[test]
fn unframed_responses_of_a_plain_server_that_names_a_rate_are_served() {
    let settings = FleetSettings {
        plain_servers: 1,
        ..small_fleet(180)
    };
    run_with_fleet(settings, |fleet| async move {
        let server = &fleet.servers[ENGINES];
        server.set_unframed_answers(true);
        server.set_rate(Some(1.7));
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        for number in 0..8 {
            let call = Call {
                id: format!("rated-{number}"),
                kind: CallKind::Unsafe,
                content: format!("{number}"),
                ..Call::default()
            };
            let outcome = caller.call(&call).await;
            let is_sound = matches!(outcome, Outcome::Served | Outcome::NotRun);
            assert!(is_sound, "{outcome:?}\n{}", fleet.output());
            sleep(Duration::from_millis(700)).await;
        }
        assert_no_violations(&fleet);
    });
}
