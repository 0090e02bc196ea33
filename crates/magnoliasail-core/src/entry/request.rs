//! One caller's request in the hands of an entry.

use {
    crate::{AdapterRef, Outcome, TimeMs, job::JobKey},
    bytes::Bytes,
    std::sync::Arc,
};

/// What a request was resolved to, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    Model {
        adapter: AdapterRef,
    },
    Service {
        service: Arc<str>,
        method: Arc<str>,
        path: Arc<str>,
        content_type: Arc<str>,
        key: Option<JobKey>,
    },
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for its population's turn.
    Queued,
    /// Waits for a server or for the load budget.
    Placing,
    /// Has an attempt in flight.
    Sent(Attempt),
}

/// The attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) number: u64,
    pub(super) vm: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) next_sequence: u64,
    pub(super) link_lost_ms: Option<TimeMs>,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) population: Arc<str>,
    pub(super) priority: u32,
    pub(super) target: Target,
    pub(super) body: Bytes,
    pub(super) fingerprint: u64,
    pub(super) deadline_ms: TimeMs,
    pub(super) placing_since_ms: TimeMs,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    pub(super) excluded: Vec<Arc<str>>,
    /// An attempt ended without proof that it did not run.
    pub(super) may_have_run: bool,
    /// A part of the answer has reached the caller.
    pub(super) has_started_response: bool,
    /// The epoch of the job's key, as the home last told it.
    pub(super) epoch: u64,
}

impl Request {
    pub(super) fn key(&self) -> Option<&JobKey> {
        match &self.target {
            Target::Service { key, .. } => key.as_ref(),
            Target::Model { .. } => None,
        }
    }

    pub(super) const fn is_repeatable(&self) -> bool {
        match &self.target {
            Target::Model { .. } => true,
            Target::Service { key, .. } => key.is_none(),
        }
    }

    /// Returns what may be said when no attempt is in flight.
    ///
    /// Only the home of a job's key knows whether an earlier request with the key ran.
    pub(super) const fn outcome(&self) -> Outcome {
        if self.may_have_run || self.key_is_set() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    const fn key_is_set(&self) -> bool {
        matches!(&self.target, Target::Service { key: Some(_), .. })
    }
}
