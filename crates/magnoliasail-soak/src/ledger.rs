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
    pub started_at: Instant,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub guarantee: &'static str,
    /// What was seen.
    pub detail: String,
}

/// What a caller was told of a request.
#[derive(Clone, Copy, Debug)]
struct Told {
    is_told_not_run: bool,
    may_repeat: bool,
}

#[derive(Debug, Default)]
struct Records {
    runs: HashMap<String, Vec<RunRecord>>,
    /// What callers were told.
    answers: HashMap<String, Told>,
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
    pub fn record_run(&self, request: &str, server: &str) {
        let run = RunRecord {
            server: server.to_owned(),
            started_at: Instant::now(),
        };
        self.records()
            .runs
            .entry(request.to_owned())
            .or_default()
            .push(run);
    }

    /// Records whether a caller was told that its request has not run, and whether it may run more
    /// than once.
    pub fn record_answer(&self, request: &str, is_told_not_run: bool, may_repeat: bool) {
        let told = Told {
            is_told_not_run,
            may_repeat,
        };
        self.records().answers.insert(request.to_owned(), told);
    }

    /// Records a broken promise.
    pub fn record_violation(&self, guarantee: &'static str, detail: String) {
        self.records()
            .violations
            .push(Violation { guarantee, detail });
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
    pub fn violations(&self) -> Vec<Violation> {
        let records = self.records();
        let mut violations = records.violations.clone();
        for (request, told) in &records.answers {
            let runs = records.runs.get(request).map_or(0, Vec::len);
            if runs > 1 && !told.may_repeat {
                violations.push(Violation {
                    guarantee: "at most once",
                    detail: format!("{request} ran {runs} times"),
                });
            }
            if told.is_told_not_run && runs > 0 {
                violations.push(Violation {
                    guarantee: "not run is true",
                    detail: format!("{request} was refused and ran"),
                });
            }
        }
        violations
    }
}
