//! The `[link]` section of the settings files.

use {
    super::check::SettingsCheck,
    magnoliasail_wire::{LinkKeys, LinkSettings},
    serde::{Deserialize, Serialize},
};

/// Keys and timings of the links between entries and agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSection {
    /// Shared key with which the processes of the fleet authenticate each other.
    pub key: String,
    /// Key that replaces `key` at the end of a key rotation, empty outside a rotation.
    pub next_key: String,
    /// Idle time after which the sending side writes a heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without received data after which a link is closed and reopened, in milliseconds; at
    /// least two heartbeats.
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
    /// Returns the keys that are valid now.
    #[must_use]
    pub fn keys(&self) -> LinkKeys {
        let keys = LinkKeys::new(&self.key);
        if self.next_key.is_empty() {
            keys
        } else {
            keys.with_next(&self.next_key)
        }
    }

    /// Returns the settings of a link with this section's timings.
    #[must_use]
    pub fn settings(&self) -> LinkSettings {
        LinkSettings {
            heartbeat_ms: self.heartbeat_ms,
            timeout_ms: self.timeout_ms,
            ..LinkSettings::default()
        }
    }

    pub(super) fn check(&self, check: &mut SettingsCheck<'_>) {
        check.require_filled("link.key", &self.key);
        check.require_range("link.heartbeat_ms", self.heartbeat_ms, 10, 60_000);
        let min_timeout_ms = 2 * self.heartbeat_ms;
        check.require_range("link.timeout_ms", self.timeout_ms, min_timeout_ms, 600_000);
    }
}
