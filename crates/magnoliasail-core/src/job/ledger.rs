//! The ledger of jobs that this incarnation has accepted or refused.

use {
    super::{JobKey, KeySpan},
    crate::TimeMs,
    bytes::Bytes,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// The answer of a completed job, kept for callers that resend it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobAnswer {
    /// HTTP status that the service returned.
    pub status: u32,
    /// Media type of the answer's body.
    pub content_type: Arc<str>,
    /// Chunks of the answer's body, in order.
    pub chunks: Vec<Bytes>,
}

impl JobAnswer {
    fn size_bytes(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// The state of a job in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No attempt up to the current epoch has run or will run.
    NotRun,
    /// The job waits in the agent's queue or has been sent to the service.
    Running,
    /// The job completed.
    Done(JobAnswer),
    /// The job was sent to the service and its answer was lost.
    AnswerLost,
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: u64,
    epoch: u64,
    state: JobState,
    /// Latest possible creation time of the key.
    latest_creation_ms: TimeMs,
}

/// The result of looking up a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerLookup {
    /// The ledger has no record and cannot have evicted one of this key.
    New,
    /// The ledger has no record, but may have evicted one of this key.
    MaybeEvicted,
    /// The ledger has a record of the key for a different request.
    Reused,
    /// The ledger has a record of the key for the same request.
    Known {
        /// Epoch of the key: the number of refusals that ruled out its earlier attempts.
        epoch: u64,
        /// State of the job.
        state: JobState,
    },
}

/// The jobs of one incarnation, bounded in number and in bytes of answers.
///
/// When it is full, the ledger evicts the record with the oldest key among those not in progress.
/// From then on it returns [`LedgerLookup::MaybeEvicted`] for every unknown key that may be as old.
#[derive(Clone, Debug)]
pub struct JobLedger {
    max_records: usize,
    max_answer_bytes: usize,
    /// Latest creation time among the evicted keys, zero if none was evicted.
    evicted_until_ms: TimeMs,
    answer_bytes: usize,
    records: HashMap<Arc<str>, Record>,
    by_time: BTreeSet<(TimeMs, Arc<str>)>,
}

impl JobLedger {
    /// Creates an empty ledger for at most `max_records` records and `max_answer_bytes` of answers.
    ///
    /// Jobs in progress are never evicted and may exceed the limits.
    #[must_use]
    pub fn new(max_records: usize, max_answer_bytes: usize) -> Self {
        Self {
            max_records,
            max_answer_bytes,
            evicted_until_ms: 0,
            answer_bytes: 0,
            records: HashMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Looks up a key and the fingerprint of the request that uses it.
    #[must_use]
    pub fn lookup(&self, key: &JobKey, span: KeySpan, fingerprint: u64) -> LedgerLookup {
        match self.records.get(key.text()) {
            Some(record) if record.fingerprint != fingerprint => LedgerLookup::Reused,
            Some(record) => LedgerLookup::Known {
                epoch: record.epoch,
                state: record.state.clone(),
            },
            None if self.evicted_until_ms > 0 && span.first_ms <= self.evicted_until_ms => {
                LedgerLookup::MaybeEvicted
            }
            None => LedgerLookup::New,
        }
    }

    /// Records that a job was accepted and may run from now on.
    pub fn start(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64) {
        self.upsert(key, span, fingerprint, JobState::Running);
    }

    /// Records that no attempt so far has run or will run; returns the key's new epoch.
    pub fn refuse(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64) -> u64 {
        self.upsert(key, span, fingerprint, JobState::NotRun);
        let record = self.records.get_mut(key.text());
        record.map_or(0, |record| {
            record.epoch += 1;
            record.epoch
        })
    }

    /// Records that an accepted job was refused before it was sent; returns the key's new epoch.
    pub fn withdraw(&mut self, key: &str) -> u64 {
        self.records.get_mut(key).map_or(0, |record| {
            record.state = JobState::NotRun;
            record.epoch += 1;
            record.epoch
        })
    }

    /// Records the answer of a completed job.
    pub fn complete(&mut self, key: &str, answer: JobAnswer) {
        if let Some(record) = self.records.get_mut(key) {
            self.answer_bytes += answer.size_bytes();
            record.state = JobState::Done(answer);
        }
        self.evict_excess();
    }

    /// Records that a job may have run but its answer was lost.
    pub fn mark_answer_lost(&mut self, key: &str) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = JobState::AnswerLost;
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn upsert(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64, state: JobState) {
        if let Some(record) = self.records.get_mut(key.text()) {
            record.state = state;
            return;
        }
        let record = Record {
            fingerprint,
            epoch: 0,
            state,
            latest_creation_ms: span.last_ms,
        };
        self.records.insert(Arc::clone(key.text()), record);
        self.by_time.insert((span.last_ms, Arc::clone(key.text())));
        self.evict_excess();
    }

    fn is_over_limits(&self) -> bool {
        self.records.len() > self.max_records || self.answer_bytes > self.max_answer_bytes
    }

    /// Evicts the oldest records that are not in progress until the ledger is within its limits.
    fn evict_excess(&mut self) {
        while self.is_over_limits() {
            let oldest = self
                .by_time
                .iter()
                .find(|(_, key)| self.records[key].state != JobState::Running)
                .cloned();
            let Some(oldest) = oldest else { return };
            self.by_time.remove(&oldest);
            if let Some(record) = self.records.remove(&oldest.1) {
                if let JobState::Done(answer) = &record.state {
                    self.answer_bytes -= answer.size_bytes();
                }
                self.evicted_until_ms = self.evicted_until_ms.max(record.latest_creation_ms);
            }
        }
    }
}
