//! Quarantine of requests that crash the servers which run them.
//!
//! A request in flight when its engine crashes becomes a suspect. A suspect runs alone; when it
//! crashes again it is condemned and refused everywhere, when it completes it is cleared.
//!
//! ```
//! use magnoliasail_core::{Suspects, Verdict};
//!
//! let mut suspects = Suspects::default();
//! suspects.crashed(7, false, 0);
//! assert_eq!(suspects.verdict(7, 1), Verdict::Suspect);
//! suspects.crashed(7, true, 2);
//! assert_eq!(suspects.verdict(7, 3), Verdict::Condemned);
//! ```

use {crate::TimeMs, std::collections::HashMap};

const SUSPECT_RETENTION_MS: u64 = 600_000;
const CONDEMNED_RETENTION_MS: u64 = 86_400_000;
const MAX_RECORDS: usize = 65_536;

/// What is known of a request's fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against the request.
    Clear,
    /// The request was in flight when an engine crashed; it must run alone.
    Suspect,
    /// The request crashed an engine while it ran alone; it must not run.
    Condemned,
}

impl Verdict {
    /// Returns the verdict's code on the wire.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the verdict for a code on the wire.
    #[must_use]
    pub const fn from_code(code: u32) -> Self {
        match code {
            1 => Self::Suspect,
            2 => Self::Condemned,
            _ => Self::Clear,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    verdict: Verdict,
    expires_ms: TimeMs,
}

/// Fingerprints of suspect and condemned requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// Returns the verdict on a fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, now_ms: TimeMs) -> Verdict {
        self.records
            .get(&fingerprint)
            .filter(|record| record.expires_ms > now_ms)
            .map_or(Verdict::Clear, |record| record.verdict)
    }

    /// Records a crash and returns the new verdict.
    pub fn crashed(&mut self, fingerprint: u64, ran_alone: bool, now_ms: TimeMs) -> Verdict {
        let verdict = if ran_alone {
            Verdict::Condemned
        } else {
            Verdict::Suspect
        };
        self.learn(fingerprint, verdict, now_ms);
        self.verdict(fingerprint, now_ms)
    }

    /// Clears a fingerprint that completed while it was suspect; returns whether it was.
    pub fn completed(&mut self, fingerprint: u64, now_ms: TimeMs) -> bool {
        let was_suspect = self.verdict(fingerprint, now_ms) == Verdict::Suspect;
        if was_suspect {
            self.records.remove(&fingerprint);
        }
        was_suspect
    }

    /// Adopts a verdict from a peer; returns whether it was news.
    ///
    /// A condemnation is never lifted by news, only by its expiry.
    pub fn learn(&mut self, fingerprint: u64, verdict: Verdict, now_ms: TimeMs) -> bool {
        let known = self.verdict(fingerprint, now_ms);
        if known == verdict || known == Verdict::Condemned {
            return false;
        }
        let retention_ms = match verdict {
            Verdict::Clear => {
                self.records.remove(&fingerprint);
                return true;
            }
            Verdict::Suspect => SUSPECT_RETENTION_MS,
            Verdict::Condemned => CONDEMNED_RETENTION_MS,
        };
        self.make_room(now_ms);
        let record = Record {
            verdict,
            expires_ms: now_ms + retention_ms,
        };
        self.records.insert(fingerprint, record);
        true
    }

    /// Returns the fingerprints that are not clear.
    pub fn iter(&self, now_ms: TimeMs) -> impl Iterator<Item = (u64, Verdict)> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.expires_ms > now_ms)
            .map(|(&fingerprint, record)| (fingerprint, record.verdict))
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
