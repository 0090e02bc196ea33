//! Tests of servers that name the rate of requests which they take from all VMs together.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, Outcome},
    std::{
        future::Future,
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const ENTRIES: u8 = 3;
const ENGINES: usize = 2;
const PLAIN_SERVERS: usize = 2;
/// The rate that servers name, in requests per second.
const RATE_PER_S: f64 = 3.0;
/// Callers of each entry.
const CALLERS: u32 = 2;
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which callers send.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Least share of the named rate that a server must get while there is demand for more.
const MIN_USED_SHARE: f64 = 0.5;

fn with_fleet<F: Future<Output = ()>>(network: u8, test: impl FnOnce(Fleet) -> F) {
    let settings = FleetSettings {
        entries: ENTRIES,
        ..small_fleet(network)
    };
    run_with_fleet(settings, test);
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    calls: u32,
    served: u32,
    not_run: u32,
}

impl Outcomes {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }
}

async fn keep_calling(fleet: &Fleet, entry: u8, number: u32, kind: CallKind) -> Outcomes {
    let mut caller = Caller::new(fleet.entry_address(entry), fleet.ledger.clone());
    let end = Instant::now() + LOAD_TIME;
    let mut outcomes = Outcomes::default();
    while Instant::now() < end {
        outcomes.calls += 1;
        let call = Call {
            id: format!("{kind:?}-{entry}-{number}-{}", outcomes.calls),
            kind,
            content: format!("{entry}-{number}-{}", outcomes.calls),
            ..Call::default()
        };
        match caller.call(&call).await {
            Outcome::Served => outcomes.served += 1,
            Outcome::NotRun => outcomes.not_run += 1,
            _ => {}
        }
        sleep(CALL_INTERVAL).await;
    }
    outcomes
}

/// Sends requests of a kind through all entries for a while.
async fn load(fleet: &Fleet, kind: CallKind) -> Outcomes {
    let mut total = Outcomes::default();
    let callers = (0..ENTRIES).flat_map(|entry| (0..CALLERS).map(move |number| (entry, number)));
    let calls = callers.map(|(entry, number)| keep_calling(fleet, entry, number, kind));
    for outcomes in futures_util::future::join_all(calls).await {
        total.calls += outcomes.calls;
        total.served += outcomes.served;
        total.not_run += outcomes.not_run;
    }
    total
}

fn runs_at(fleet: &Fleet, server: usize) -> usize {
    fleet.ledger.runs_at(&fleet.servers[server].id())
}

/// Asserts that the server got a fair part of the rate that it names.
fn assert_is_used(fleet: &Fleet, server: usize) {
    let expected = MIN_USED_SHARE * RATE_PER_S * LOAD_TIME.as_secs_f64();
    let runs = runs_at(fleet, server);
    assert!(runs as f64 >= expected, "{runs} runs\n{}", fleet.output());
}

/// Guards against an engine that gets all that placement would give it.
#[test]
fn engine_that_names_a_rate_gets_no_more_and_the_other_takes_the_rest() {
    with_fleet(110, |fleet| async move {
        fleet.servers[0].set_rate(Some(RATE_PER_S));
        let outcomes = load(&fleet, CallKind::ResumableStream).await;
        assert_no_violations(&fleet);
        assert_is_used(&fleet, 0);
        // Entries know the rate, so that few requests go to the engine's agent in vain.
        let output = fleet.output();
        let in_vain = output.matches("outcome=rate_limited").count();
        assert!(
            in_vain <= outcomes.calls as usize / 10,
            "{in_vain}\n{output}"
        );
        assert!(
            outcomes.served_share() > 0.9,
            "{outcomes:?}\n{}",
            fleet.output()
        );
    });
}

/// Guards against entries that each send a plain server as much as it takes from all together.
#[test]
fn plain_server_that_names_a_rate_gets_no_more_from_all_entries_together() {
    with_fleet(111, |fleet| async move {
        fleet.servers[ENGINES].set_rate(Some(RATE_PER_S));
        let outcomes = load(&fleet, CallKind::Safe).await;
        assert_no_violations(&fleet);
        assert_is_used(&fleet, ENGINES);
        assert!(
            outcomes.served_share() > 0.9,
            "{outcomes:?}\n{}",
            fleet.output()
        );
    });
}

/// Asserts that servers which all name rates below the demand get much of them, and that each request is
/// served or refused as not run.
fn assert_refused_beyond_the_rates(network: u8, kind: CallKind, limited: Range<usize>) {
    with_fleet(network, |fleet| async move {
        for server in &fleet.servers[limited.clone()] {
            server.set_rate(Some(RATE_PER_S));
        }
        let outcomes = load(&fleet, kind).await;
        assert_no_violations(&fleet);
        assert_eq!(
            outcomes.served + outcomes.not_run,
            outcomes.calls,
            "{}",
            fleet.output()
        );
        for server in limited {
            assert_is_used(&fleet, server);
        }
    });
}

/// Guards against requests that wait in vain if all servers name rates below the demand.
#[test]
fn requests_beyond_the_rates_of_all_plain_servers_are_refused_as_not_run() {
    assert_refused_beyond_the_rates(112, CallKind::Unsafe, ENGINES..ENGINES + PLAIN_SERVERS);
}

/// The same at engines.
#[test]
fn streams_beyond_the_rates_of_all_engines_are_refused_as_not_run() {
    assert_refused_beyond_the_rates(113, CallKind::Stream, 0..ENGINES);
}

/// Guards against a rate that holds on after the server has stopped naming it.
#[test]
fn servers_that_name_no_rate_any_more_get_all_requests_again() {
    with_fleet(114, |fleet| async move {
        let limited = [&fleet.servers[..ENGINES], &fleet.servers[ENGINES..]].concat();
        for server in &limited {
            server.set_rate(Some(RATE_PER_S));
        }
        tokio::join!(load(&fleet, CallKind::Safe), load(&fleet, CallKind::Stream));
        for server in &limited {
            server.set_rate(None);
        }
        sleep(Duration::from_secs(2)).await;
        let (plain, streams) = tokio::join!(
            load(&fleet, CallKind::Unsafe),
            load(&fleet, CallKind::ResumableStream)
        );
        assert_no_violations(&fleet);
        assert!(plain.served_share() > 0.9, "{plain:?}\n{}", fleet.output());
        assert!(
            streams.served_share() > 0.9,
            "{streams:?}\n{}",
            fleet.output()
        );
    });
}
