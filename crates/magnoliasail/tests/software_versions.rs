//! Tests that a stream holds events of one software version, within one answer and over the
//! attempts of its caller.

mod common;

use {
    self::common::{
        assert_no_violations,
        links::{open_link, send},
        run_with_fleet, small_fleet,
    },
    magnoliasail_core::gateway::{
        RequestMetadata,
        message::{StreamOrigin, ToAgentKind},
    },
    magnoliasail_soak::{
        Call, CallKind, Caller, Fleet, FleetSettings, Outcome, PROPAGATION_TIME, RETRY_WINDOW,
        Resumption, ServerFaults,
    },
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const STREAM_COUNT: u32 = 24;
/// Number of adapters, all of which fit into the slots of each engine, so that no stream is refused.
const ADAPTER_COUNT: u32 = 4;
/// Delay of each event that keeps every stream running until its server or entry fails.
const LONG_STREAM: ServerFaults = ServerFaults {
    event_delay_ms: 450,
    ..NO_FAULTS
};
const NO_FAULTS: ServerFaults = ServerFaults {
    error_share: 0.0,
    aborted_share: 0.0,
    unanswered_share: 0.0,
    refused_share: 0.0,
    delay_ms: 0,
    event_delay_ms: 0,
    idle_timeout_ms: 0,
    paused_share: 0.0,
    retry_after_ms: 0,
    is_pause_unproven: false,
};
const ENGINES: usize = 4;
/// The engines of the first software version; the others have the second.
const FIRST_VERSION_ENGINES: [usize; 2] = [0, 2];
const ENTRIES: usize = 2;

fn with_two_versions<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    with_versions(2, network, test);
}

/// Runs a test with a fleet whose engines have this number of software versions in turn.
fn with_versions<F: Future<Output = ()>>(
    software_versions: u8,
    network: u8,
    test: impl FnOnce(Fleet) -> F,
) {
    let settings = FleetSettings {
        entries: ENTRIES as u8,
        engines: ENGINES as u8,
        software_versions,
        plain_servers: 1,
        ..small_fleet(network)
    };
    run_with_fleet(settings, test);
}

fn resumable_call(number: u32) -> Call {
    Call {
        id: format!("stream-{number}"),
        kind: CallKind::ResumableStream,
        adapter: format!("base/a{}", number % ADAPTER_COUNT),
        deadline: Duration::from_millis(2_900),
        ..Call::default()
    }
}

fn set_faults(fleet: &Fleet, engines: impl IntoIterator<Item = usize>, faults: ServerFaults) {
    for engine in engines {
        fleet.servers[engine].set_faults(faults);
    }
}

/// Waits until an engine has started to run each of the streams.
async fn wait_until_all_run(fleet: &Fleet) {
    const POLL: Duration = Duration::from_millis(10);
    let deadline = Instant::now() + Duration::from_secs(2);
    let is_running = |number| !fleet.ledger.runs(&resumable_call(number).id).is_empty();
    while !(0..STREAM_COUNT).all(is_running) && Instant::now() < deadline {
        sleep(POLL).await;
    }
}

/// Starts the streams at the first entry, runs `break_off` while all of them have received events,
/// and returns the calls that resume those which broke off.
async fn broken_off_streams(
    mut fleet: Fleet,
    break_off: impl FnOnce(&mut Fleet),
) -> (Fleet, Vec<Call>) {
    set_faults(&fleet, 0..ENGINES, LONG_STREAM);
    let mut tasks = Vec::new();
    for number in 0..STREAM_COUNT {
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        let call = resumable_call(number);
        tasks.push(tokio::spawn(async move {
            let outcome = caller.call(&call).await;
            caller.resumed_call(&call, outcome)
        }));
    }
    wait_until_all_run(&fleet).await;
    // By now each stream has an event, and not even the shortest has ended.
    sleep(Duration::from_millis(1_000)).await;
    break_off(&mut fleet);
    let mut resumed_calls = Vec::new();
    for task in tasks {
        resumed_calls.extend(task.await.expect("the caller does not panic"));
    }
    set_faults(&fleet, 0..ENGINES, NO_FAULTS);
    (fleet, resumed_calls)
}

fn kill_entries(fleet: &mut Fleet) {
    for entry in 0..ENTRIES {
        fleet.kill(entry);
    }
}

fn restart_entries(fleet: &mut Fleet) {
    for entry in 0..ENTRIES {
        fleet.restart(entry).expect("the entry starts");
    }
}

/// Removes engines at once, with their agents and their entries in the list of servers.
fn lose_engines(fleet: &mut Fleet, engines: impl IntoIterator<Item = usize>) {
    for engine in engines {
        fleet.remove_server(engine);
        fleet.kill(ENTRIES + engine);
        fleet.servers[engine].crash();
    }
}

/// Returns the index of the engine that ran a call last.
fn engine_that_ran(fleet: &Fleet, call: &str) -> usize {
    let runs = fleet.ledger.runs(call);
    let server = &runs.last().expect("the call ran").server;
    let engine = fleet
        .servers
        .iter()
        .position(|engine| engine.id() == *server);
    engine.expect("the server exists")
}

const fn other_engine_of_version(engine: usize) -> usize {
    (engine + ENGINES / 2) % ENGINES
}

/// Resumes streams at the second entry, as soon as it accepts connections, and returns the outcomes.
async fn resume(fleet: &Fleet, calls: &[Call]) -> Vec<Outcome> {
    let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(resume_one(&mut caller, call).await);
    }
    outcomes
}

/// Resumes a stream as soon as the entry accepts connections.
async fn resume_one(caller: &mut Caller, call: &Call) -> Outcome {
    const POLL: Duration = Duration::from_millis(2);
    loop {
        match caller.call(call).await {
            Outcome::ConnectionFailed => sleep(POLL).await,
            outcome => return outcome,
        }
    }
}

/// Asserts that the processes log `text`. They write their log in the background.
async fn assert_logged(fleet: &Fleet, text: &str) {
    const MAX_POLLS: u32 = 250;
    const POLL: Duration = Duration::from_millis(20);
    for _ in 0..MAX_POLLS {
        if fleet.output().contains(text) {
            return;
        }
        sleep(POLL).await;
    }
    panic!("{text} is not logged\n{}", fleet.output());
}

fn assert_all_served(fleet: &Fleet, outcomes: &[Outcome]) {
    let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
    assert!(
        outcomes.iter().all(is_served),
        "{outcomes:?}\n{}",
        fleet.output()
    );
}

fn assert_all_refused(fleet: &Fleet, outcomes: &[Outcome]) {
    assert!(!outcomes.is_empty(), "{}", fleet.output());
    let is_refused = |outcome: &Outcome| *outcome == Outcome::NotRun;
    assert!(
        outcomes.iter().all(is_refused),
        "{outcomes:?}\n{}",
        fleet.output()
    );
}

#[test]
fn stream_resumed_within_an_answer_stays_at_its_software_version() {
    with_two_versions(80, |fleet| async move {
        /// Few enough that the retry budget suffices if each stream is resumed.
        const STREAMS_PER_ROUND: u32 = 8;
        let aborting = ServerFaults {
            aborted_share: 1.0,
            ..NO_FAULTS
        };
        // An entry that has just started may spend fewer retries than this test needs.
        sleep(RETRY_WINDOW).await;
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        // One engine of each version aborts its streams, then the other.
        for (round, aborting_engines) in [(0, [0, 1]), (1, [2, 3])] {
            set_faults(&fleet, 0..ENGINES, NO_FAULTS);
            set_faults(&fleet, aborting_engines, aborting);
            for number in 0..STREAMS_PER_ROUND {
                let call = resumable_call(round * STREAMS_PER_ROUND + number);
                let outcome = caller.call(&call).await;
                assert_eq!(outcome, Outcome::Served, "{}\n{}", call.id, fleet.output());
            }
        }
        assert_no_violations(&fleet);
    });
}

/// The entry that relayed the streams is killed, and one engine of each version drains.
#[test]
fn stream_of_a_killed_entry_stays_at_its_software_version() {
    with_two_versions(81, |fleet| async move {
        let (fleet, calls) = broken_off_streams(fleet, |fleet| fleet.kill(0)).await;
        assert_eq!(calls.len(), STREAM_COUNT as usize, "{}", fleet.output());
        for engine in [0, 1] {
            fleet.servers[engine].set_draining(true);
            fleet.publish_server(engine);
        }
        sleep(PROPAGATION_TIME).await;
        let outcomes = resume(&fleet, &calls).await;
        assert_all_served(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// The restarted entry has forgotten the streams, and is not linked to all agents yet.
#[test]
fn stream_resumed_at_a_restarted_entry_stays_at_its_software_version() {
    with_two_versions(85, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| fleet.kill(0)).await;
        fleet.restart(0).expect("the entry starts");
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        for call in &calls {
            let outcome = resume_one(&mut caller, call).await;
            assert_eq!(outcome, Outcome::Served, "{}\n{}", call.id, fleet.output());
        }
        assert_no_violations(&fleet);
    });
}

/// Only the copies of the origins at other agents are left.
#[test]
fn stream_whose_entry_and_engine_vm_are_lost_together_stays_at_its_software_version() {
    with_two_versions(86, |fleet| async move {
        let (fleet, calls) = broken_off_streams(fleet, |fleet| {
            let lost = engine_that_ran(fleet, &resumable_call(0).id);
            fleet.kill(0);
            fleet.kill(ENTRIES + lost);
            fleet.servers[lost].crash();
            fleet.remove_server(lost);
        })
        .await;
        sleep(PROPAGATION_TIME).await;
        let outcomes = resume(&fleet, &calls).await;
        assert_all_served(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// An engine and its agent are lost together, and the other engine of the version takes no streams
/// until the callers resume them.
#[test]
fn stream_of_a_lost_engine_vm_stays_at_its_software_version() {
    with_two_versions(82, |fleet| async move {
        let refusing = ServerFaults {
            refused_share: 1.0,
            ..LONG_STREAM
        };
        let (fleet, calls) = broken_off_streams(fleet, |fleet| {
            let lost = engine_that_ran(fleet, &resumable_call(0).id);
            set_faults(fleet, [other_engine_of_version(lost)], refusing);
            fleet.remove_server(lost);
            fleet.kill(ENTRIES + lost);
            fleet.servers[lost].crash();
        })
        .await;
        assert!(!calls.is_empty(), "{}", fleet.output());
        let outcomes = resume(&fleet, &calls).await;
        assert_all_served(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// Every entry is killed at once and is back; the agents know the streams.
#[test]
fn streams_of_entries_that_were_all_killed_stay_at_their_software_version() {
    with_two_versions(116, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, kill_entries).await;
        assert!(!calls.is_empty(), "{}", fleet.output());
        restart_entries(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        assert_all_served(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// Every entry is killed while the VMs of the older version, with their agents, are lost. The entries that
/// are back see servers of one version only.
#[test]
fn streams_whose_version_left_with_its_agents_are_not_joined_to_the_remaining_one() {
    with_two_versions(117, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| {
            kill_entries(fleet);
            lose_engines(fleet, FIRST_VERSION_ENGINES);
        })
        .await;
        restart_entries(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        let is_safe = |outcome: &Outcome| matches!(outcome, Outcome::Served | Outcome::NotRun);
        assert!(
            outcomes.iter().all(is_safe),
            "{outcomes:?}\n{}",
            fleet.output()
        );
        assert!(outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
        assert_no_violations(&fleet);
    });
}

/// The streams began while there was one version only, so that no other agent has a copy of their origin. Then
/// the servers of that version leave, others take their place, and every entry is killed.
#[test]
fn streams_that_began_before_a_newer_version_came_are_not_joined_to_it() {
    with_versions(1, 120, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| {
            kill_entries(fleet);
            lose_engines(fleet, FIRST_VERSION_ENGINES);
        })
        .await;
        for engine in (0..ENGINES).filter(|engine| !FIRST_VERSION_ENGINES.contains(engine)) {
            fleet.remove_server(engine);
            let server = &fleet.servers[engine];
            server.crash();
            server.set_software_version("v2");
            server.start().await.expect("the server starts");
            fleet.publish_server(engine);
        }
        restart_entries(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        assert_all_refused(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// The caller's second attempt is cut off too, by another loss of all entries.
#[test]
fn streams_that_are_resumed_twice_stay_at_their_software_version() {
    with_two_versions(118, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, kill_entries).await;
        restart_entries(&mut fleet);
        set_faults(&fleet, 0..ENGINES, LONG_STREAM);
        let mut tasks = Vec::new();
        for call in calls {
            let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
            tasks.push(tokio::spawn(async move {
                let outcome = resume_one(&mut caller, &call).await;
                caller.resumed_call(&call, outcome)
            }));
        }
        sleep(Duration::from_millis(1_000)).await;
        kill_entries(&mut fleet);
        restart_entries(&mut fleet);
        let mut resumed_calls = Vec::new();
        for task in tasks {
            resumed_calls.extend(task.await.expect("the caller does not panic"));
        }
        set_faults(&fleet, 0..ENGINES, NO_FAULTS);
        assert!(!resumed_calls.is_empty(), "{}", fleet.output());
        let outcomes = resume(&fleet, &resumed_calls).await;
        assert_all_served(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

/// All processes are restarted, and the servers of the older version are gone: no process knows anything.
#[test]
fn streams_that_no_process_remembers_are_not_joined_to_the_only_listed_version() {
    with_two_versions(119, |fleet| async move {
        let (mut fleet, calls) = broken_off_streams(fleet, |fleet| {
            kill_entries(fleet);
            for engine in 0..ENGINES {
                fleet.kill(ENTRIES + engine);
            }
            lose_engines(fleet, FIRST_VERSION_ENGINES);
        })
        .await;
        for engine in 0..ENGINES {
            fleet.restart(ENTRIES + engine).expect("the agent starts");
        }
        restart_entries(&mut fleet);
        let outcomes = resume(&fleet, &calls).await;
        assert_all_refused(&fleet, &outcomes);
        assert_no_violations(&fleet);
    });
}

#[test]
fn stream_whose_software_version_is_gone_is_refused_without_a_run() {
    with_two_versions(83, |fleet| async move {
        let (fleet, calls) = broken_off_streams(fleet, |fleet| fleet.kill(0)).await;
        for engine in FIRST_VERSION_ENGINES {
            fleet.servers[engine].set_draining(true);
            fleet.publish_server(engine);
        }
        sleep(PROPAGATION_TIME).await;
        let outcomes = resume(&fleet, &calls).await;
        assert!(
            outcomes.contains(&Outcome::NotRun),
            "{outcomes:?}\n{}",
            fleet.output()
        );
        assert!(
            outcomes.contains(&Outcome::Served),
            "{outcomes:?}\n{}",
            fleet.output()
        );
        assert_logged(&fleet, "cause=version_gone").await;
        assert_no_violations(&fleet);
    });
}

/// No entry and no agent knows the stream, as after a restart of all of them.
#[test]
fn stream_of_an_unknown_software_version_is_refused_without_a_run() {
    with_two_versions(84, |fleet| async move {
        let call = Call {
            resumption: Some(Resumption {
                first_call: "unknown".to_owned(),
                last_event_id: 1,
            }),
            ..resumable_call(0)
        };
        let outcomes = resume(&fleet, &[call]).await;
        assert_eq!(outcomes, [Outcome::NotRun], "{}", fleet.output());
        assert_logged(&fleet, "cause=version_unknown").await;
    });
}

/// An agent may have recorded an attempt whose first event was lost with the link to the entry, which then began
/// the stream at another version. Seed 7111 of the soak failed because of it.
#[test]
fn stream_that_two_agents_know_is_resumed_at_the_version_that_was_recorded_last() {
    const AGENTS: [u8; 2] = [0, 1];
    const LATEST_VERSION: &str = "v1";
    with_two_versions(115, |fleet| async move {
        let (first, _first_received) = open_link(&fleet, AGENTS[0]).await;
        let (second, _second_received) = open_link(&fleet, AGENTS[1]).await;
        for number in 0..STREAM_COUNT {
            let first_call = format!("begun-{number}");
            let metadata = RequestMetadata {
                id: Some(first_call.as_str().into()),
                ..RequestMetadata::default()
            };
            let origin = |version: &str| {
                ToAgentKind::RememberOrigin(StreamOrigin {
                    key: metadata.stream_key().expect("the request has an id"),
                    software_version: Some(version.to_owned()),
                })
            };
            // Either agent may answer first.
            let (older, newer) = if number % 2 == 0 {
                (&first, &second)
            } else {
                (&second, &first)
            };
            send(older, origin("v2")).await;
            sleep(Duration::from_millis(30)).await;
            send(newer, origin(LATEST_VERSION)).await;
            sleep(Duration::from_millis(30)).await;
            let call = Call {
                id: format!("begun-{number}-resumed"),
                resumption: Some(Resumption {
                    first_call,
                    last_event_id: 1,
                }),
                ..resumable_call(number)
            };
            let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
            caller.call(&call).await;
        }
        let output = fleet.output();
        let lookups = output
            .lines()
            .filter(|line| line.contains("origin_lookup: request=begun-"));
        let latest = format!("software_version={LATEST_VERSION} ");
        let other: Vec<&str> = lookups.filter(|line| !line.contains(&latest)).collect();
        assert!(other.is_empty(), "{other:#?}");
    });
}
