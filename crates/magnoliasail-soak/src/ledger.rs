//! What callers and backend servers saw.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The server's id.
    pub server: String,
    /// When it began.
    pub began: Instant,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

#[derive(Debug, Default)]
struct Records {
    runs: HashMap<String, Vec<RunRecord>>,
    /// Requests that may run once at most.
    once: HashMap<String, bool>,
    violations: Vec<Violation>,
}

/// What callers and backend servers saw, shared by all of them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: Arc<Mutex<Records>>,
}

impl Ledger {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server began to run a request.
    pub fn ran(&self, request: &str, server: &str) {
        let run = RunRecord {
            server: server.to_owned(),
            began: Instant::now(),
        };
        self.records()
            .runs
            .entry(request.to_owned())
            .or_default()
            .push(run);
    }

    /// Records what became of a request that may run once at most, and whether it was told that the
    /// request has not run.
    pub fn answered_once(&self, request: &str, is_told_not_run: bool) {
        self.records()
            .once
            .insert(request.to_owned(), is_told_not_run);
    }

    /// Records a broken promise.
    pub fn violated(&self, promise: &'static str, detail: String) {
        self.records()
            .violations
            .push(Violation { promise, detail });
    }

    /// Returns the runs of a request.
    #[must_use]
    pub fn runs(&self, request: &str) -> Vec<RunRecord> {
        self.records()
            .runs
            .get(request)
            .cloned()
            .unwrap_or_default()
    }

    /// Judges all requests and returns every broken promise.
    #[must_use]
    pub fn verdict(&self) -> Vec<Violation> {
        let records = self.records();
        let mut violations = records.violations.clone();
        for (request, &is_told_not_run) in &records.once {
            let runs = records.runs.get(request).map_or(0, Vec::len);
            if runs > 1 {
                violations.push(Violation {
                    promise: "at most once",
                    detail: format!("{request} ran {runs} times"),
                });
            }
            if is_told_not_run && runs > 0 {
                violations.push(Violation {
                    promise: "not run is true",
                    detail: format!("{request} was refused and ran"),
                });
            }
        }
        violations
    }
}
