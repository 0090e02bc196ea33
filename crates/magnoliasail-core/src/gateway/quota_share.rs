//! How the quota of a client account is split over agents.
//!
//! Each account's quota has [`QUOTA_SHARES`] equal shares. One agent grants each share: the one with the
//! highest rank for it among the agents that the server list names. The shares add up to the quota
//! whatever happens to links and processes, and while one agent is away the account still has the others.

use {super::Quota, crate::score, std::net::IpAddr, xxhash_rust::xxh3::xxh3_64_with_seed};

/// The number of shares of an account's quota.
pub const QUOTA_SHARES: usize = 4;

/// The rate and the burst of one share, or of another part of a quota, in the quota's unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShare {
    /// The units that become available per second.
    pub rate_per_s: f64,
    /// The units that may be used at once after a time without use.
    pub burst_units: f64,
}

impl QuotaShare {
    /// Returns one of the equal shares of a quota.
    #[must_use]
    pub fn of(quota: &Quota) -> Self {
        Self::whole(quota).scaled(1.0 / QUOTA_SHARES as f64)
    }

    /// Returns the whole quota as one share. Without a burst, a short time of its rate serves as one,
    /// since requests do not arrive evenly.
    #[must_use]
    pub fn whole(quota: &Quota) -> Self {
        /// Time of the rate that may be used at once if the quota names a shorter burst.
        const MIN_BURST_S: f64 = 0.25;
        Self {
            rate_per_s: quota.rate_per_s,
            burst_units: quota.burst_units.max(quota.rate_per_s * MIN_BURST_S),
        }
    }

    /// Returns a part of this share.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * factor,
            burst_units: self.burst_units * factor,
        }
    }
}

/// Returns the key that identifies a share of an account's quota.
#[must_use]
pub fn quota_share_key(account: &str, share: usize) -> u64 {
    xxh3_64_with_seed(account.as_bytes(), share as u64)
}

/// Picks the VM whose agent grants a share; returns `None` if there are no agents.
#[must_use]
pub fn pick_quota_agent(share_key: u64, agents: impl Iterator<Item = IpAddr>) -> Option<IpAddr> {
    let key = share_key.to_string();
    agents.max_by_key(|vm| score(&key, &vm.to_string()))
}
