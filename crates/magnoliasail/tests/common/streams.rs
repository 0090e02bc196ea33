//! Streams that break off and are resumed by their callers, in a fleet whose engines have software versions.

#![allow(dead_code, reason = "each test uses some of this")]

use {
    super::{run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, Outcome, ServerFaults},
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

pub(crate) const STREAM_COUNT: u32 = 24;
/// Number of adapters, all of which fit into the slots of each engine, so that no stream is refused.
pub(crate) const ADAPTER_COUNT: u32 = 4;
/// Delay of each event that keeps every stream running until its server or entry fails.
pub(crate) const LONG_STREAM: ServerFaults = ServerFaults {
    event_delay_ms: 450,
    ..NO_FAULTS
};
pub(crate) const NO_FAULTS: ServerFaults = ServerFaults {
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
pub(crate) const ENGINES: usize = 4;
/// The engines of the first software version; the others have the second.
pub(crate) const FIRST_VERSION_ENGINES: [usize; 2] = [0, 2];
pub(crate) const ENTRIES: usize = 2;

pub(crate) fn with_two_versions<F: Future<Output = ()>>(
    network: u8,
    test: impl FnOnce(Fleet) -> F,
) {
    with_versions(2, network, test);
}

/// Runs a test with a fleet whose engines have this number of software versions in turn.
pub(crate) fn with_versions<F: Future<Output = ()>>(
    software_versions: u8,
    network: u8,
    test: impl FnOnce(Fleet) -> F,
) {
    run_with_fleet(fleet_of_versions(software_versions, network), test);
}

/// Returns the settings of a fleet whose engines have this number of software versions in turn.
pub(crate) fn fleet_of_versions(software_versions: u8, network: u8) -> FleetSettings {
    FleetSettings {
        entries: ENTRIES as u8,
        engines: ENGINES as u8,
        software_versions,
        plain_servers: 1,
        ..small_fleet(network)
    }
}

pub(crate) fn resumable_call(number: u32) -> Call {
    Call {
        id: format!("stream-{number}"),
        kind: CallKind::ResumableStream,
        adapter: format!("base/a{}", number % ADAPTER_COUNT),
        deadline: Duration::from_millis(2_900),
        ..Call::default()
    }
}

pub(crate) fn set_faults(
    fleet: &Fleet,
    engines: impl IntoIterator<Item = usize>,
    faults: ServerFaults,
) {
    for engine in engines {
        fleet.servers[engine].set_faults(faults);
    }
}

/// Waits until an engine has started to run each of the streams.
pub(crate) async fn wait_until_all_run(fleet: &Fleet) {
    const POLL: Duration = Duration::from_millis(10);
    let deadline = Instant::now() + Duration::from_secs(2);
    let is_running = |number| !fleet.ledger.runs(&resumable_call(number).id).is_empty();
    while !(0..STREAM_COUNT).all(is_running) && Instant::now() < deadline {
        sleep(POLL).await;
    }
}

/// Starts the streams at the first entry, runs `break_off` while all of them have received events,
/// and returns the calls that resume those which broke off.
pub(crate) async fn broken_off_streams(
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

pub(crate) fn kill_entries(fleet: &mut Fleet) {
    for entry in 0..ENTRIES {
        fleet.kill(entry);
    }
}

pub(crate) fn restart_entries(fleet: &mut Fleet) {
    for entry in 0..ENTRIES {
        fleet.restart(entry).expect("the entry starts");
    }
}

/// Removes engines at once, with their agents and their entries in the list of servers.
pub(crate) fn lose_engines(fleet: &mut Fleet, engines: impl IntoIterator<Item = usize>) {
    for engine in engines {
        fleet.remove_server(engine);
        fleet.kill(ENTRIES + engine);
        fleet.servers[engine].crash();
    }
}

/// Returns the index of the engine that ran a call last.
pub(crate) fn engine_that_ran(fleet: &Fleet, call: &str) -> usize {
    let runs = fleet.ledger.runs(call);
    let server = &runs.last().expect("the call ran").server;
    let engine = fleet
        .servers
        .iter()
        .position(|engine| engine.id() == *server);
    engine.expect("the server exists")
}

pub(crate) const fn other_engine_of_version(engine: usize) -> usize {
    (engine + ENGINES / 2) % ENGINES
}

/// Resumes streams at the second entry, as soon as it accepts connections, and returns the outcomes.
pub(crate) async fn resume(fleet: &Fleet, calls: &[Call]) -> Vec<Outcome> {
    let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(resume_one(&mut caller, call).await);
    }
    outcomes
}

/// Resumes a stream as soon as the entry accepts connections.
pub(crate) async fn resume_one(caller: &mut Caller, call: &Call) -> Outcome {
    const POLL: Duration = Duration::from_millis(2);
    loop {
        match caller.call(call).await {
            Outcome::ConnectionFailed => sleep(POLL).await,
            outcome => return outcome,
        }
    }
}

/// Asserts that the processes log `text`. They write their log in the background.
pub(crate) async fn assert_logged(fleet: &Fleet, text: &str) {
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

pub(crate) fn assert_all_served(fleet: &Fleet, outcomes: &[Outcome]) {
    let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
    assert!(
        outcomes.iter().all(is_served),
        "{outcomes:?}\n{}",
        fleet.output()
    );
}

pub(crate) fn assert_all_refused(fleet: &Fleet, outcomes: &[Outcome]) {
    assert!(!outcomes.is_empty(), "{}", fleet.output());
    let is_refused = |outcome: &Outcome| *outcome == Outcome::NotRun;
    assert!(
        outcomes.iter().all(is_refused),
        "{outcomes:?}\n{}",
        fleet.output()
    );
}
