//! Limits of an entry.

use crate::{AdmissionSettings, MembershipSettings};

/// Limits of an [`Entry`](super::Entry).
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Limits of admission.
    pub admission: AdmissionSettings,
    /// Limits of membership.
    pub membership: MembershipSettings,
    /// Attempts at one request, the first included.
    pub max_attempts: u32,
    /// Retries that each first attempt earns.
    pub retry_share: f64,
    /// Retries that may be saved up.
    pub retry_cap: f64,
    /// Time for which a lost link may come back before its attempts are given up, in milliseconds.
    pub resume_window_ms: u64,
    /// Time for which a request waits for a server to appear, in milliseconds.
    pub placement_window_ms: u64,
    /// Requests that may be in flight per unit of this entry's part of the fleet's capacity.
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
