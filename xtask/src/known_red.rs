//! Known failures: checks whose fault is recorded in KNOWN-RED.txt.
//!
//! A line `target: NAME` at the start of an entry names a target of the bounds, a line `test: NAME` a
//! test. CI prints the failure of each and passes nevertheless.

use std::{
    fs,
    path::Path,
    process::{Command, ExitCode},
};

const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";
const TARGET_PREFIX: &str = "target: ";
const TEST_PREFIX: &str = "test: ";
const TEST_COMMAND: [&str; 3] = ["test", "--workspace", "--locked"];

/// Returns the names of the targets that KNOWN-RED.txt records; none if the file cannot be read.
pub(crate) fn known_targets() -> Vec<String> {
    names(TARGET_PREFIX)
}

fn names(prefix: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    let text = root.and_then(|root| fs::read_to_string(root.join(KNOWN_RED_FILE)).ok());
    text.unwrap_or_default()
        .lines()
        .filter_map(|line| line.strip_prefix(prefix))
        .map(|name| name.trim().to_owned())
        .collect()
}

/// Runs all tests; fails if one fails that KNOWN-RED.txt does not record.
///
/// The recorded ones run last, each by itself, and their results are printed.
pub(crate) fn run_tests() -> ExitCode {
    println!("xtask: tests");
    let known = names(TEST_PREFIX);
    let mut command = Command::new("cargo");
    command.args(TEST_COMMAND).args(["--", "--exact"]);
    for name in &known {
        command.args(["--skip", name]);
    }
    if !command.status().is_ok_and(|status| status.success()) {
        eprintln!("xtask: tests failed");
        return ExitCode::FAILURE;
    }
    for name in &known {
        let Some(is_passed) = run_test(name) else {
            eprintln!("xtask: KNOWN-RED.txt names {name}, which is no test; correct or remove it");
            return ExitCode::FAILURE;
        };
        let result = if is_passed {
            "passes, and is no longer red: remove it from KNOWN-RED.txt"
        } else {
            "KNOWN RED"
        };
        println!("test {name}: {result}");
    }
    ExitCode::SUCCESS
}

/// Runs one test; returns whether it passes, or `None` if there is no test of this name.
fn run_test(name: &str) -> Option<bool> {
    let output = Command::new("cargo")
        .args(TEST_COMMAND)
        .args(["--no-fail-fast", "--", "--exact", name])
        .output()
        .ok()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let has_run = text.contains(&format!("test {name} ... "));
    has_run.then_some(output.status.success())
}

/// Prints the result of each check and returns `true` if every failure is a known one.
///
/// A check consists of its name, whether its target is met and a detail to print.
pub(crate) fn report(checks: &[(String, bool, String)]) -> bool {
    let known = known_targets();
    let mut has_only_known_failures = true;
    for (name, is_met, detail) in checks {
        let is_known = known.contains(name);
        let result = match (is_met, is_known) {
            (true, false) => "met",
            (true, true) => "met, and no longer red: remove it from KNOWN-RED.txt",
            (false, true) => "KNOWN RED",
            (false, false) => "MISSED",
        };
        has_only_known_failures &= *is_met || is_known;
        println!("target {name}: {result} ({detail})");
    }
    has_only_known_failures
}
