//! Client accounts that a fleet publishes, and their quotas as the users' rule counts them.

use {
    serde_json::{Value, json},
    std::time::Duration,
};

/// The window in which the rule counts what an account uses.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);

/// A client account of a fleet's configuration.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    /// The name that servers receive.
    pub name: &'static str,
    /// The keys that callers send.
    pub keys: Vec<&'static str>,
    /// The rank of the account's requests.
    pub rank: u32,
    /// The tokens per second that the account may use, and those that it may use at once; 0 for no limit.
    pub rate_per_s: u32,
}

impl ClientAccount {
    /// Returns the account's first key, with its name.
    #[must_use]
    pub fn first_key(&self) -> Option<(&'static str, &'static str)> {
        Some((*self.keys.first()?, self.name))
    }

    /// Returns the account's row in the configuration.
    pub(crate) fn row(&self) -> Value {
        json!({"name": self.name, "api_keys": self.keys, "priority": self.rank, "unit": "token_count",
            "plain_tokens": 200, "rate_per_s": self.rate_per_s, "burst": self.rate_per_s})
    }

    /// Returns the most tokens that the rule lets the account use within [`QUOTA_WINDOW`], without its slack.
    #[must_use]
    pub fn allowed_tokens(&self) -> f64 {
        const OVERSHOOT: f64 = 1.25;
        let rate_per_s = f64::from(self.rate_per_s);
        (rate_per_s * QUOTA_WINDOW.as_secs_f64() + rate_per_s) * OVERSHOOT
    }
}
