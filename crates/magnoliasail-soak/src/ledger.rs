//! Records of what callers and backend servers observed, and the checks of the guarantees.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The server's id in the store.
    pub server: String,
    /// When the run started.
    pub started_at: Instant,
}

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Short name of the guarantee.
    pub guarantee: &'static str,
    /// The observation that contradicts the guarantee.
    pub detail: String,
}

/// The answer that a caller received to a request.
#[derive(Clone, Copy, Debug)]
struct Answer {
    is_reported_not_run: bool,
    may_repeat: bool,
}

#[derive(Debug, Default)]
struct Records {
    /// Runs of each request, by request id.
    runs: HashMap<String, Vec<RunRecord>>,
    /// The answer to each request, by request id.
    answers: HashMap<String, Answer>,
    /// The software versions that wrote the events of each stream, by the id of the call that
    /// brought its first event.
    software_versions: HashMap<String, BTreeSet<String>>,
    violations: Vec<Violation>,
}

/// Records of what callers and backend servers observed. Clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: Arc<Mutex<Records>>,
}

impl Ledger {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server started to run a request.
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

    /// Records whether the answer to a request reported that it has not run, and whether the
    /// request may run more than once.
    pub fn record_answer(&self, request: &str, is_reported_not_run: bool, may_repeat: bool) {
        let answer = Answer {
            is_reported_not_run,
            may_repeat,
        };
        self.records().answers.insert(request.to_owned(), answer);
    }

    /// Records that a server of this software version wrote an event of a stream.
    pub fn record_software_version(&self, stream_id: &str, software_version: &str) {
        self.records()
            .software_versions
            .entry(stream_id.to_owned())
            .or_default()
            .insert(software_version.to_owned());
    }

    /// Records a violation that was detected at once, rather than by [`Ledger::violations`].
    pub fn record_violation(&self, guarantee: &'static str, detail: String) {
        self.records()
            .violations
            .push(Violation { guarantee, detail });
    }

    /// Returns the runs of a request, in the order in which they started.
    #[must_use]
    pub fn runs(&self, request: &str) -> Vec<RunRecord> {
        self.records()
            .runs
            .get(request)
            .cloned()
            .unwrap_or_default()
    }

    /// Checks the runs of all requests against their answers, and returns every violation,
    /// including the ones recorded before.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let records = self.records();
        let mut violations = records.violations.clone();
        for (request, answer) in &records.answers {
            let runs = records.runs.get(request).map_or(0, Vec::len);
            if runs > 1 && !answer.may_repeat {
                violations.push(Violation {
                    guarantee: "at most once",
                    detail: format!("{request} ran {runs} times"),
                });
            }
            if answer.is_reported_not_run && runs > 0 {
                violations.push(Violation {
                    guarantee: "a request reported as not run has not run",
                    detail: format!("{request} was reported as not run, but ran"),
                });
            }
        }
        for (stream_id, versions) in &records.software_versions {
            if versions.len() > 1 {
                violations.push(Violation {
                    guarantee: "one software version per stream",
                    detail: format!("{stream_id} holds events of {versions:?}"),
                });
            }
        }
        violations
    }
}
