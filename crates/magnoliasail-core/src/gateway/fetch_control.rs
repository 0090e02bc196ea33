//! When an engine may fetch an adapter from the weight store, by the permits of an entry.
//!
//! While no entry answers, the engine fetches without permits, and limits itself by how slow its fetches have
//! become. So an entry that is lost or slow costs a bounded wait.

use {
    super::message::{EngineFetches, FetchPermits, PendingFetch},
    crate::TimeMs,
    std::collections::HashMap,
};

/// Time within which an entry acknowledges a message: many round trips, and well below an objective.
const MAX_ACKNOWLEDGE_MS: u64 = 150;
/// Time after which a permit that was not used counts as given back.
const PERMIT_LIFETIME_MS: u64 = 1_000;
/// Weight of the newest wait in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// The permits of one engine, and what the entry that gives them knows.
#[derive(Clone, Debug, Default)]
pub(super) struct FetchControl {
    /// Whether an entry is linked that gives permits.
    has_entry: bool,
    /// Whether the entry says that no fetch needs a permit.
    is_unrestricted: bool,
    permits: Vec<Permit>,
    /// The number of permits that came on the link to the entry.
    permits_received: u64,
    /// The message that was sent last.
    sent: EngineFetches,
    /// When the oldest message was sent that the entry has not acknowledged.
    unacknowledged_since_ms: Option<TimeMs>,
    /// The times of the fetches that ended since the last message.
    ended_ms: Vec<u32>,
    /// Since when the adapters of the last message have waited for a permit.
    pending_since_ms: HashMap<u64, TimeMs>,
    /// Moving average of the wait for a permit.
    mean_wait_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    adapter: u64,
    expires_ms: TimeMs,
}

impl FetchControl {
    /// Starts anew with an entry that gives permits, or without one.
    pub(super) fn set_entry(&mut self, has_entry: bool) {
        *self = Self {
            has_entry,
            ..Self::default()
        };
    }

    /// Returns whether fetches need a permit.
    pub(super) fn needs_permit(&self, now_ms: TimeMs) -> bool {
        !self.is_unrestricted && self.is_active(now_ms)
    }

    /// Returns whether an entry orders the fetches of the fleet.
    fn is_active(&self, now_ms: TimeMs) -> bool {
        let is_silent = self
            .unacknowledged_since_ms
            .is_some_and(|since_ms| now_ms > since_ms + MAX_ACKNOWLEDGE_MS);
        self.has_entry && !is_silent
    }

    /// Returns the expected wait for a permit, in milliseconds.
    pub(super) fn expected_wait_ms(&self, now_ms: TimeMs) -> f64 {
        if self.needs_permit(now_ms) {
            self.mean_wait_ms
        } else {
            0.0
        }
    }

    /// Applies what the entry permits.
    pub(super) fn apply(&mut self, permits: &FetchPermits, now_ms: TimeMs) {
        if permits.received >= self.sent.number {
            self.unacknowledged_since_ms = None;
        }
        self.is_unrestricted = permits.is_unrestricted;
        self.permits_received += permits.adapters.len() as u64;
        for adapter in &permits.adapters {
            if let Some(pending_since_ms) = self.pending_since_ms.remove(adapter) {
                let wait_ms = now_ms.saturating_sub(pending_since_ms) as f64;
                self.mean_wait_ms += NEWEST_WEIGHT * (wait_ms - self.mean_wait_ms);
            }
        }
        let expires_ms = now_ms + PERMIT_LIFETIME_MS;
        let new = permits.adapters.iter().map(|&adapter| Permit {
            adapter,
            expires_ms,
        });
        self.permits.extend(new);
    }

    /// Returns whether an adapter may be fetched now.
    pub(super) fn is_permitted(&self, adapter: u64, now_ms: TimeMs) -> bool {
        self.permits
            .iter()
            .any(|permit| permit.adapter == adapter && permit.expires_ms > now_ms)
    }

    /// Records that the fetch of an adapter is ordered.
    pub(super) fn start(&mut self, adapter: u64) {
        self.permits.retain(|permit| permit.adapter != adapter);
    }

    /// Records the time of a fetch that ended.
    pub(super) fn record_ended(&mut self, fetch_ms: u64) {
        if self.has_entry {
            self.ended_ms
                .push(u32::try_from(fetch_ms).unwrap_or(u32::MAX));
        }
    }

    /// Returns whether an entry is linked that gives permits.
    pub(super) const fn has_entry(&self) -> bool {
        self.has_entry
    }

    /// Returns the next message for the entry, if it would learn something new from it. `missing` are the
    /// adapters that the engine misses, and `fetching` is the number of fetches in progress.
    pub(super) fn message(
        &mut self,
        missing: Vec<PendingFetch>,
        fetching: usize,
        now_ms: TimeMs,
    ) -> Option<EngineFetches> {
        self.drop_unused(&missing, now_ms);
        let pending: Vec<PendingFetch> = missing
            .into_iter()
            .filter(|fetch| !self.is_permitted(fetch.adapter, now_ms))
            .collect();
        self.pending_since_ms
            .retain(|adapter, _| pending.iter().any(|fetch| fetch.adapter == *adapter));
        for fetch in &pending {
            self.pending_since_ms.entry(fetch.adapter).or_insert(now_ms);
        }
        let in_transit = (fetching + self.permits.len()) as u32;
        let is_known = self.sent.number > 0
            && self.ended_ms.is_empty()
            && self.sent.in_transit == in_transit
            && self.sent.permits_received == self.permits_received
            && adapters(&self.sent.pending).eq(adapters(&pending));
        if is_known {
            return None;
        }
        self.sent = EngineFetches {
            number: self.sent.number + 1,
            permits_received: self.permits_received,
            in_transit,
            pending,
            ended_ms: std::mem::take(&mut self.ended_ms),
        };
        self.unacknowledged_since_ms.get_or_insert(now_ms);
        Some(self.sent.clone())
    }

    /// Drops the permits that have expired, and those of adapters that the engine does not miss.
    fn drop_unused(&mut self, missing: &[PendingFetch], now_ms: TimeMs) {
        let is_missing = |adapter| missing.iter().any(|fetch| fetch.adapter == adapter);
        self.permits
            .retain(|permit| permit.expires_ms > now_ms && is_missing(permit.adapter));
    }
}

fn adapters(pending: &[PendingFetch]) -> impl Iterator<Item = u64> {
    pending.iter().map(|fetch| fetch.adapter)
}
