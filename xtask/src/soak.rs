//! The command `soak`: runs real processes under injected faults and checks their guarantees.

use {
    magnoliasail_soak::{Soak, SoakReport, SoakSettings},
    std::{
        path::PathBuf,
        process::{Command, ExitCode},
    },
    tokio::runtime::Builder,
};

const BINARY: &str = "target/release/magnoliasail";
/// First of the loopback networks 127.N.0.0/16; the soaks of a batch take one each, in order.
const FIRST_NETWORK: u8 = 100;

/// Runs `seeds` soaks with ascending seeds from `first`, `jobs` at a time, and prints the failed
/// seeds.
pub(crate) fn run(
    seeds: u64,
    first: u64,
    jobs: u8,
    entries: u8,
    engines: u8,
    faults: u32,
) -> ExitCode {
    let build = Command::new("cargo")
        .args([
            "build",
            "--release",
            "--locked",
            "--package",
            "magnoliasail",
        ])
        .status();
    if !build.is_ok_and(|status| status.success()) {
        return ExitCode::FAILURE;
    }
    let mut failed = Vec::new();
    let all_seeds: Vec<u64> = (first..first + seeds).collect();
    for batch in all_seeds.chunks(usize::from(jobs.max(1))) {
        // One runtime per batch: dropping it closes every listener of the batch.
        let runtime = match Builder::new_multi_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                eprintln!("xtask: the async runtime could not be started: {error}");
                return ExitCode::FAILURE;
            }
        };
        let reports = runtime.block_on(async {
            let tasks: Vec<_> = batch
                .iter()
                .zip(FIRST_NETWORK..)
                .map(|(&seed, network)| {
                    let mut settings = SoakSettings::new(PathBuf::from(BINARY), network, seed);
                    settings.fleet.entries = entries;
                    settings.fleet.engines = engines;
                    settings.faults = faults;
                    (seed, tokio::spawn(run_soak(settings)))
                })
                .collect();
            let mut reports = Vec::new();
            for (seed, task) in tasks {
                reports.push((seed, task.await));
            }
            reports
        });
        for (seed, report) in reports {
            let report = report.unwrap_or_else(|error| Err(std::io::Error::other(error)));
            if !print_report(seed, report) {
                failed.push(seed);
            }
        }
    }
    println!("soak: {seeds} seeds from {first}, failed: {failed:?}");
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_soak(settings: SoakSettings) -> std::io::Result<SoakReport> {
    Soak::start(settings).await?.run().await
}

/// Prints a report and returns `true` if no guarantee was violated.
fn print_report(seed: u64, report: std::io::Result<SoakReport>) -> bool {
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: not run: {error}");
            return false;
        }
    };
    println!(
        "seed {seed}: {} of {} calls served, {} guarantees violated",
        report.served,
        report.calls,
        report.violations.len()
    );
    println!("  faults: {}", report.schedule.join("; "));
    if report.violations.is_empty() {
        return true;
    }
    for violation in &report.violations {
        println!("  {}: {}", violation.guarantee, violation.detail);
    }
    println!("  output: {}", report.output_directory.display());
    false
}
