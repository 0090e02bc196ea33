//! A short seeded run of the fault soak, and every seed that ever failed.

use {
    magnoliasail_soak::{Soak, SoakReport, SoakSettings},
    std::path::PathBuf,
    tokio::runtime::Builder,
};

/// Faults of a short run.
const FEW_FAULTS: u32 = 8;

fn settings(seed: u64, network: u8) -> SoakSettings {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_magnoliasail"));
    SoakSettings::new(binary, network, seed)
}

fn soak(settings: SoakSettings) -> SoakReport {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let soak = Soak::start(settings).await.expect("the fleet starts");
        soak.run().await.expect("the soak runs")
    })
}

fn assert_kept(report: &SoakReport) {
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
fn promises_hold_under_a_short_schedule_of_faults() {
    let settings = SoakSettings {
        faults: FEW_FAULTS,
        ..settings(1, 90)
    };
    assert_kept(&soak(settings));
}

#[test]
fn promises_hold_under_another_short_schedule_of_faults() {
    let settings = SoakSettings {
        faults: FEW_FAULTS,
        ..settings(2, 91)
    };
    assert_kept(&soak(settings));
}

/// The stand-in of the engine ended a stream in order when it crashed.
#[test]
fn promises_hold_under_the_schedule_of_seed_12() {
    assert_kept(&soak(settings(12, 92)));
}
