//! Quarantine of requests that crash the servers on which they run.
//!
//! A request that is in flight when its engine crashes becomes a suspect. A suspect runs alone. If
//! the engine crashes again, the request is quarantined and refused on every server; if the request
//! completes, it is cleared. Requests are identified by their fingerprint.
//!
//! ```
//! use magnoliasail_core::{SuspectStatus, Suspects};
//!
//! let mut suspects = Suspects::default();
//! suspects.record_crash(7, false, 0);
//! assert_eq!(suspects.status(7, 1), SuspectStatus::Suspect);
//! suspects.record_crash(7, true, 2);
//! assert_eq!(suspects.status(7, 3), SuspectStatus::Quarantined);
//! ```

use {crate::TimeMs, std::collections::HashMap};

/// Time for which a request stays a suspect.
const SUSPECT_RETENTION_MS: u64 = 600_000;
/// Time for which a request stays quarantined.
const QUARANTINE_RETENTION_MS: u64 = 86_400_000;
/// Limit on stored fingerprints; beyond it, the record that expires first is evicted.
const MAX_RECORDS: usize = 65_536;

/// The quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// The request is not known to crash engines.
    Clear,
    /// The request was in flight when an engine crashed and must run alone.
    Suspect,
    /// The request crashed an engine while it ran alone and must not run.
    Quarantined,
}

impl SuspectStatus {
    /// Returns the code that identifies the status on the wire.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the status for a code from the wire; unknown codes map to [`Self::Clear`].
    #[must_use]
    pub const fn from_code(code: u32) -> Self {
        match code {
            1 => Self::Suspect,
            2 => Self::Quarantined,
            _ => Self::Clear,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    status: SuspectStatus,
    expires_ms: TimeMs,
}

/// Fingerprints of suspect and quarantined requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// Returns the status of a fingerprint; unknown and expired ones are clear.
    #[must_use]
    pub fn status(&self, fingerprint: u64, now_ms: TimeMs) -> SuspectStatus {
        self.records
            .get(&fingerprint)
            .filter(|record| record.expires_ms > now_ms)
            .map_or(SuspectStatus::Clear, |record| record.status)
    }

    /// Records that an engine crashed while it ran the request, and returns the new status.
    pub fn record_crash(
        &mut self,
        fingerprint: u64,
        ran_alone: bool,
        now_ms: TimeMs,
    ) -> SuspectStatus {
        let status = if ran_alone {
            SuspectStatus::Quarantined
        } else {
            SuspectStatus::Suspect
        };
        self.apply(fingerprint, status, now_ms);
        self.status(fingerprint, now_ms)
    }

    /// Records that a request completed, which clears a suspect; returns whether it was a suspect.
    pub fn record_completion(&mut self, fingerprint: u64, now_ms: TimeMs) -> bool {
        let was_suspect = self.status(fingerprint, now_ms) == SuspectStatus::Suspect;
        if was_suspect {
            self.records.remove(&fingerprint);
        }
        was_suspect
    }

    /// Applies a status, for instance one reported by a peer; returns whether it changed.
    ///
    /// A quarantine ends only when it expires: no reported status lifts it.
    pub fn apply(&mut self, fingerprint: u64, status: SuspectStatus, now_ms: TimeMs) -> bool {
        let known = self.status(fingerprint, now_ms);
        if known == status || known == SuspectStatus::Quarantined {
            return false;
        }
        let retention_ms = match status {
            SuspectStatus::Clear => {
                self.records.remove(&fingerprint);
                return true;
            }
            SuspectStatus::Suspect => SUSPECT_RETENTION_MS,
            SuspectStatus::Quarantined => QUARANTINE_RETENTION_MS,
        };
        self.make_room(now_ms);
        let record = Record {
            status,
            expires_ms: now_ms + retention_ms,
        };
        self.records.insert(fingerprint, record);
        true
    }

    /// Returns the fingerprints that are suspect or quarantined, with their status.
    pub fn iter(&self, now_ms: TimeMs) -> impl Iterator<Item = (u64, SuspectStatus)> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.expires_ms > now_ms)
            .map(|(&fingerprint, record)| (fingerprint, record.status))
    }

    /// Returns the number of stored fingerprints, including expired ones that are not yet removed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprints are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Makes room for one record: removes expired records, then the one that expires first.
    fn make_room(&mut self, now_ms: TimeMs) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| record.expires_ms > now_ms);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let first_to_expire = self
            .records
            .iter()
            .min_by_key(|(fingerprint, record)| (record.expires_ms, **fingerprint))
            .map(|(&fingerprint, _)| fingerprint);
        if let Some(fingerprint) = first_to_expire {
            self.records.remove(&fingerprint);
        }
    }
}
