//! What the tests with fleets of real processes share.

pub(crate) mod links;
pub(crate) mod streams;

use {
    magnoliasail_soak::{DEFAULT_HISTORY, Fleet, FleetSettings},
    std::{future::Future, path::PathBuf},
    tokio::runtime::Builder,
};

/// Returns the settings of a fleet with one entry, two engines and two plain servers. `network` is
/// also the seed.
pub(crate) fn small_fleet(network: u8) -> FleetSettings {
    FleetSettings {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_magnoliasail")),
        entries: 1,
        engines: 2,
        software_versions: 1,
        plain_servers: 2,
        network,
        seed: u64::from(network),
        accounts: Vec::new(),
        store_history: DEFAULT_HISTORY,
    }
}

/// Runs a test with a fleet of its own.
///
/// # Panics
///
/// Panics if the fleet does not start or the test panics.
pub(crate) fn run_with_fleet<F: Future<Output = ()>>(
    settings: FleetSettings,
    test: impl FnOnce(Fleet) -> F,
) {
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

/// Asserts that no guarantee was violated.
pub(crate) fn assert_no_violations(fleet: &Fleet) {
    let violations = fleet.ledger.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{}", fleet.output());
}
