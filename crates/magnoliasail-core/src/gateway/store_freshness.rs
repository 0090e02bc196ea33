//! Whether an entry reads the store, and which agents it asks for the configuration while it does not.
//!
//! The store may turn away some processes, or fall silent to them, while it serves the others and the
//! operator publishes a configuration. An entry that has read nothing for a while asks agents whether they
//! have a newer one. Each time it asks other agents, since some of them may be turned away too.

use {crate::TimeMs, std::net::IpAddr};

/// Time without a successful read after which agents are asked: more than a read usually takes.
const STALE_AFTER_MS: u64 = 2_500;
/// Time without a successful read for which the list of servers still counts as the current one: more than a
/// watch without changes and the pause after it take.
const MAX_LIST_AGE_MS: u64 = 5_500;
/// Agents that are asked at a time.
const AGENTS_ASKED: usize = 3;

/// The reads of the store, as far as they concern whether agents are asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFreshness {
    last_read_ms: Option<TimeMs>,
    has_failed: bool,
    asked: usize,
    /// The newest era of the store that a response has named.
    era: Option<u64>,
}

impl StoreFreshness {
    /// Records a successful read.
    pub const fn record_read(&mut self, now_ms: TimeMs) {
        self.last_read_ms = Some(now_ms);
        self.has_failed = false;
    }

    /// Records a failed read.
    pub const fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records the newest era of the store that a response has named.
    pub const fn record_era(&mut self, era: Option<u64>) {
        self.era = era;
    }

    /// Returns the newest era of the store that a response has named.
    #[must_use]
    pub const fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns whether what another process read in `era` may be used: not if this process knows a later era,
    /// just as a response of the store that names an earlier era, or none, is not used.
    #[must_use]
    pub fn may_use(&self, era: Option<u64>) -> bool {
        match (self.era, era) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(era)) => era >= own,
        }
    }

    /// Returns the time since the last successful read, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now_ms: TimeMs) -> Option<u64> {
        Some(now_ms.saturating_sub(self.last_read_ms?))
    }

    /// Returns whether the store is read, so that what it does not list may be taken not to exist.
    #[must_use]
    pub fn is_current(&self, now_ms: TimeMs) -> bool {
        !self.has_failed
            && self
                .age_ms(now_ms)
                .is_some_and(|age_ms| age_ms <= MAX_LIST_AGE_MS)
    }

    /// Returns the agents to ask for the configuration, out of those that can be asked: none while the
    /// store is read.
    pub fn agents_to_ask(&mut self, mut agents: Vec<IpAddr>, now_ms: TimeMs) -> Vec<IpAddr> {
        let is_stale = self
            .last_read_ms
            .is_none_or(|read_ms| now_ms >= read_ms + STALE_AFTER_MS);
        if agents.is_empty() || !(self.has_failed || is_stale) {
            return Vec::new();
        }
        agents.sort_unstable();
        let first = self.asked % agents.len();
        self.asked += AGENTS_ASKED;
        agents.rotate_left(first);
        agents.truncate(AGENTS_ASKED);
        agents
    }
}
