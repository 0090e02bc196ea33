//! What has become of each job that this incarnation has seen.

use {
    super::{JobKey, KeySpan},
    crate::TimeMs,
    bytes::Bytes,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// The answer of a job that completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobAnswer {
    /// HTTP status of the service.
    pub status: u32,
    /// Media type of the answer.
    pub content_type: Arc<str>,
    /// Chunks of the answer, in order.
    pub chunks: Vec<Bytes>,
}

impl JobAnswer {
    fn size_bytes(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// What has become of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No attempt up to the current epoch has run or will run.
    NotRun,
    /// The job waits, or has been handed to the service.
    Running,
    /// The job completed.
    Done(JobAnswer),
    /// The job was handed to the service and its answer was lost.
    AnswerLost,
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: u64,
    epoch: u64,
    state: JobState,
    last_ms: TimeMs,
}

/// What the ledger says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerLookup {
    /// The ledger has no record and has never dropped one that the key could have had.
    New,
    /// A record may have been dropped.
    MaybeEvicted,
    /// The key was used with another request.
    Reused,
    /// The ledger has a record.
    Known {
        /// Epoch of the key.
        epoch: u64,
        /// What has become of the job.
        state: JobState,
    },
}

/// The jobs of one incarnation, bounded in number and bytes.
///
/// When it is full, it drops the oldest record by key time and from then on answers for no key as
/// old as that.
#[derive(Clone, Debug)]
pub struct JobLedger {
    max_records: usize,
    max_answer_bytes: usize,
    floor_ms: TimeMs,
    answer_bytes: usize,
    records: HashMap<Arc<str>, Record>,
    by_time: BTreeSet<(TimeMs, Arc<str>)>,
}

impl JobLedger {
    /// Creates an empty ledger that keeps at most `max_records` and `max_answer_bytes`.
    #[must_use]
    pub fn new(max_records: usize, max_answer_bytes: usize) -> Self {
        Self {
            max_records,
            max_answer_bytes,
            floor_ms: 0,
            answer_bytes: 0,
            records: HashMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Looks a key up.
    #[must_use]
    pub fn lookup(&self, key: &JobKey, span: KeySpan, fingerprint: u64) -> LedgerLookup {
        match self.records.get(key.text()) {
            Some(record) if record.fingerprint != fingerprint => LedgerLookup::Reused,
            Some(record) => LedgerLookup::Known {
                epoch: record.epoch,
                state: record.state.clone(),
            },
            None if self.floor_ms > 0 && span.first_ms <= self.floor_ms => {
                LedgerLookup::MaybeEvicted
            }
            None => LedgerLookup::New,
        }
    }

    /// Records that a job was accepted; it may run from now on.
    pub fn start(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64) {
        self.put(key, span, fingerprint, JobState::Running);
    }

    /// Records that every attempt up to now has not run and will not; returns the new epoch.
    pub fn refuse(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64) -> u64 {
        self.put(key, span, fingerprint, JobState::NotRun);
        let record = self.records.get_mut(key.text());
        record.map_or(0, |record| {
            record.epoch += 1;
            record.epoch
        })
    }

    /// Records that a running job was taken back before it was handed over; returns the new epoch.
    pub fn withdraw(&mut self, key: &str) -> u64 {
        self.records.get_mut(key).map_or(0, |record| {
            record.state = JobState::NotRun;
            record.epoch += 1;
            record.epoch
        })
    }

    /// Records the answer of a job.
    pub fn complete(&mut self, key: &str, answer: JobAnswer) {
        if let Some(record) = self.records.get_mut(key) {
            self.answer_bytes += answer.size_bytes();
            record.state = JobState::Done(answer);
        }
        self.shrink();
    }

    /// Records that the answer of a job was lost.
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

    /// Tells whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn put(&mut self, key: &JobKey, span: KeySpan, fingerprint: u64, state: JobState) {
        if let Some(record) = self.records.get_mut(key.text()) {
            record.state = state;
            return;
        }
        let record = Record {
            fingerprint,
            epoch: 0,
            state,
            last_ms: span.last_ms,
        };
        self.records.insert(Arc::clone(key.text()), record);
        self.by_time.insert((span.last_ms, Arc::clone(key.text())));
        self.shrink();
    }

    fn is_over(&self) -> bool {
        self.records.len() > self.max_records || self.answer_bytes > self.max_answer_bytes
    }

    /// Drops the oldest finished records until the ledger is within its bounds.
    fn shrink(&mut self) {
        while self.is_over() {
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
                self.floor_ms = self.floor_ms.max(record.last_ms);
            }
        }
    }
}
