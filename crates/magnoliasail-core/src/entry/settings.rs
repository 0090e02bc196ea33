//! Limits and timeouts of an entry.

use crate::{AdmissionSettings, MembershipSettings};

/// Limits and timeouts of an [`Entry`](super::Entry).
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Limits of requests in flight and of queues per population.
    pub admission: AdmissionSettings,
    /// Timeouts of the membership of backend servers.
    pub membership: MembershipSettings,
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Retries that each first attempt adds to the retry budget.
    pub retry_share: f64,
    /// Maximum number of retries that the retry budget accumulates.
    pub retry_cap: f64,
    /// Time within which a lost link must reconnect before its attempts fail, in milliseconds.
    pub resume_window_ms: u64,
    /// Time for which a request waits while no server can take it, in milliseconds.
    pub placement_window_ms: u64,
    /// Requests in flight allowed per unit of this entry's share of the fleet's capacity.
    pub headroom: f64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            membership: MembershipSettings::default(),
            max_attempts: 4,
            retry_share: 0.1,
            retry_cap: 32.0,
            resume_window_ms: 4_000,
            placement_window_ms: 2_000,
            headroom: 2.0,
        }
    }
}
