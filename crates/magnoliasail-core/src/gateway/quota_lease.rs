//! What an entry may use of an account's quota.
//!
//! The entry charges requests to units that agents have granted. If they do not suffice, it asks the agent
//! of one share after another. Grants ahead of use keep the questions to about one a second for an account
//! well below its quota. An entry that reaches none of the agents uses a small part of the quota by itself.

use {
    super::{
        Quota, QuotaShare, quota_bucket::QuotaBucket, quota_grants::QuotaGrant,
        quota_share::QUOTA_SHARES,
    },
    crate::TimeMs,
};

/// Time for which units are asked for ahead of their use.
const AHEAD_MS: f64 = 500.0;
/// Time after a grant in which its units may be used. It bounds what can be used in addition to the quota of
/// a window, because it was granted before it.
const LEASE_MS: u64 = 1_000;
/// Shortest time between a refusal of a share and the next question to its agent.
const MIN_PAUSE_MS: u64 = 25;
/// Time after a question without an answer in which the agent is not asked again.
const SILENT_PAUSE_MS: u64 = 300;
/// Part of the quota that all entries together use without agents. The rest may be granted to others
/// meanwhile.
const UNGRANTED_PART: f64 = 0.2;
/// Time constant of the average use, in milliseconds.
const USE_WINDOW_MS: f64 = 1_000.0;

/// What to do with a request that costs units of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// The request is charged and may be sent.
    Admit,
    /// An agent has to be asked.
    Ask {
        /// The share whose agent is asked.
        share: usize,
        /// What to ask for in addition to the cost of the request.
        ahead_units: u64,
        /// Units granted earlier that are given back.
        returned_units: u64,
    },
    /// The quota has no room for the request.
    Refuse {
        /// The time until room is expected, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The units of one account's quota that an entry may use.
#[derive(Clone, Debug)]
pub struct QuotaLease {
    quota: Quota,
    leased_units: u64,
    leased_ms: TimeMs,
    /// Until when the agent of each share is not asked.
    paused_until_ms: [TimeMs; QUOTA_SHARES],
    next_share: usize,
    use_units_per_ms: f64,
    used_ms: TimeMs,
    /// What the entry may use without agents; created when it reaches none for the first time.
    ungranted: Option<QuotaBucket>,
}

impl QuotaLease {
    /// Creates a lease without units. `first_share` is the share that is asked first; entries start at
    /// different ones.
    #[must_use]
    pub const fn new(quota: Quota, first_share: usize, now_ms: TimeMs) -> Self {
        Self {
            quota,
            leased_units: 0,
            leased_ms: now_ms,
            paused_until_ms: [0; QUOTA_SHARES],
            next_share: first_share % QUOTA_SHARES,
            use_units_per_ms: 0.0,
            used_ms: now_ms,
            ungranted: None,
        }
    }

    /// Changes the quota. Units that were granted under the old one are not used any more.
    pub fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.leased_units = 0;
        self.ungranted = None;
        self.paused_until_ms = [0; QUOTA_SHARES];
    }

    /// Returns the quota.
    #[must_use]
    pub const fn quota(&self) -> &Quota {
        &self.quota
    }

    /// Returns the average use by this entry, in units per second.
    #[must_use]
    pub fn use_per_s(&self, now_ms: TimeMs) -> f64 {
        self.decayed_use(now_ms) * 1_000.0
    }

    /// Charges a request to units that were granted earlier; returns whether they sufficed.
    pub fn try_charge(&mut self, cost_units: u64, now_ms: TimeMs) -> bool {
        self.record_use(cost_units, now_ms);
        if !self.is_lease_fresh(now_ms) || self.leased_units < cost_units {
            return false;
        }
        self.leased_units -= cost_units;
        true
    }

    /// Applies an agent's answer for a request that costs `cost_units`, or `None` if there was none in
    /// time; returns whether the request is admitted.
    pub fn apply_answer(
        &mut self,
        share: usize,
        answer: Option<QuotaGrant>,
        cost_units: u64,
        now_ms: TimeMs,
    ) -> bool {
        let pause_ms = match answer {
            Some(grant) if grant.granted_units >= cost_units => {
                self.add_leased(grant.granted_units - cost_units, now_ms);
                return true;
            }
            Some(grant) => grant.wait_ms.max(MIN_PAUSE_MS),
            None => SILENT_PAUSE_MS,
        };
        self.paused_until_ms[share] = now_ms + pause_ms;
        false
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, cost_units: u64, now_ms: TimeMs) {
        self.add_leased(cost_units, now_ms);
    }

    /// Returns what to do with a request for which the units granted earlier do not suffice.
    /// `is_reachable` says of which shares the agents can be asked.
    pub fn next_step(
        &mut self,
        cost_units: u64,
        is_reachable: &[bool; QUOTA_SHARES],
        entry_count: u32,
        now_ms: TimeMs,
    ) -> QuotaStep {
        if !is_reachable.contains(&true) {
            return self.charge_ungranted(cost_units, entry_count, now_ms);
        }
        let shares = (0..QUOTA_SHARES).map(|step| (self.next_share + step) % QUOTA_SHARES);
        let mut reachable = shares.filter(|&share| is_reachable[share]);
        let Some(share) = reachable.find(|&share| self.paused_until_ms[share] <= now_ms) else {
            return QuotaStep::Refuse {
                retry_after_ms: self.soonest_ms(is_reachable, now_ms),
            };
        };
        self.next_share = (share + 1) % QUOTA_SHARES;
        let returned_units = if self.is_lease_fresh(now_ms) {
            0
        } else {
            std::mem::take(&mut self.leased_units)
        };
        QuotaStep::Ask {
            share,
            ahead_units: (self.decayed_use(now_ms) * AHEAD_MS) as u64,
            returned_units,
        }
    }

    /// Returns the time until the first reachable agent may be asked again, in milliseconds.
    fn soonest_ms(&self, is_reachable: &[bool; QUOTA_SHARES], now_ms: TimeMs) -> u64 {
        let pauses = self.paused_until_ms.iter().zip(is_reachable);
        let soonest_ms = pauses
            .filter(|&(_, &is_reachable)| is_reachable)
            .map(|(&until_ms, _)| until_ms)
            .min();
        soonest_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms))
    }

    fn charge_ungranted(&mut self, cost_units: u64, entry_count: u32, now_ms: TimeMs) -> QuotaStep {
        let part = UNGRANTED_PART / f64::from(entry_count.max(1));
        let share = QuotaShare::whole(&self.quota).scaled(part);
        let bucket = self
            .ungranted
            .get_or_insert_with(|| QuotaBucket::new(share, 1.0, now_ms));
        let retry_after_ms = bucket.wait_ms(now_ms);
        if retry_after_ms > 0 {
            return QuotaStep::Refuse { retry_after_ms };
        }
        bucket.take(cost_units as f64, now_ms);
        QuotaStep::Admit
    }

    fn add_leased(&mut self, units: u64, now_ms: TimeMs) {
        if !self.is_lease_fresh(now_ms) {
            self.leased_units = 0;
        }
        if self.leased_units == 0 {
            self.leased_ms = now_ms;
        }
        self.leased_units = self.leased_units.saturating_add(units);
    }

    const fn is_lease_fresh(&self, now_ms: TimeMs) -> bool {
        now_ms < self.leased_ms + LEASE_MS
    }

    fn record_use(&mut self, units: u64, now_ms: TimeMs) {
        self.use_units_per_ms = self.decayed_use(now_ms) + units as f64 / USE_WINDOW_MS;
        self.used_ms = now_ms;
    }

    fn decayed_use(&self, now_ms: TimeMs) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.used_ms) as f64;
        self.use_units_per_ms * (-elapsed_ms / USE_WINDOW_MS).exp()
    }
}
