//! The invariants, checked against what callers and servers observe.

use {
    magnoliasail_core::{Outcome, entry::Failure},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
    },
};

/// An invariant that must hold in every history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A request runs on, and is answered for, the adapter version that it was resolved to.
    ExactAdapter,
    /// An adapter is not evicted while a request runs on it.
    NoEvictionInUse,
    /// A completed answer has all of its own parts, in order.
    CompleteAnswer,
    /// A request that was reported as not run has not run and never runs.
    NotRunIsAccurate,
    /// A job runs at most once.
    AtMostOnce,
    /// A server that is known to be leaving gets and accepts no new work.
    NoNewWorkWhenLeaving,
    /// A process never returns to an older version of the table.
    TableNeverReverts,
    /// Every request whose caller stays connected gets a final answer.
    EveryRequestIsAnswered,
    /// No request gets more than one final answer.
    OneFinalAnswer,
}

/// A violation of an invariant, with a description of what happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) detail: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// Counts of what happened in a history, to show that histories cover every outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Summary {
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) model_runs: u64,
    pub(crate) job_runs: u64,
}

impl Summary {
    pub(crate) const fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.model_runs += other.model_runs;
        self.job_runs += other.job_runs;
    }

    pub(crate) const fn is_complete(&self) -> bool {
        self.done > 0
            && self.not_run > 0
            && self.unknown > 0
            && self.model_runs > 0
            && self.job_runs > 0
    }
}

/// A caller's request and everything that its caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) tag: String,
    /// The model to which the request resolved when it was sent; empty for a job.
    pub(crate) model: String,
    pub(crate) key: Option<String>,
    pub(crate) head: Option<String>,
    pub(crate) parts: Vec<String>,
    pub(crate) final_answers: u32,
    pub(crate) is_caller_gone: bool,
}

impl Call {
    pub(crate) const fn is_open(&self) -> bool {
        self.final_answers == 0 && !self.is_caller_gone
    }
}

/// What callers and servers have observed in one history, and the first violation found in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observer {
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Number of attempts that servers received, by the tag of the request.
    runs: BTreeMap<String, u32>,
    /// Number of runs of each job at services, by idempotency key.
    job_runs: BTreeMap<String, u32>,
    /// Tags and keys of requests that were reported to a caller as not run.
    not_run: BTreeSet<String>,
    summary: Summary,
    violation: Option<Violation>,
}

impl Observer {
    pub(crate) const fn summary(&self) -> Summary {
        self.summary
    }

    pub(crate) fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    pub(crate) fn record_violation(&mut self, invariant: Invariant, detail: String) {
        self.violation
            .get_or_insert(Violation { invariant, detail });
    }

    /// Records that a caller sends a request; a key that is sent again may run from then on.
    pub(crate) fn record_request(&mut self, request: u64, call: Call) {
        if let Some(key) = &call.key {
            self.not_run.remove(key);
        }
        self.calls.insert(request, call);
    }

    /// Returns whether several requests have the same tag, so that a run cannot be attributed to one
    /// of them.
    fn is_shared(&self, tag: &str) -> bool {
        self.calls.values().filter(|call| call.tag == tag).count() > 1
    }

    /// Records that a server received an attempt for a model.
    pub(crate) fn record_model_run(&mut self, tag: &str, requested: &str, used: &str) {
        if self.not_run.contains(tag) && !self.is_shared(tag) {
            let detail = format!("{tag} runs after it was reported as not run");
            self.record_violation(Invariant::NotRunIsAccurate, detail);
        }
        if requested != used {
            let detail = format!("{tag} requested {requested} and ran on {used}");
            self.record_violation(Invariant::ExactAdapter, detail);
        }
        self.summary.model_runs += 1;
        *self.runs.entry(tag.to_owned()).or_default() += 1;
    }

    /// Records that a service received a job.
    pub(crate) fn record_job_run(&mut self, key: &str) {
        if self.not_run.contains(key) {
            let detail = format!("job {key} runs after it was reported as not run");
            self.record_violation(Invariant::NotRunIsAccurate, detail);
        }
        self.summary.job_runs += 1;
        let runs = self.job_runs.entry(key.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 {
            let detail = format!("job {key} ran {runs} times");
            self.record_violation(Invariant::AtMostOnce, detail);
        }
    }

    pub(crate) fn record_head(&mut self, request: u64, model: &str) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.head = Some(model.to_owned());
        let is_expected = call.key.is_some() || call.model == model;
        if !is_expected {
            let detail = format!("{} requested {} and got {model}", call.tag, call.model);
            self.record_violation(Invariant::ExactAdapter, detail);
        }
    }

    pub(crate) fn record_part(&mut self, request: u64, part: &str) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let expected = format!("{}/{}", call.tag, call.parts.len());
        call.parts.push(part.to_owned());
        if part != expected {
            let detail = format!("{} got {part} instead of {expected}", call.tag);
            self.record_violation(Invariant::CompleteAnswer, detail);
        }
    }

    pub(crate) fn record_completion(&mut self, request: u64, part_count: usize) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if call.parts.len() != part_count {
            let detail = format!("{} ended after {} parts", call.tag, call.parts.len());
            self.record_violation(Invariant::CompleteAnswer, detail);
        }
        self.summary.done += 1;
        self.record_final_answer(request);
    }

    pub(crate) fn record_failure(&mut self, request: u64, failure: &Failure) {
        self.record_final_answer(request);
        if failure.outcome != Outcome::NotRun {
            self.summary.unknown += 1;
            return;
        }
        self.summary.not_run += 1;
        let Some(call) = self.calls.get(&request).cloned() else {
            return;
        };
        let Some(key) = call.key else {
            if self.runs.contains_key(&call.tag) && !self.is_shared(&call.tag) {
                let detail = format!("{} ran but was reported as not run", call.tag);
                self.record_violation(Invariant::NotRunIsAccurate, detail);
            }
            self.not_run.insert(call.tag);
            return;
        };
        if self.job_runs.contains_key(&key) {
            let detail = format!("job {key} ran but was reported as not run");
            self.record_violation(Invariant::NotRunIsAccurate, detail);
        }
        // Another open request with the same key may still run the job.
        let has_open_request = self
            .calls
            .values()
            .any(|call| call.is_open() && call.key.as_ref() == Some(&key));
        if !has_open_request {
            self.not_run.insert(key);
        }
    }

    fn record_final_answer(&mut self, request: u64) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.final_answers += 1;
        if call.final_answers > 1 {
            let detail = format!("{} was answered {} times", call.tag, call.final_answers);
            self.record_violation(Invariant::OneFinalAnswer, detail);
        }
    }

    /// Checks that no request is left without a final answer once the fleet is idle.
    pub(crate) fn check_answered(&mut self) {
        let open = self.calls.values().find(|call| call.is_open()).cloned();
        if let Some(call) = open {
            let detail = format!("{} was never answered", call.tag);
            self.record_violation(Invariant::EveryRequestIsAnswered, detail);
        }
    }
}
