//! Short seeded runs of the fault soak, and regression runs of seeds that have failed.

use {
    magnoliasail_soak::{Soak, SoakReport, SoakSettings},
    std::path::PathBuf,
    tokio::runtime::Builder,
};

/// Number of faults in a short run.
const SHORT_RUN_FAULTS: u32 = 8;

fn settings(seed: u64, network: u8) -> SoakSettings {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_magnoliasail"));
    SoakSettings::new(binary, network, seed)
}

fn run_soak(settings: SoakSettings) -> SoakReport {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let soak = Soak::start(settings).await.expect("the fleet starts");
        soak.run().await.expect("the soak runs")
    })
}

fn assert_no_violations(report: &SoakReport) {
    assert!(
        report.violations.is_empty(),
        "{:#?}\n{:#?}\noutput: {}",
        report.violations,
        report.schedule,
        report.output_directory.display()
    );
    assert!(report.served > 0);
}

#[test]
fn guarantees_hold_under_faults_of_seed_1() {
    let settings = SoakSettings {
        faults: SHORT_RUN_FAULTS,
        ..settings(1, 90)
    };
    assert_no_violations(&run_soak(settings));
}

#[test]
fn guarantees_hold_under_faults_of_seed_2() {
    let settings = SoakSettings {
        faults: SHORT_RUN_FAULTS,
        ..settings(2, 91)
    };
    assert_no_violations(&run_soak(settings));
}

/// Guards against a stand-in engine that ends a stream normally when it crashes, so that a
/// truncated answer looks complete. This seed failed because of it.
#[test]
fn guarantees_hold_under_faults_of_seed_12() {
    let settings = SoakSettings {
        restores_store: false,
        has_poison: false,
        replaces_servers: false,
        ..settings(12, 92)
    };
    assert_no_violations(&run_soak(settings));
}
