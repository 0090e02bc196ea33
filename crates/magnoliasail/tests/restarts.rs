//! Tests of entries that are terminated, killed and started again while callers use them.

use {
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, FleetSettings, RetryBudget, ServerFaults},
    std::{
        future::Future,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{runtime::Builder, task::JoinHandle, time::sleep},
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
        binary: PathBuf::from(env!("CARGO_BIN_EXE_magnoliasail")),
        entries: ENTRIES,
        engines: ENGINES,
        plain_servers: 2,
        network,
        seed: u64::from(network),
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let fleet = Fleet::start(settings).await.expect("the fleet starts");
        test(fleet).await;
    });
}

fn resumable_stream(id: String) -> Call {
    Call {
        id,
        kind: CallKind::ResumableStream,
        adapter: "base/a0".to_owned(),
        deadline: Duration::from_secs(2),
    }
}

fn assert_no_violations(fleet: &Fleet) {
    let violations = fleet.ledger.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{}", fleet.output());
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
