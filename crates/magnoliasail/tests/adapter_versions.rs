//! Tests that no request begins on an older version of its adapter long after a newer one was announced.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet, streams::resumable_call},
    magnoliasail_soak::{Call, Caller, Fleet, FleetSettings},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

const ADAPTERS: u32 = 4;
const AGENT: usize = 1;
const PAUSE: Duration = Duration::from_secs(4);
/// Longer than the bound on older versions after the end of the pause.
const AFTER_PAUSE: Duration = Duration::from_millis(5_500);

/// Callers that send requests for all adapters.
struct Callers {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers, and waits until the adapters are loaded and requested regularly.
    async fn start(fleet: &Fleet) -> Self {
        const WARM_UP: Duration = Duration::from_millis(2_500);
        let is_over = Arc::new(AtomicBool::new(false));
        let tasks = (0..ADAPTERS)
            .map(|adapter| {
                let caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
                tokio::spawn(call_repeatedly(caller, adapter, Arc::clone(&is_over)))
            })
            .collect();
        sleep(WARM_UP).await;
        Self { is_over, tasks }
    }

    async fn end(self) {
        self.is_over.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("the caller does not panic");
        }
    }
}

async fn call_repeatedly(mut caller: Caller, adapter: u32, is_over: Arc<AtomicBool>) {
    const INTERVAL: Duration = Duration::from_millis(150);
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        caller
            .call(&resumable_call(number * ADAPTERS + adapter))
            .await;
        sleep(INTERVAL).await;
    }
}

/// Returns the settings of a fleet with one engine, so that no other one serves in its place.
fn one_engine(network: u8) -> FleetSettings {
    FleetSettings {
        engines: 1,
        plain_servers: 1,
        ..small_fleet(network)
    }
}

fn announce_all(fleet: &Fleet, version: u64) {
    for adapter in 0..ADAPTERS {
        fleet.announce_version(&format!("a{adapter}"), version);
    }
}

/// Guards against counting an announcement from when it is read: it lay unread while the agent's process stood still.
/// The engine carries out another order meanwhile, so that its adapters are not replaced.
#[test]
fn no_request_begins_on_an_older_version_too_late_after_a_pause_of_its_agent() {
    run_with_fleet(one_engine(190), |fleet| async move {
        let callers = Callers::start(&fleet).await;
        let started_at = Instant::now();
        fleet.servers[0].set_busy(true);
        fleet.signal(AGENT, "STOP");
        sleep(Duration::from_millis(100)).await;
        announce_all(&fleet, 2);
        sleep(PAUSE).await;
        fleet.signal(AGENT, "CONT");
        sleep(AFTER_PAUSE).await;
        fleet.ledger.check_versions(started_at);
        assert_no_violations(&fleet);
        fleet.servers[0].set_busy(false);
        sleep(Duration::from_millis(1_500)).await;
        callers.end().await;
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        let last = Call {
            id: "last".to_owned(),
            ..resumable_call(0)
        };
        caller.call(&last).await;
        assert!(!fleet.ledger.runs("last").is_empty(), "{}", fleet.output());
    });
}

/// An announcement that is read as usual leaves older versions the time that the bound allows.
#[test]
fn requests_begin_on_older_versions_until_they_are_replaced_in_time() {
    run_with_fleet(one_engine(191), |fleet| async move {
        let callers = Callers::start(&fleet).await;
        let started_at = Instant::now();
        fleet.servers[0].set_busy(true);
        announce_all(&fleet, 2);
        sleep(PAUSE + AFTER_PAUSE).await;
        fleet.ledger.check_versions(started_at);
        assert_no_violations(&fleet);
        let latest = fleet.ledger.outdated_runs(started_at).into_iter().max();
        assert!(latest > Some(Duration::from_millis(3_000)), "{latest:?}");
        callers.end().await;
    });
}
