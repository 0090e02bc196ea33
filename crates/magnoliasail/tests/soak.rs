//! A short seeded run of the fault soak, and every seed that ever failed.

use {
    magnoliasail_soak::{Soak, SoakReport, SoakSettings},
    std::path::PathBuf,
    tokio::runtime::Builder,
};

fn soak(seed: u64, network: u8) -> SoakReport {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_magnoliasail"));
    let settings = SoakSettings {
        faults: 8,
        ..SoakSettings::new(binary, network, seed)
    };
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
        report.output.display()
    );
    assert!(report.served > 0);
}

#[test]
fn promises_hold_under_a_short_schedule_of_faults() {
    assert_kept(&soak(1, 90));
}

#[test]
fn promises_hold_under_another_short_schedule_of_faults() {
    assert_kept(&soak(2, 91));
}
