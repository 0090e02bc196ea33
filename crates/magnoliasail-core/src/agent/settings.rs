//! Identity and limits of an agent.

use std::sync::Arc;

/// Identity and limits of an [`Agent`](super::Agent).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Name of the plain service, empty for a model engine.
    pub service: Arc<str>,
    /// Roster slot of the plain service, empty for a model engine.
    pub slot: Arc<str>,
    /// Number of adapter slots of the engine.
    pub adapter_slots: usize,
    /// Requests that the server runs concurrently.
    pub capacity: usize,
    /// Requests that may wait in the agent's queue.
    pub max_queue: usize,
    /// Attempts at one load before the requests that wait for it are refused.
    pub max_load_attempts: u32,
    /// Backoff before the second attempt at a load, in milliseconds; doubles with each further one.
    pub load_backoff_ms: u64,
    /// Time for which a run and its answer are kept after the loss of their link, in milliseconds.
    pub resume_window_ms: u64,
    /// Bytes of one answer that may be retained for a resume; a longer answer is cancelled.
    pub max_retained_bytes: usize,
    /// Maximum number of records in the job ledger.
    pub max_jobs: usize,
    /// Maximum total size of the answers in the job ledger, in bytes.
    pub max_job_answer_bytes: usize,
    /// Minimum time between load reports, in milliseconds.
    pub report_interval_ms: u64,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            vm: "vm".into(),
            service: "".into(),
            slot: "".into(),
            adapter_slots: 8,
            capacity: 16,
            max_queue: 64,
            max_load_attempts: 4,
            load_backoff_ms: 100,
            resume_window_ms: 5_000,
            max_retained_bytes: 4 << 20,
            max_jobs: 100_000,
            max_job_answer_bytes: 64 << 20,
            report_interval_ms: 250,
        }
    }
}
