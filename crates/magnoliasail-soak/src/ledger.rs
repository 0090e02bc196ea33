//! Records of what callers and backend servers observed, and the checks of the guarantees.

use {
    crate::version_runs::VersionRuns,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// The repeats of requests that a service may get within any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a window regardless of requests.
    pub floor: f64,
    /// Length of the window.
    pub window: Duration,
}

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

/// The arrival of a request at a backend server, which may have refused it.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    /// Whether the request had arrived at a server before.
    is_repeat: bool,
}

#[derive(Debug, Default)]
struct Records {
    /// Arrivals at the servers of each service, in order.
    arrivals: HashMap<String, Vec<Arrival>>,
    /// Ids of the requests that have arrived.
    arrived: HashSet<String>,
    /// Runs of each request, by request id.
    runs: HashMap<String, Vec<RunRecord>>,
    /// The answer to each request, by request id.
    answers: HashMap<String, Answer>,
    /// The software versions that wrote the events of each stream, by the id of the call that
    /// brought its first event.
    software_versions: HashMap<String, BTreeSet<String>>,
    /// The client account of each request, by request id.
    owners: HashMap<String, &'static str>,
    version_runs: VersionRuns,
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

    /// Records that a request arrived at a server of a service, before the server decided whether to
    /// run it.
    pub fn record_arrival(&self, request: &str, service: &str) {
        let mut records = self.records();
        let arrival = Arrival {
            at: Instant::now(),
            is_repeat: !records.arrived.insert(request.to_owned()),
        };
        records
            .arrivals
            .entry(service.to_owned())
            .or_default()
            .push(arrival);
    }

    /// Records a violation for each service that got more repeats than the budget allows in some
    /// window.
    ///
    /// Requests that arrived at no server are left out, so the check is stricter than the budget.
    pub fn check_retry_budget(&self, budget: RetryBudget) {
        let arrivals = self.records().arrivals.clone();
        for (service, arrivals) in arrivals {
            let windows = arrivals
                .iter()
                .map(|last| count_window(&arrivals, last.at, budget));
            let worst = windows.max_by(|a, b| a.excess(budget).total_cmp(&b.excess(budget)));
            let Some(worst) = worst.filter(|worst| worst.excess(budget) > 0.0) else {
                continue;
            };
            let detail = format!(
                "{service} got {} repeats beside {} requests in {:?}",
                worst.repeats, worst.requests, budget.window
            );
            self.record_violation("retry budget", detail);
        }
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

    /// Records that the store has confirmed the announcement of an adapter version.
    pub fn record_announced_version(&self, adapter: &str, version: u64) {
        self.records().version_runs.announce(adapter, version);
    }

    /// Records that a server begins to run a request on an adapter version.
    pub fn record_version_run(&self, adapter: &str, version: u64) {
        self.records().version_runs.record_run(adapter, version);
    }

    /// Returns how long after the confirmation of a newer version requests have begun on older ones since `from`.
    #[must_use]
    pub fn outdated_runs(&self, from: Instant) -> Vec<Duration> {
        self.records().version_runs.outdated_since(from)
    }

    /// Records a violation if a request has begun too late on an older version since `from`.
    pub fn check_versions(&self, from: Instant) {
        let late = self.records().version_runs.late_since(from);
        if !late.is_empty() {
            let detail = format!(
                "{} requests began on older versions {late:?} after newer ones",
                late.len()
            );
            self.record_violation("adapter versions in time", detail);
        }
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

    /// Records which client account a request belongs to.
    pub fn record_owner(&self, request: &str, account: &'static str) {
        self.records().owners.insert(request.to_owned(), account);
    }

    /// Records a violation if a server was told another client account than that of the request.
    pub fn check_owner(&self, request: &str, account: &str) {
        let owner = self.records().owners.get(request).copied();
        if let Some(owner) = owner.filter(|&owner| owner != account) {
            let detail = format!("{request} of {owner} ran as {account}");
            self.record_violation("requests run for their own account", detail);
        }
    }

    /// Returns the number of requests of an account that ran within any window of this length.
    #[must_use]
    pub fn most_runs_of(&self, account: &str, window: Duration) -> usize {
        let records = self.records();
        let is_own = |request: &&String| records.owners.get(*request) == Some(&account);
        let mut started: Vec<Instant> = records
            .runs
            .iter()
            .filter(|(request, _)| is_own(request))
            .filter_map(|(_, runs)| Some(runs.first()?.started_at))
            .collect();
        started.sort_unstable();
        let within = |&first: &Instant| {
            let in_window = |at: &&Instant| **at >= first && **at < first + window;
            started.iter().filter(in_window).count()
        };
        started.iter().map(within).max().unwrap_or(0)
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

    /// Returns the number of runs at a server.
    #[must_use]
    pub fn runs_at(&self, server: &str) -> usize {
        let records = self.records();
        let runs = records.runs.values().flatten();
        runs.filter(|run| run.server == server).count()
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

/// First arrivals and repeats within a window.
#[derive(Clone, Copy, Debug)]
struct WindowCounts {
    requests: usize,
    repeats: usize,
}

impl WindowCounts {
    /// Returns the number of repeats beyond the budget; negative if some are left.
    fn excess(self, budget: RetryBudget) -> f64 {
        self.repeats as f64 - budget.ratio * self.requests as f64 - budget.floor
    }
}

/// Counts the repeats in the window that ends at `end`, and the requests in that window, the one
/// before it or the one half a window before it, whichever has most.
fn count_window(arrivals: &[Arrival], end: Instant, budget: RetryBudget) -> WindowCounts {
    let count = |end: Option<Instant>, is_repeat: bool| {
        let inside = |arrival: &&Arrival| {
            arrival.is_repeat == is_repeat
                && end.is_some_and(|end| {
                    arrival.at <= end && end.duration_since(arrival.at) < budget.window
                })
        };
        arrivals.iter().filter(inside).count()
    };
    let ends = [
        Some(end),
        end.checked_sub(budget.window / 2),
        end.checked_sub(budget.window),
    ];
    WindowCounts {
        requests: ends
            .into_iter()
            .map(|end| count(end, false))
            .max()
            .unwrap_or(0),
        repeats: count(Some(end), true),
    }
}
