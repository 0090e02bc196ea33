//! How much a client account may use, over all entries together.

use super::RequestMetadata;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and of its longest answer.
    Tokens {
        /// What a request counts as that does not state its tokens.
        plain_tokens: u64,
    },
}

/// The quota of a client account: a rate and a burst, in the same unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// The units that become available per second.
    pub rate_per_s: f64,
    /// The units that may be used at once after a time without use.
    pub burst_units: f64,
}

impl Quota {
    /// Returns the highest cost of a request that the quota can ever admit: what is available after a time
    /// without use, and what becomes available in a second. A larger one would use up the quota for a long
    /// time after it.
    #[must_use]
    pub fn max_cost_units(&self) -> u64 {
        (self.burst_units + self.rate_per_s).max(1.0) as u64
    }

    /// Returns what a request counts as.
    #[must_use]
    pub const fn cost_units(&self, request: &RequestMetadata) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain_tokens } => {
                if request.has_token_count {
                    request.prompt_tokens.saturating_add(request.output_tokens)
                } else {
                    plain_tokens
                }
            }
        }
    }
}
