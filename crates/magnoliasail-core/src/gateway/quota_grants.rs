//! Grants of the shares of quotas that one agent holds.
//!
//! The agent counts what it grants, in memory. It need not know the accounts: each question brings the
//! share's rate and burst, and the configuration version from which they are. An agent that takes over a
//! share, or has restarted, begins with a small part of the burst, since its predecessor may have just
//! granted the rest.

use {
    super::{QuotaShare, quota_bucket::QuotaBucket},
    crate::TimeMs,
    std::collections::HashMap,
};

/// Part of the burst that is available in a share of which nothing is known.
const INITIAL_FILL: f64 = 0.25;
/// Time after the last question from which a share is forgotten; it is full again by then.
const RETENTION_MS: u64 = 60_000;
/// Limit on the shares that are remembered; more than the accounts of a platform.
const CAPACITY: usize = 65_536;

/// A question of an entry for units of a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaQuestion {
    /// Identifies the share, see [`quota_share_key`](super::quota_share_key).
    pub share_key: u64,
    /// The rate and burst of the share.
    pub share: QuotaShare,
    /// The configuration version from which the rate and burst are.
    pub version: u64,
    /// What a waiting request costs; granted in full or not at all.
    pub need_units: u64,
    /// What the entry expects to use soon in addition; granted only from a share that has plenty.
    pub ahead_units: u64,
    /// Units granted earlier that were not used.
    pub returned_units: u64,
}

/// The answer to a [`QuotaQuestion`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The units granted: at least those that are needed, or 0.
    pub granted_units: u64,
    /// The time after which to ask again if nothing was granted, in milliseconds.
    pub wait_ms: u64,
}

/// The shares of quotas that one agent grants.
#[derive(Clone, Debug, Default)]
pub struct QuotaGrants {
    shares: HashMap<u64, GrantedShare>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedShare {
    version: u64,
    bucket: QuotaBucket,
    asked_ms: TimeMs,
}

impl QuotaGrants {
    /// Answers a question of an entry.
    pub fn ask(&mut self, question: &QuotaQuestion, now_ms: TimeMs) -> QuotaGrant {
        if self.shares.len() >= CAPACITY {
            self.drop_idle(now_ms);
        }
        let granted = self
            .shares
            .entry(question.share_key)
            .or_insert_with(|| GrantedShare {
                version: question.version,
                bucket: QuotaBucket::new(question.share, INITIAL_FILL, now_ms),
                asked_ms: now_ms,
            });
        granted.asked_ms = now_ms;
        // Entries learn of a new configuration at different times.
        if question.version > granted.version {
            granted.version = question.version;
            granted.bucket.set_share(question.share, now_ms);
        }
        granted
            .bucket
            .take(-(question.returned_units as f64), now_ms);
        grant(&mut granted.bucket, question, now_ms)
    }

    /// Returns the number of shares that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether no share is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    fn drop_idle(&mut self, now_ms: TimeMs) {
        self.shares
            .retain(|_, share| now_ms < share.asked_ms + RETENTION_MS);
    }
}

fn grant(bucket: &mut QuotaBucket, question: &QuotaQuestion, now_ms: TimeMs) -> QuotaGrant {
    if bucket.level_units(now_ms) <= 0.0 {
        return QuotaGrant {
            granted_units: 0,
            wait_ms: bucket.wait_ms(now_ms),
        };
    }
    bucket.take(question.need_units as f64, now_ms);
    let spare_units = (bucket.level_units(now_ms) - bucket.reserve_units()).max(0.0);
    let ahead_units = question.ahead_units.min(spare_units as u64);
    bucket.take(ahead_units as f64, now_ms);
    QuotaGrant {
        granted_units: question.need_units.saturating_add(ahead_units),
        wait_ms: 0,
    }
}
