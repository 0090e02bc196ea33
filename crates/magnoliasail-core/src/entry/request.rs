//! State of one request that an entry is processing.

use {
    crate::{AdapterRef, Outcome, TimeMs, job::JobKey},
    bytes::Bytes,
    std::sync::Arc,
};

/// The exact adapter or service call that a request was resolved to.
///
/// Requests are resolved once, so that retries run the same version after a table update.
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

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request is in its population's admission queue.
    Queued,
    /// The request is admitted and waits for a server or for the load budget.
    Placing,
    /// An attempt of the request is in flight.
    Sent(Attempt),
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) number: u64,
    pub(super) vm: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) next_sequence: u64,
    /// Time at which the link to the agent was lost, if it has not reconnected.
    pub(super) link_lost_ms: Option<TimeMs>,
}

/// A request that has not finished.
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
    /// VMs that refused or failed an attempt; only jobs and suspects may be sent there again.
    pub(super) excluded: Vec<Arc<str>>,
    /// Whether an attempt ended without proof that it did not run.
    pub(super) may_have_run: bool,
    /// Whether the head of the response was relayed to the caller, which rules out a retry.
    pub(super) has_started_response: bool,
    /// Highest epoch of the job's key that an owner slot has reported.
    pub(super) epoch: u64,
}

impl Request {
    /// Returns the idempotency key of a job.
    pub(super) fn key(&self) -> Option<&JobKey> {
        match &self.target {
            Target::Service { key, .. } => key.as_ref(),
            Target::Model { .. } => None,
        }
    }

    /// Returns whether the request may run more than once.
    pub(super) const fn is_idempotent(&self) -> bool {
        match &self.target {
            Target::Model { .. } => true,
            Target::Service { key, .. } => key.is_none(),
        }
    }

    /// Returns the outcome to report if the request fails while no attempt is in flight.
    ///
    /// It is unknown for a job, because only the owner slot of the job's key knows whether an
    /// earlier request with the same key ran.
    pub(super) const fn outcome(&self) -> Outcome {
        if self.may_have_run || self.has_key() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    const fn has_key(&self) -> bool {
        matches!(&self.target, Target::Service { key: Some(_), .. })
    }
}
