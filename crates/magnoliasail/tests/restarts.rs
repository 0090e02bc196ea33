//! Tests of entries that are terminated, killed and started again while callers use them.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{
        Call, CallKind, Caller, Fleet, FleetSettings, Outcome, PROPAGATION_TIME, RetryBudget,
        ServerFaults,
    },
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

const ENTRIES: u8 = 3;
const ENGINES: u8 = 2;
/// The retry budget in the settings of the fleet's processes.
const RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    floor: 50.0,
    window: Duration::from_secs(10),
};

fn with_fleet<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    let settings = FleetSettings {
        entries: ENTRIES,
        engines: ENGINES,
        ..small_fleet(network)
    };
    run_with_fleet(settings, test);
}

fn resumable_stream(id: String) -> Call {
    Call {
        id,
        kind: CallKind::ResumableStream,
        adapter: "base/a0".to_owned(),
        deadline: Duration::from_secs(2),
        ..Call::default()
    }
}

/// Calls an entry again and again until `is_stopped`.
fn keep_calling(
    fleet: &Fleet,
    entry: u8,
    name: String,
    is_stopped: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    const PAUSE: Duration = Duration::from_millis(150);
    let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
    let is_stopped = Arc::clone(is_stopped);
    tokio::spawn(async move {
        let mut number = 0;
        while !is_stopped.load(Ordering::SeqCst) {
            number += 1;
            let _ = caller
                .call(&resumable_stream(format!("{name}-{number}")))
                .await;
            sleep(PAUSE).await;
        }
    })
}

/// A restarted entry has lost the count of its retries, and so must not spend its whole share again.
#[test]
fn retries_stay_within_the_budget_while_entries_are_restarted() {
    const CALLERS_PER_ENTRY: u32 = 4;
    const RESTARTS_PER_ENTRY: u32 = 5;
    const TIME_BETWEEN_RESTARTS: Duration = Duration::from_millis(2_500);
    with_fleet(78, |mut fleet| async move {
        for engine in &fleet.servers[..usize::from(ENGINES)] {
            engine.set_faults(ServerFaults {
                refused_share: 1.0,
                ..ServerFaults::default()
            });
        }
        let is_stopped = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for entry in 0..ENTRIES {
            for number in 0..CALLERS_PER_ENTRY {
                let name = format!("{entry}-{number}");
                callers.push(keep_calling(&fleet, entry, name, &is_stopped));
            }
        }
        for _ in 0..RESTARTS_PER_ENTRY {
            sleep(TIME_BETWEEN_RESTARTS).await;
            for entry in 0..usize::from(ENTRIES) {
                fleet.restart(entry).expect("the entry starts");
            }
        }
        is_stopped.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await.expect("the caller does not panic");
        }
        fleet.ledger.check_retry_budget(RETRY_BUDGET);
        assert_no_violations(&fleet);
    });
}

/// Sends streams that outlast the grace period of a process through the first entry; returns the tasks of those
/// that were not refused at once, with the outcome and the id of each.
async fn start_long_streams(fleet: &mut Fleet, count: u32) -> Vec<JoinHandle<(Outcome, String)>> {
    const DEADLINE: Duration = Duration::from_secs(20);
    fleet.publish_route_timeout(DEADLINE);
    sleep(PROPAGATION_TIME).await;
    for server in &fleet.servers {
        // A stream has five events at least.
        server.set_faults(ServerFaults {
            event_delay_ms: 1_700,
            ..ServerFaults::default()
        });
    }
    let mut tasks = Vec::new();
    for number in 0..count {
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        let call = Call {
            id: format!("long-{number}"),
            kind: CallKind::Stream,
            deadline: DEADLINE,
            ..Call::default()
        };
        tasks.push(tokio::spawn(
            async move { (caller.call(&call).await, call.id) },
        ));
    }
    sleep(Duration::from_millis(500)).await;
    tasks.retain(|task| !task.is_finished());
    tasks
}

/// What waits in the queue of an agent when its grace period ends has not run, and its callers must not be
/// left in doubt.
#[test]
fn terminated_agent_refuses_as_not_run_what_still_waits_at_the_end_of_its_grace_period() {
    /// More than the batch of the engine holds.
    const CALLS: u32 = 20;
    /// The agent of the only engine, after the only entry.
    const AGENT: usize = 1;
    let settings = FleetSettings {
        engines: 1,
        ..small_fleet(78)
    };
    run_with_fleet(settings, |mut fleet| async move {
        let tasks = start_long_streams(&mut fleet, CALLS).await;
        fleet.signal(AGENT, "TERM");
        let mut unrun_count = 0;
        for task in tasks {
            let (outcome, id) = task.await.expect("the caller does not panic");
            if !fleet.ledger.runs(&id).is_empty() {
                continue;
            }
            unrun_count += 1;
            assert_eq!(outcome, Outcome::NotRun, "{id}\n{}", fleet.output());
        }
        assert!(unrun_count > 0, "no request waited\n{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Requests that wait in the queue of an agent when the grace period of their entry ends have been
/// read and have not run, so that their callers are owed an answer.
#[test]
fn terminated_entry_answers_requests_that_still_wait_at_the_end_of_its_grace_period() {
    /// More than the batches of all engines hold.
    const CALLS: u32 = 40;
    with_fleet(79, |mut fleet| async move {
        let tasks = start_long_streams(&mut fleet, CALLS).await;
        fleet.signal(0, "TERM");
        let mut waited_count = 0;
        for task in tasks {
            let (outcome, id) = task.await.expect("the caller does not panic");
            if !fleet.ledger.runs(&id).is_empty() {
                continue;
            }
            waited_count += 1;
            assert!(
                matches!(outcome, Outcome::NotRun | Outcome::Failed(_)),
                "{id}: {outcome:?}"
            );
        }
        assert!(
            waited_count > 0,
            "all requests were running\n{}",
            fleet.output()
        );
        assert_no_violations(&fleet);
    });
}

/// An engineer on call must find why a stream ended early.
#[test]
fn streams_cut_at_the_end_of_the_grace_period_of_their_entry_leave_a_line() {
    const CALLS: u32 = 4;
    with_fleet(77, |mut fleet| async move {
        let tasks = start_long_streams(&mut fleet, CALLS).await;
        fleet.signal(0, "TERM");
        let mut cut = Vec::new();
        for task in tasks {
            let (outcome, id) = task.await.expect("the caller does not panic");
            if outcome == Outcome::ConnectionFailed {
                cut.push(id);
            }
        }
        assert!(!cut.is_empty(), "no stream was cut\n{}", fleet.output());
        sleep(Duration::from_secs(1)).await;
        let output = fleet.output();
        for id in cut {
            let has_line = output.lines().any(|line| {
                line.contains(&format!("stream_broken_off: request={id} "))
                    && line.contains("cause=stopped")
            });
            assert!(has_line, "{id}\n{output}");
        }
    });
}

#[test]
fn last_log_line_of_a_terminated_process_is_written() {
    const EXIT_POLL: Duration = Duration::from_millis(20);
    with_fleet(80, |mut fleet| async move {
        let processes = fleet.process_count();
        for process in 0..processes {
            fleet.signal(process, "TERM");
        }
        for process in 0..processes {
            while !fleet.has_exited(process) {
                sleep(EXIT_POLL).await;
            }
        }
        let finished = fleet.output().matches("drain_finished:").count();
        assert_eq!(finished, processes, "{}", fleet.output());
    });
}
