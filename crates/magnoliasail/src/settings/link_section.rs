//! The section on links between the system's processes.

use {
    super::check::Ranges,
    magnoliasail_wire::{LinkKeys, LinkSettings},
    serde::{Deserialize, Serialize},
};

/// Keys and timings of links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSection {
    /// Key that the fleet uses.
    pub key: String,
    /// Key that is being rotated in, empty for none.
    pub next_key: String,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a link is opened anew, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for LinkSection {
    fn default() -> Self {
        let link = LinkSettings::default();
        Self {
            key: String::new(),
            next_key: String::new(),
            heartbeat_ms: link.heartbeat_ms,
            timeout_ms: link.timeout_ms,
        }
    }
}

impl LinkSection {
    /// Returns the keys.
    #[must_use]
    pub fn keys(&self) -> LinkKeys {
        let keys = LinkKeys::new(&self.key);
        if self.next_key.is_empty() {
            keys
        } else {
            keys.with_next(&self.next_key)
        }
    }

    /// Returns the timings.
    #[must_use]
    pub fn settings(&self) -> LinkSettings {
        LinkSettings {
            heartbeat_ms: self.heartbeat_ms,
            timeout_ms: self.timeout_ms,
            ..LinkSettings::default()
        }
    }

    pub(super) fn check(&self, ranges: &mut Ranges<'_>) {
        ranges.filled("link.key", &self.key);
        ranges.between("link.heartbeat_ms", self.heartbeat_ms, 10, 60_000);
        let least = 2 * self.heartbeat_ms;
        ranges.between("link.timeout_ms", self.timeout_ms, least, 600_000);
    }
}
