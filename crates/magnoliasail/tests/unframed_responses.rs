//! Tests of answers that have neither a length nor chunks and end with their connection.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{BackendServer, Call, CallKind, Caller, Fleet, Outcome, ServerFaults},
    std::time::Duration,
    tokio::time::sleep,
};

const STREAMS: u32 = 12;
const ENGINES: usize = 2;

fn set_unframed(fleet: &Fleet, event_delay_ms: u64) {
    for engine in &fleet.servers[..ENGINES] {
        engine.set_unframed_answers();
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
