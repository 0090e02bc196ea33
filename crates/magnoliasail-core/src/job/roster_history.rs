//! The rosters that assign keys to owner slots, by the creation times of the keys.

use {
    super::KeySpan,
    crate::{
        TimeMs,
        table::{Roster, RosterRow},
    },
    std::collections::VecDeque,
};

/// Time from the publication of a roster until it governs newly created keys, in milliseconds.
///
/// It is fixed because all processes must agree on it, however stale their tables are.
pub const ROSTER_ACTIVATION_DELAY_MS: u64 = 900_000;

/// Maximum number of rosters kept; the oldest is removed first.
const MAX_SEGMENTS: usize = 16;

/// A roster and the creation times of the keys that it is known to govern.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Segment {
    roster: Roster,
    first_ms: TimeMs,
    last_ms: TimeMs,
}

/// The recent rosters, each with the span of key creation times that it is known to govern.
///
/// A roster published at `p` governs keys created from `p + ROSTER_ACTIVATION_DELAY_MS` on. A
/// process that last confirmed it at `c` knows that no later roster governs keys up to
/// `c + ROSTER_ACTIVATION_DELAY_MS`. Between such spans, and before the first, the process knows no
/// owner and refuses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterHistory {
    segments: VecDeque<Segment>,
}

impl RosterHistory {
    /// Adds a roster that was published at `published_ms` and current at `as_of_ms`.
    pub fn apply(&mut self, roster: &Roster, published_ms: TimeMs, as_of_ms: TimeMs) {
        let first_ms = published_ms + ROSTER_ACTIVATION_DELAY_MS;
        let last_ms = as_of_ms + ROSTER_ACTIVATION_DELAY_MS;
        if let Some(newest) = self.segments.back_mut()
            && newest.first_ms == first_ms
            && newest.roster == *roster
        {
            newest.last_ms = newest.last_ms.max(last_ms);
            return;
        }
        if let Some(newest) = self.segments.back_mut() {
            newest.last_ms = newest.last_ms.min(first_ms.saturating_sub(1));
        }
        self.segments.push_back(Segment {
            roster: roster.clone(),
            first_ms,
            last_ms,
        });
        if self.segments.len() > MAX_SEGMENTS {
            self.segments.pop_front();
        }
    }

    /// Records that the newest roster was current at `as_of_ms` on the platform's clock.
    pub fn confirm(&mut self, as_of_ms: TimeMs) {
        if let Some(newest) = self.segments.back_mut() {
            newest.last_ms = newest.last_ms.max(as_of_ms + ROSTER_ACTIVATION_DELAY_MS);
        }
    }

    /// Returns the owner slot of a key, or `None` if no known roster governs the whole span.
    #[must_use]
    pub fn owner_slot(&self, service: &str, key: &str, span: KeySpan) -> Option<&RosterRow> {
        self.segments
            .iter()
            .find(|segment| segment.first_ms <= span.first_ms && span.last_ms <= segment.last_ms)
            .and_then(|segment| segment.roster.owner_slot(service, key))
    }

    /// Returns `true` if a key may be older than every known roster.
    #[must_use]
    pub fn is_before_first_roster(&self, span: KeySpan) -> bool {
        self.segments
            .front()
            .is_none_or(|segment| span.first_ms < segment.first_ms)
    }

    /// Returns the row of a service's slot in the newest roster.
    #[must_use]
    pub fn newest_row(&self, service: &str, slot: &str) -> Option<&RosterRow> {
        self.segments.back()?.roster.row(service, slot)
    }
}
