//! Tests that streams go on, at the software version that began them, after all processes were lost at once.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, streams::*},
    magnoliasail_soak::{Call, Fleet, FleetSettings},
    std::{future::Future, time::Duration},
    tokio::time::sleep,
};

/// Longer than the time since a stream began that its caller resumes, which is its route's timeout.
const MAX_STREAM_AGE: Duration = Duration::from_secs(7);
/// Shorter than that time.
const SHORT_HISTORY: Duration = Duration::from_secs(4);

fn kill_all(fleet: &mut Fleet) {
    for process in 0..fleet.process_count() {
        fleet.kill(process);
    }
}

fn restart_all(fleet: &mut Fleet) {
    for process in 0..fleet.process_count() {
        fleet.restart(process).expect("the process starts");
    }
}

/// Runs a test with one software version and a store that keeps its history for `history`, once the rows of the
/// servers have left the history.
fn after_history<F: Future<Output = ()>>(
    history: Duration,
    network: u8,
    test: impl FnOnce(Fleet) -> F,
) {
    let settings = FleetSettings {
        store_history: history,
        ..fleet_of_versions(1, network)
    };
    run_with_fleet(settings, |fleet| async move {
        sleep(history + Duration::from_millis(500)).await;
        test(fleet).await;
    });
}

/// Asserts that streams which a loss of all processes breaks off go on once the processes are back.
async fn assert_streams_go_on(fleet: Fleet) {
    let (mut fleet, calls) = broken_off_streams(fleet, kill_all).await;
    restart_all(&mut fleet);
    let outcomes = resume(&fleet, &calls).await;
    assert!(!calls.is_empty(), "{}", fleet.output());
    assert_all_served(&fleet, &outcomes);
    assert_no_violations(&fleet);
}

/// Guards against refusing every stream after a loss of all processes although no other version has served.
#[test]
fn streams_of_the_only_software_version_go_on_after_all_processes_were_killed() {
    with_versions(1, 121, assert_streams_go_on);
}

/// Asserts that streams which a loss of all processes breaks off are refused, and that such streams go on once all
/// versions are known since the restart.
async fn assert_streams_go_on_later(fleet: Fleet) {
    let (mut fleet, calls) = broken_off_streams(fleet, kill_all).await;
    restart_all(&mut fleet);
    let outcomes = resume(&fleet, &calls).await;
    assert_all_refused(&fleet, &outcomes);
    sleep(MAX_STREAM_AGE).await;
    let again = |call: &Call| Call {
        id: format!("{}-again", call.id),
        ..call.clone()
    };
    let calls: Vec<Call> = calls.iter().map(again).collect();
    let outcomes = resume(&fleet, &calls).await;
    assert_all_served(&fleet, &outcomes);
    assert_no_violations(&fleet);
}

/// Guards against taking the time for which a store says that it keeps its history for proof of how far back the
/// history reaches: it may have discarded a part sooner, with a version that left.
#[test]
fn streams_are_refused_after_all_processes_were_killed_if_the_history_lacks_the_first_changes() {
    after_history(MAX_STREAM_AGE, 122, assert_streams_go_on_later);
}

/// The same with a history that is shorter than the streams.
#[test]
fn streams_are_refused_after_all_processes_were_killed_until_their_versions_are_known() {
    after_history(SHORT_HISTORY, 123, assert_streams_go_on_later);
}

/// Guards against joining streams of a version that has left to the remaining one when the store discarded its history
/// between the departure and the loss of all processes.
#[test]
fn streams_of_a_version_that_left_before_the_history_was_discarded_are_not_joined_to_another() {
    with_versions(2, 125, |fleet| async move {
        // The remaining servers have run for longer than the streams.
        sleep(MAX_STREAM_AGE).await;
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| {
            for engine in FIRST_VERSION_ENGINES {
                fleet.remove_server(engine);
            }
            fleet.store.compact();
            kill_all(fleet);
        })
        .await;
        restart_all(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        assert_all_refused(&fleet, &outcomes);
        assert_logged(&fleet, "history_unread").await;
        assert_no_violations(&fleet);
    });
}

/// The version that began the streams has left so long ago that the history does not show it any more.
#[test]
fn streams_of_a_version_that_left_before_the_kept_history_are_not_joined_to_the_remaining_one() {
    after_history(Duration::from_millis(500), 124, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| {
            for engine in 0..ENGINES {
                fleet.servers[engine].crash_keeping_id();
            }
            kill_all(fleet);
        })
        .await;
        for engine in 0..ENGINES {
            let server = &fleet.servers[engine];
            server.set_software_version("v2");
            server.start().await.expect("the server starts");
            fleet.publish_server(engine);
        }
        sleep(Duration::from_millis(1_000)).await;
        restart_all(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        assert_all_refused(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}
