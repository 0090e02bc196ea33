//! Whether an entry has caught up with its peers after a start or a pause.
//!
//! The configuration service may be down or stale, so an entry that has just started or resumed
//! could make an old table active again. It therefore refuses requests until its table is as new
//! as every version that its peers have reported. If no peer reports one, it starts when a grace
//! period has passed since its first list of VMs.

use crate::TimeMs;

/// Time after which an entry that reaches no peer trusts the platform's table, in milliseconds.
const PEER_GRACE_MS: u64 = 1_000;

/// What an entry has received since its start or its last pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Readiness {
    /// Time at which the first list of VMs was applied.
    first_list_ms: Option<TimeMs>,
    has_peer_version: bool,
    /// Highest table version that a peer has reported.
    peer_version: u64,
}

impl Readiness {
    /// Records that a list of VMs, and so of peers, was applied.
    pub(super) fn record_list(&mut self, now_ms: TimeMs) {
        self.first_list_ms.get_or_insert(now_ms);
    }

    /// Records the version of a peer's active table.
    pub(super) fn record_peer_version(&mut self, version: u64) {
        self.has_peer_version = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Returns whether an entry whose active table has this version may serve requests.
    pub(super) fn is_ready(&self, now_ms: TimeMs, version: u64) -> bool {
        let has_waited_for_peers = self
            .first_list_ms
            .is_some_and(|first_list_ms| now_ms.saturating_sub(first_list_ms) > PEER_GRACE_MS);
        version > 0
            && version >= self.peer_version
            && (self.has_peer_version || has_waited_for_peers)
    }
}
