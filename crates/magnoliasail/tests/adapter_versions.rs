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

/// Sends requests for all adapters until `is_over`.
fn start_callers(fleet: &Fleet, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    const INTERVAL: Duration = Duration::from_millis(150);
    (0..ADAPTERS)
        .map(|adapter| {
            let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
            let is_over = Arc::clone(is_over);
            tokio::spawn(async move {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let call = resumable_call(number * ADAPTERS + adapter);
                    caller.call(&call).await;
                    sleep(INTERVAL).await;
                }
            })
        })
        .collect()
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
    let settings = FleetSettings {
        engines: 1,
        plain_servers: 1,
        ..small_fleet(190)
    };
    run_with_fleet(settings, |fleet| async move {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = start_callers(&fleet, &is_over);
        sleep(Duration::from_millis(2_500)).await;
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
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await.expect("the caller does not panic");
        }
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
    let settings = FleetSettings {
        engines: 1,
        plain_servers: 1,
        ..small_fleet(191)
    };
    run_with_fleet(settings, |fleet| async move {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = start_callers(&fleet, &is_over);
        sleep(Duration::from_millis(2_500)).await;
        let started_at = Instant::now();
        fleet.servers[0].set_busy(true);
        announce_all(&fleet, 2);
        sleep(PAUSE + AFTER_PAUSE).await;
        fleet.ledger.check_versions(started_at);
        assert_no_violations(&fleet);
        let latest = fleet.ledger.outdated_runs(started_at).into_iter().max();
        assert!(latest > Some(Duration::from_millis(3_000)), "{latest:?}");
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await.expect("the caller does not panic");
        }
    });
}
