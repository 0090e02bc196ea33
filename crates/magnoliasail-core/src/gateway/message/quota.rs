//! Questions for units of a quota, and their answers.

use {
    crate::gateway::{QuotaGrant, QuotaQuestion, QuotaShare},
    prost::Message,
};

/// A question for units of a share of an account's quota.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AskQuota {
    /// The number that identifies the question on its link.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// Identifies the share, see [`quota_share_key`](crate::gateway::quota_share_key).
    #[prost(fixed64, tag = "2")]
    pub share_key: u64,
    /// The rate of the share, in units per second.
    #[prost(float, tag = "3")]
    pub rate_per_s: f32,
    /// The burst of the share, in units.
    #[prost(float, tag = "4")]
    pub burst_units: f32,
    /// The configuration version from which the rate and burst are.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// What a waiting request costs, in units.
    #[prost(uint64, tag = "6")]
    pub need_units: u64,
    /// What the entry expects to use soon in addition, in units.
    #[prost(uint64, tag = "7")]
    pub ahead_units: u64,
    /// Units granted earlier that were not used.
    #[prost(uint64, tag = "8")]
    pub returned_units: u64,
}

impl AskQuota {
    /// Encodes a question that has the number `question` on its link.
    #[must_use]
    pub const fn new(question: u64, content: &QuotaQuestion) -> Self {
        Self {
            question,
            share_key: content.share_key,
            rate_per_s: content.share.rate_per_s as f32,
            burst_units: content.share.burst_units as f32,
            version: content.version,
            need_units: content.need_units,
            ahead_units: content.ahead_units,
            returned_units: content.returned_units,
        }
    }

    /// Returns the content of the question, or `None` if its rate or burst makes no sense.
    #[must_use]
    pub fn content(&self) -> Option<QuotaQuestion> {
        let share = QuotaShare {
            rate_per_s: f64::from(self.rate_per_s),
            burst_units: f64::from(self.burst_units),
        };
        let is_valid = share.rate_per_s.is_finite()
            && share.rate_per_s > 0.0
            && share.burst_units.is_finite()
            && share.burst_units > 0.0;
        is_valid.then_some(QuotaQuestion {
            share_key: self.share_key,
            share,
            version: self.version,
            need_units: self.need_units,
            ahead_units: self.ahead_units,
            returned_units: self.returned_units,
        })
    }
}

/// The answer to [`AskQuota`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuotaAnswer {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// The units granted: at least those that the request needs, or 0.
    #[prost(uint64, tag = "2")]
    pub granted_units: u64,
    /// The time after which to ask again if nothing was granted, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

impl QuotaAnswer {
    /// Returns the content of the answer.
    #[must_use]
    pub const fn content(&self) -> QuotaGrant {
        QuotaGrant {
            granted_units: self.granted_units,
            wait_ms: self.wait_ms,
        }
    }
}
