//! Backend servers that were removed from the platform's list, in case an older copy of the list
//! contains them again.

use {
    super::ServerEntry,
    crate::TimeMs,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time for which a departure is remembered. It is longer than the age of any copy of the list.
const RETENTION_MS: u64 = 120_000;
/// Time after which a row that is still listed is trusted: the platform removes the row of a server
/// without heartbeats in less than half of it.
const RELISTED_TRUST_MS: u64 = 10_000;

/// The servers that left recently, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedServers {
    departed: BTreeMap<Arc<str>, Departure>,
    /// Rows of departed servers that are listed again.
    held: BTreeMap<Arc<str>, HeldEntry>,
}

#[derive(Clone, Debug)]
struct Departure {
    /// The start of the server that left.
    started_ms: Option<u64>,
    was_draining: bool,
    departed_ms: TimeMs,
}

#[derive(Clone, Debug)]
struct HeldEntry {
    entry: ServerEntry,
    listed_ms: TimeMs,
}

impl DepartedServers {
    /// Records that a server has left.
    pub(super) fn record(&mut self, entry: &ServerEntry, now_ms: TimeMs) {
        let departure = Departure {
            started_ms: entry.started_ms,
            was_draining: entry.is_draining,
            departed_ms: now_ms,
        };
        self.departed.insert(Arc::clone(&entry.id), departure);
    }

    /// Returns whether a row is of a server that has left, or of an earlier start of it.
    pub(super) fn contains(&self, entry: &ServerEntry) -> bool {
        self.departed
            .get(&entry.id)
            .is_some_and(|departure| entry.started_ms <= departure.started_ms)
    }

    /// Keeps the row of a departed server that is listed again. A server that was draining still is.
    pub(super) fn hold(&mut self, mut entry: ServerEntry, now_ms: TimeMs) {
        let id = Arc::clone(&entry.id);
        let departure = self.departed.get(&id);
        entry.is_draining |= departure.is_some_and(|departure| departure.was_draining);
        let listed_ms = self.held.get(&id).map_or(now_ms, |held| held.listed_ms);
        self.held.insert(id, HeldEntry { entry, listed_ms });
    }

    /// Drops the held row of a server that is no longer listed.
    pub(super) fn discard_held(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Forgets a server that is back.
    pub(super) fn clear(&mut self, id: &str) {
        self.departed.remove(id);
        self.held.remove(id);
    }

    /// Forgets departures long past, and returns the rows that have been listed for so long that
    /// their servers must be alive. Time before `unreliable_ms` does not count, as a removal may not
    /// have been seen.
    pub(super) fn take_trusted(
        &mut self,
        unreliable_ms: Option<TimeMs>,
        now_ms: TimeMs,
    ) -> Vec<ServerEntry> {
        self.departed
            .retain(|_, departure| now_ms < departure.departed_ms + RETENTION_MS);
        let is_proven = |held: &HeldEntry| {
            let listed_ms = held.listed_ms.max(unreliable_ms.unwrap_or(0));
            now_ms >= listed_ms + RELISTED_TRUST_MS
        };
        let (proven, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, held)| is_proven(held));
        self.held = held;
        BTreeMap::into_values(proven)
            .map(|held| held.entry)
            .collect()
    }
}
