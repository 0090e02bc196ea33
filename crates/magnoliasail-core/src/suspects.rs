//! Quarantine of requests that crash the servers which run them.
//!
//! A request in flight when its engine crashes becomes a suspect. A suspect runs alone; when it
//! crashes again it is condemned and refused everywhere, when it completes it is cleared.
//!
//! ```
//! use magnoliasail_core::{Suspects, SuspectStatus};
//!
//! let mut suspects = Suspects::default();
//! suspects.record_crash(7, false, 0);
//! assert_eq!(suspects.status(7, 1), SuspectStatus::Suspect);
//! suspects.record_crash(7, true, 2);
//! assert_eq!(suspects.status(7, 3), SuspectStatus::Quarantined);
//! ```

use {crate::TimeMs, std::collections::HashMap};

const SUSPECT_RETENTION_MS: u64 = 600_000;
const QUARANTINE_RETENTION_MS: u64 = 86_400_000;
const MAX_RECORDS: usize = 65_536;

/// What is known of a request's fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// Nothing speaks against the request.
    Clear,
    /// The request was in flight when an engine crashed; it must run alone.
    Suspect,
    /// The request crashed an engine while it ran alone; it must not run.
    Quarantined,
}

impl SuspectStatus {
    /// Returns the status's code on the wire.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the status for a code on the wire.
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

/// Fingerprints of suspect and condemned requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// Returns the status on a fingerprint.
    #[must_use]
    pub fn status(&self, fingerprint: u64, now_ms: TimeMs) -> SuspectStatus {
        self.records
            .get(&fingerprint)
            .filter(|record| record.expires_ms > now_ms)
            .map_or(SuspectStatus::Clear, |record| record.status)
    }

    /// Records a crash and returns the new status.
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

    /// Clears a fingerprint that completed while it was suspect; returns whether it was.
    pub fn record_completion(&mut self, fingerprint: u64, now_ms: TimeMs) -> bool {
        let was_suspect = self.status(fingerprint, now_ms) == SuspectStatus::Suspect;
        if was_suspect {
            self.records.remove(&fingerprint);
        }
        was_suspect
    }

    /// Adopts a status from a peer; returns whether it was news.
    ///
    /// A condemnation is never lifted by news, only by its expiry.
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

    /// Returns the fingerprints that are not clear.
    pub fn iter(&self, now_ms: TimeMs) -> impl Iterator<Item = (u64, SuspectStatus)> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.expires_ms > now_ms)
            .map(|(&fingerprint, record)| (fingerprint, record.status))
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

    fn make_room(&mut self, now_ms: TimeMs) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| record.expires_ms > now_ms);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(fingerprint, record)| (record.expires_ms, **fingerprint))
            .map(|(&fingerprint, _)| fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}
