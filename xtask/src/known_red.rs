//! Checks that fail for a fault which is recorded in KNOWN-RED.txt.
//!
//! A line `target: NAME` at the start of an entry names a check that CI passes over and prints.

use std::{fs, path::Path};

const FILE: &str = "KNOWN-RED.txt";
const MARK: &str = "target: ";

/// Returns the names of the recorded checks.
pub(crate) fn targets() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    let text = root.and_then(|root| fs::read_to_string(root.join(FILE)).ok());
    text.unwrap_or_default()
        .lines()
        .filter_map(|line| line.strip_prefix(MARK))
        .map(|name| name.trim().to_owned())
        .collect()
}

/// Prints the verdict on each check; returns whether every failure is recorded.
pub(crate) fn judge(checks: &[(String, bool, String)]) -> bool {
    let known = targets();
    let mut is_clean = true;
    for (name, is_met, detail) in checks {
        let is_known = known.contains(name);
        let verdict = match (is_met, is_known) {
            (true, false) => "met",
            (true, true) => "met, and no longer red: remove it from KNOWN-RED.txt",
            (false, true) => "KNOWN RED",
            (false, false) => "MISSED",
        };
        is_clean &= *is_met || is_known;
        println!("target {name}: {verdict} ({detail})");
    }
    is_clean
}
