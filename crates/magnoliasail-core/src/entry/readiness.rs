//! What a process must hear before it acts, after a start or a pause.
//!
//! The configuration service may be down or stale, so that a process which has just started or
//! woken could bring back an old table. It first asks a peer for the highest version.

use crate::TimeMs;

/// Time after which a process that reaches no peer goes by what the platform says, in milliseconds.
const PEER_GRACE_MS: u64 = 1_000;

/// Whether a process has renewed what it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Readiness {
    first_list_ms: Option<TimeMs>,
    has_peer_version: bool,
    peer_version: u64,
}

impl Readiness {
    /// Records that a list of VMs, and so of peers, was adopted.
    pub(super) fn record_list(&mut self, now_ms: TimeMs) {
        self.first_list_ms.get_or_insert(now_ms);
    }

    /// Records the version that a peer has in force.
    pub(super) fn record_peer_version(&mut self, version: u64) {
        self.has_peer_version = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Tells whether a process with `version` in force may act.
    pub(super) fn is_ready(&self, now_ms: TimeMs, version: u64) -> bool {
        let has_waited_for_peers = self
            .first_list_ms
            .is_some_and(|first_list_ms| now_ms.saturating_sub(first_list_ms) > PEER_GRACE_MS);
        version > 0
            && version >= self.peer_version
            && (self.has_peer_version || has_waited_for_peers)
    }
}
