//! Tests that a stream holds events of one software version while the list of servers that an entry has
//! read is older than the servers.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{
        Call, CallKind, Caller, Fleet, FleetSettings, Outcome, PROPAGATION_TIME, ProxyMode,
        ServerFaults,
    },
    std::time::{Duration, Instant},
    tokio::{task::JoinHandle, time::sleep},
};

const STREAMS: u32 = 12;
const ADAPTERS: u32 = 4;
/// The processes of the larger fleet, in which some engines are replaced.
const ENTRIES: usize = 2;
const ENGINES: usize = 4;
/// The engines that others of newer software replace.
const REPLACED: [usize; 2] = [0, 2];
/// Delay of each event that keeps streams running until their server or entry fails.
const LONG_STREAM: ServerFaults = ServerFaults {
    error_share: 0.0,
    aborted_share: 0.0,
    unanswered_share: 0.0,
    refused_share: 0.0,
    delay_ms: 0,
    event_delay_ms: 350,
    idle_timeout_ms: 0,
    paused_share: 0.0,
    retry_after_ms: 0,
    is_pause_unproven: false,
};

fn stream(name: &str, number: u32) -> Call {
    Call {
        id: format!("{name}-{number}"),
        kind: CallKind::ResumableStream,
        adapter: format!("base/a{}", number % ADAPTERS),
        content: format!("{name}-{number}"),
        deadline: Duration::from_millis(2_900),
        ..Call::default()
    }
}

/// Returns the settings of the fleet in which some engines are replaced.
fn larger_fleet(network: u8) -> FleetSettings {
    FleetSettings {
        entries: ENTRIES as u8,
        engines: ENGINES as u8,
        plain_servers: 1,
        ..small_fleet(network)
    }
}

type Task = JoinHandle<(Outcome, Option<Call>)>;

/// Starts streams at an entry. Each task returns the outcome, and the call that resumes the stream if it
/// broke off.
fn start_streams(fleet: &Fleet, entry: u8, name: &str) -> Vec<Task> {
    (0..STREAMS)
        .map(|number| {
            let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
            let call = stream(name, number);
            tokio::spawn(async move {
                let outcome = caller.call(&call).await;
                (outcome, caller.resumed_call(&call, outcome))
            })
        })
        .collect()
}

/// Waits until a server has run streams of this name.
async fn wait_for_run(fleet: &Fleet, name: &str, server: &str) {
    const POLL: Duration = Duration::from_millis(10);
    let deadline = Instant::now() + Duration::from_secs(8);
    while !has_run(fleet, name, server) {
        assert!(Instant::now() < deadline, "{}", fleet.output());
        sleep(POLL).await;
    }
}

fn has_run(fleet: &Fleet, name: &str, server: &str) -> bool {
    (0..STREAMS).any(|number| {
        let runs = fleet.ledger.runs(&stream(name, number).id);
        runs.iter().any(|run| run.server == server)
    })
}

async fn end(tasks: Vec<Task>) -> Vec<(Outcome, Option<Call>)> {
    let mut ended = Vec::new();
    for task in tasks {
        ended.push(task.await.expect("the caller does not panic"));
    }
    ended
}

/// Gives an engine other software in place: it is back under its id.
async fn upgrade_in_place(fleet: &Fleet, engine: usize) {
    let server = &fleet.servers[engine];
    server.crash_keeping_id();
    server.set_software_version("v2");
    server.start().await.expect("the server starts");
}

/// Cuts the second entry off from the store, replaces two engines by others of newer software, and starts streams at
/// the first entry. Returns their tasks when all have events.
async fn streams_beside_replaced_engines(fleet: &Fleet) -> Vec<Task> {
    // Entries come first among the processes.
    let store_path = &fleet.store_proxies()[1];
    store_path.set_mode(ProxyMode::Blocked);
    store_path.reset_connections();
    for engine in REPLACED {
        fleet.remove_server(engine);
        let server = &fleet.servers[engine];
        server.crash();
        server.set_software_version("v2");
        server.start().await.expect("the server starts");
        fleet.publish_server(engine);
    }
    sleep(PROPAGATION_TIME).await;
    let servers = &fleet.servers[..ENGINES];
    servers
        .iter()
        .for_each(|engine| engine.set_faults(LONG_STREAM));
    let tasks = start_streams(fleet, 0, "first");
    wait_for_run(fleet, "first", &servers[REPLACED[0]].id()).await;
    sleep(Duration::from_millis(900)).await;
    tasks
}

/// The row of the upgraded engine is written late, so that the entry still lists the software that it had.
#[test]
fn stream_is_not_resumed_at_an_engine_that_started_anew_with_other_software() {
    run_with_fleet(small_fleet(170), |fleet| async move {
        let engines = &fleet.servers[..2];
        engines
            .iter()
            .for_each(|engine| engine.set_faults(LONG_STREAM));
        let tasks = start_streams(&fleet, 0, "first");
        wait_for_run(&fleet, "first", &engines[1].id()).await;
        sleep(Duration::from_millis(800)).await;
        upgrade_in_place(&fleet, 0).await;
        // The agent sees the new start, and the engine gets its model.
        sleep(Duration::from_millis(700)).await;
        engines[1].crash();
        let outcomes = end(tasks).await;
        assert!(
            outcomes
                .iter()
                .any(|(outcome, _)| *outcome != Outcome::Served),
            "no stream broke off: {outcomes:?}"
        );
        assert_no_violations(&fleet);
    });
}

/// The engine is back at once with all that it held, and is idle, so that its agent has not noticed yet
/// either.
#[test]
fn stream_that_an_engine_began_since_its_last_report_is_not_recorded_under_its_former_software() {
    run_with_fleet(small_fleet(174), |fleet| async move {
        let engines = &fleet.servers[..2];
        end(start_streams(&fleet, 0, "before")).await;
        // Reports of the requests' ends are over by then.
        sleep(Duration::from_millis(400)).await;
        engines
            .iter()
            .for_each(|engine| engine.set_faults(LONG_STREAM));
        let replaced = engines[0].replace_software("v2").await;
        replaced.expect("the server starts");
        let tasks = start_streams(&fleet, 0, "first");
        sleep(Duration::from_millis(1_000)).await;
        engines[0].crash();
        end(tasks).await;
        assert_no_violations(&fleet);
    });
}

/// Streams that begin at an upgraded engine whose row is written late are not recorded under the software
/// that it had.
#[test]
fn stream_that_an_upgraded_engine_began_is_not_resumed_at_its_former_software() {
    run_with_fleet(small_fleet(171), |fleet| async move {
        let engines = &fleet.servers[..2];
        engines
            .iter()
            .for_each(|engine| engine.set_faults(LONG_STREAM));
        upgrade_in_place(&fleet, 0).await;
        sleep(Duration::from_millis(700)).await;
        let tasks = start_streams(&fleet, 0, "first");
        sleep(Duration::from_millis(1_000)).await;
        engines[0].crash();
        end(tasks).await;
        assert_no_violations(&fleet);
        // Once the row is listed, the engine serves.
        upgrade_in_place(&fleet, 0).await;
        fleet.publish_server(0);
        let tasks = start_streams(&fleet, 0, "later");
        sleep(PROPAGATION_TIME).await;
        end(tasks).await;
        let server = engines[0].id();
        let tasks = start_streams(&fleet, 0, "last");
        end(tasks).await;
        assert!(has_run(&fleet, "last", &server), "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Guards against taking the versions of a new list for all that have served. The store turns an entry away while engines
/// of other software come and leave, and discards its history. All other processes are lost with what they knew.
#[test]
fn stream_is_not_joined_to_the_only_software_of_a_list_that_was_read_anew() {
    run_with_fleet(larger_fleet(180), |mut fleet| async move {
        let tasks = streams_beside_replaced_engines(&fleet).await;
        for engine in REPLACED {
            fleet.remove_server(engine);
            fleet.servers[engine].crash();
        }
        fleet.store.compact();
        // All processes but the second entry.
        let others = || (0..ENTRIES + ENGINES).filter(|&process| process != 1);
        others().for_each(|process| fleet.kill(process));
        let resumed: Vec<Call> = end(tasks)
            .await
            .into_iter()
            .filter_map(|(_, call)| call)
            .collect();
        assert!(!resumed.is_empty(), "{}", fleet.output());
        for process in others() {
            fleet.restart(process).expect("the process starts");
        }
        fleet.store_proxies()[1].set_mode(ProxyMode::Open);
        sleep(PROPAGATION_TIME).await;
        let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
        for call in &resumed {
            assert_eq!(caller.call(call).await, Outcome::NotRun);
        }
        assert_no_violations(&fleet);
    });
}

/// The store turns an entry away while engines of other software take the place of some. Streams that begin
/// there through another entry are resumed at this one.
#[test]
fn stream_is_not_joined_to_the_only_software_that_a_cut_off_entry_has_listed() {
    run_with_fleet(larger_fleet(172), |mut fleet| async move {
        let tasks = streams_beside_replaced_engines(&fleet).await;
        fleet.kill(0);
        let resumed: Vec<Call> = end(tasks)
            .await
            .into_iter()
            .filter_map(|(_, call)| call)
            .collect();
        assert!(!resumed.is_empty(), "{}", fleet.output());
        let servers = &fleet.servers[..ENGINES];
        servers
            .iter()
            .for_each(|engine| engine.set_faults(ServerFaults::default()));
        let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
        let mut served = 0;
        for call in &resumed {
            served += usize::from(caller.call(call).await == Outcome::Served);
        }
        assert_no_violations(&fleet);
        assert!(served > 0, "{}", fleet.output());
    });
}

/// The same, and the other entry and all agents are restarted: what they do not know proves nothing.
#[test]
fn stream_is_not_joined_to_the_only_software_that_a_cut_off_entry_and_new_agents_know() {
    run_with_fleet(larger_fleet(177), |mut fleet| async move {
        let tasks = streams_beside_replaced_engines(&fleet).await;
        fleet.kill(0);
        for agent in 0..ENGINES {
            fleet.restart(ENTRIES + agent).expect("the agent starts");
        }
        let resumed: Vec<Call> = end(tasks)
            .await
            .into_iter()
            .filter_map(|(_, call)| call)
            .collect();
        assert!(!resumed.is_empty(), "{}", fleet.output());
        sleep(Duration::from_millis(1_500)).await;
        let mut caller = Caller::new(fleet.entry_address(1), fleet.ledger.clone());
        for call in &resumed {
            caller.call(call).await;
        }
        assert_no_violations(&fleet);
    });
}

/// A sound engine may be silent for a second, also to requests for its report.
#[test]
fn streams_whose_engine_is_silent_for_a_second_before_their_heads_are_served() {
    let settings = FleetSettings {
        engines: 1,
        ..small_fleet(178)
    };
    run_with_fleet(settings, |fleet| async move {
        end(start_streams(&fleet, 0, "before")).await;
        sleep(Duration::from_millis(400)).await;
        fleet.servers[0].fall_silent(Duration::from_millis(1_100));
        let ended = end(start_streams(&fleet, 0, "first")).await;
        let is_served = |(outcome, _): &(Outcome, _)| *outcome == Outcome::Served;
        assert!(ended.iter().all(is_served), "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Both engines are back under their ids while the store turns the entry away, so that no row names their
/// new starts.
#[test]
fn new_streams_are_served_by_engines_that_started_anew_while_the_store_is_away() {
    run_with_fleet(small_fleet(179), |fleet| async move {
        end(start_streams(&fleet, 0, "before")).await;
        fleet.proxies[2].set_mode(ProxyMode::Blocked);
        fleet.proxies[2].reset_connections();
        for engine in 0..2 {
            upgrade_in_place(&fleet, engine).await;
        }
        sleep(Duration::from_millis(2_000)).await;
        let ended = end(start_streams(&fleet, 0, "new")).await;
        let is_served = |(outcome, _): &(Outcome, _)| *outcome == Outcome::Served;
        assert!(ended.iter().all(is_served), "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}
