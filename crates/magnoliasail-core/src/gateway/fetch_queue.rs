//! Which engine of the fleet fetches which adapter next.
//!
//! Load: after a cold start, or when demand moves, every engine needs adapters that the weight store can only
//! deliver a few at a time. If each engine orders its own, all of them share what the store carries, and each
//! request waits for all fetches. One queue for the fleet keeps the store at what it carries, and spends it on
//! requests that can still be in time, the most urgent first.
//!
//! An entry keeps the queue. The state of each engine comes in full with every message, so that an entry that
//! has just started, or was asked instead of another one, knows all after one message of each engine.

use {
    super::{
        TransferLimit,
        message::{EngineFetches, PendingFetch},
    },
    crate::TimeMs,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// One in this many permits goes to the request that has waited longest, whether or not it can be in time.
const LONGEST_WAIT_INTERVAL: u64 = 8;
/// Maximum number of pending fetches of one engine that are considered.
const MAX_PENDING: usize = 64;
/// Share of the limit up to which fetches stop to need permits.
const UNRESTRICTED_UP_TO_SHARE: f64 = 0.7;
/// Share of the limit from which on fetches need permits again.
const RESTRICTED_FROM_SHARE: f64 = 0.9;

/// The queue of fetches over all engines. `E` identifies an engine.
#[derive(Clone, Debug)]
pub struct FetchQueue<E> {
    engines: BTreeMap<E, EngineEntry>,
    limit: TransferLimit,
    permit_count: u64,
    is_unrestricted: bool,
}

#[derive(Clone, Debug, Default)]
struct EngineEntry {
    /// What waits for a permit.
    pending: Vec<QueuedFetch>,
    in_transit: u32,
    /// The number of permits that the engine has received.
    received: u64,
    /// The adapters of the permits that the engine has not confirmed.
    unconfirmed: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedFetch {
    adapter: u64,
    /// The latest time at which the fetch can start for a request to be in time.
    start_until_ms: Option<TimeMs>,
    waiting_since_ms: TimeMs,
    /// The number of requests that wait for the adapter.
    requests: u32,
}

impl QueuedFetch {
    const fn new(fetch: &PendingFetch, now_ms: TimeMs) -> Self {
        Self {
            adapter: fetch.adapter,
            start_until_ms: match fetch.left_ms {
                Some(left_ms) => Some(now_ms.saturating_add(left_ms)),
                None => None,
            },
            waiting_since_ms: now_ms.saturating_sub(fetch.waited_ms),
            requests: fetch.requests,
        }
    }

    /// Returns the place in the queue: what can be in time if it starts at `earliest_ms`, by its urgency, then the
    /// rest by the number of requests.
    fn place(&self, earliest_ms: TimeMs) -> (bool, TimeMs, Reverse<u32>, TimeMs) {
        let start_until_ms = self
            .start_until_ms
            .filter(|&until_ms| until_ms >= earliest_ms);
        (
            start_until_ms.is_none(),
            start_until_ms.unwrap_or(0),
            Reverse(self.requests),
            self.waiting_since_ms,
        )
    }
}

impl<E> Default for FetchQueue<E> {
    fn default() -> Self {
        Self {
            engines: BTreeMap::new(),
            limit: TransferLimit::default(),
            permit_count: 0,
            is_unrestricted: false,
        }
    }
}

impl<E: Copy + Ord> FetchQueue<E> {
    /// Replaces what is known of an engine.
    pub fn update(&mut self, engine: E, fetches: &EngineFetches, now_ms: TimeMs) {
        let entry = self.engines.entry(engine).or_default();
        let confirmed = fetches.permits_received.saturating_sub(entry.received) as usize;
        entry
            .unconfirmed
            .drain(..confirmed.min(entry.unconfirmed.len()));
        entry.received = fetches.permits_received;
        entry.in_transit = fetches.in_transit;
        let pending = fetches.pending.iter().take(MAX_PENDING);
        entry.pending = pending
            .filter(|fetch| !entry.unconfirmed.contains(&fetch.adapter))
            .map(|fetch| QueuedFetch::new(fetch, now_ms))
            .collect();
        let engines = self.engines.len();
        for &ended_ms in &fetches.ended_ms {
            self.limit.record(u64::from(ended_ms), engines, now_ms);
        }
        self.limit.record_in_transit(self.in_transit(), now_ms);
    }

    /// Forgets an engine whose link has ended.
    pub fn remove(&mut self, engine: E) {
        self.engines.remove(&engine);
    }

    /// Returns the permits that can be given now: engines and the keys of their adapters.
    pub fn permit(&mut self, now_ms: TimeMs) -> Vec<(E, u64)> {
        let mut permits = Vec::new();
        let free = self.limit().saturating_sub(self.in_transit());
        for _ in 0..free {
            let Some((engine, adapter)) = self.next(now_ms) else {
                break;
            };
            self.permit_count += 1;
            if let Some(entry) = self.engines.get_mut(&engine) {
                entry.pending.retain(|fetch| fetch.adapter != adapter);
                entry.unconfirmed.push(adapter);
            }
            permits.push((engine, adapter));
        }
        if !permits.is_empty() {
            self.limit.record_in_transit(self.in_transit(), now_ms);
        }
        permits
    }

    /// Decides again whether fetches need permits at all; returns whether that has changed.
    ///
    /// While the store has room, asking for a permit would only delay a fetch.
    pub fn update_restriction(&mut self) -> bool {
        let used_share = f64::from(self.in_transit()) / f64::from(self.limit());
        let max_share = if self.is_unrestricted {
            RESTRICTED_FROM_SHARE
        } else {
            UNRESTRICTED_UP_TO_SHARE
        };
        let is_unrestricted =
            self.limit.is_store_known() && self.waiting() == 0 && used_share <= max_share;
        std::mem::replace(&mut self.is_unrestricted, is_unrestricted) != is_unrestricted
    }

    /// Returns the engines that have told what they fetch.
    pub fn engines(&self) -> impl Iterator<Item = E> {
        self.engines.keys().copied()
    }

    /// Returns whether no fetch needs a permit.
    #[must_use]
    pub const fn is_unrestricted(&self) -> bool {
        self.is_unrestricted
    }

    /// Returns the number of fetches in transit, with the permits that engines have not confirmed.
    #[must_use]
    pub fn in_transit(&self) -> u32 {
        let engines = self.engines.values();
        engines
            .map(|entry| entry.in_transit + entry.unconfirmed.len() as u32)
            .sum()
    }

    /// Returns the number of fetches that may be in transit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.get(self.engines.len())
    }

    /// Returns the number of adapters that wait for a permit.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.engines.values().map(|entry| entry.pending.len()).sum()
    }

    fn next(&self, now_ms: TimeMs) -> Option<(E, u64)> {
        let pending = self
            .engines
            .iter()
            .flat_map(|(&engine, entry)| entry.pending.iter().map(move |fetch| (engine, fetch)));
        let is_turn_of_longest_wait = self.permit_count.is_multiple_of(LONGEST_WAIT_INTERVAL);
        let earliest_ms = now_ms + self.limit.usual_delay_ms();
        let next = if is_turn_of_longest_wait {
            pending.min_by_key(|(_, fetch)| fetch.waiting_since_ms)
        } else {
            pending.min_by_key(|(_, fetch)| fetch.place(earliest_ms))
        };
        next.map(|(engine, fetch)| (engine, fetch.adapter))
    }
}
