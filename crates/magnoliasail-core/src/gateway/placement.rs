//! Picks a backend server for a request.
//!
//! Each candidate has a cost in milliseconds: the time for which a request is expected to wait
//! there, what it costs to load the adapter, the distance, and what recent outcomes say. Where no
//! engine holds an adapter yet, rendezvous hashing ranks the candidates, so that all entries agree
//! without messages which engine fetches it: a rare adapter has one place in the whole fleet, a
//! popular one a place in each data centre, from which it spills over once the wait outweighs a load.

use {
    super::Holding,
    crate::score,
    std::{cmp::Ordering, sync::Arc},
};

/// A backend server that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The stable name that is hashed.
    pub name: Arc<str>,
    /// Whether it is in the entry's own data centre.
    pub is_local: bool,
    /// Requests that it is known to have, running or waiting.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Share of its recent requests that failed.
    pub failure_share: f64,
    /// Its recent time until the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// How it holds the adapter.
    pub holding: Holding,
    /// Adapters that wait there for a slot.
    pub adapters_waiting: u32,
    /// Whether an adapter that is loaded now would get a slot.
    pub has_available_slot: bool,
    /// Time until it has loaded its base model, in milliseconds.
    pub ready_in_ms: u64,
}

/// What ties a request to servers.
#[derive(Clone, Copy, Debug)]
pub struct Affinity<'a> {
    /// What is hashed: the adapter's full name.
    pub key: &'a str,
    /// Whether requests like it are frequent at this entry.
    pub is_popular: bool,
}

/// What the parts of a placement cost, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCosts {
    /// Each pair of requests that share the batch: prompts delay each other.
    pub batch_pair_ms: f64,
    /// Each request that waits for a place.
    pub queued_ms: f64,
    /// A load of an adapter of which the engine's host has a copy.
    pub copy_load_ms: f64,
    /// A fetch of a popular adapter: it pays for itself.
    pub popular_fetch_ms: f64,
    /// A fetch of a rare adapter: it delays the request and costs the store's time.
    pub rare_fetch_ms: f64,
    /// Each adapter that waits for a slot before one that is to be loaded.
    pub slot_queue_ms: f64,
    /// A load where all slots are in use.
    pub no_slot_ms: f64,
    /// Each step down the ranking, for a server that does not hold the adapter.
    pub rank_step_ms: f64,
    /// A server in another data centre, for a request whose like are frequent.
    pub remote_ms: f64,
    /// A server in another data centre, for a request whose like are rare.
    pub rare_remote_ms: f64,
    /// A server of which every request failed lately.
    pub failure_ms: f64,
}

impl Default for PlacementCosts {
    fn default() -> Self {
        Self {
            batch_pair_ms: 0.1,
            queued_ms: 20.0,
            copy_load_ms: 20.0,
            popular_fetch_ms: 40.0,
            rare_fetch_ms: 150.0,
            slot_queue_ms: 10.0,
            no_slot_ms: 40.0,
            rank_step_ms: 10.0,
            remote_ms: 60.0,
            rare_remote_ms: 8.0,
            failure_ms: 600.0,
        }
    }
}

/// Picks a backend server for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    costs: PlacementCosts,
}

impl Placement {
    /// Creates a placement with these costs.
    #[must_use]
    pub const fn new(costs: PlacementCosts) -> Self {
        Self { costs }
    }

    /// Returns the index of the candidate with the least cost for a request with this affinity.
    #[must_use]
    pub fn pick(&self, affinity: Affinity<'_>, candidates: &[Candidate]) -> Option<usize> {
        let ranks = ranks(affinity, candidates);
        let typical = Typical::of(candidates);
        (0..candidates.len()).min_by(|&a, &b| {
            let cost_a = self.cost_ms(affinity, &candidates[a], ranks[a], typical);
            let cost_b = self.cost_ms(affinity, &candidates[b], ranks[b], typical);
            cost_a.partial_cmp(&cost_b).unwrap_or(Ordering::Equal)
        })
    }

    fn cost_ms(
        &self,
        affinity: Affinity<'_>,
        candidate: &Candidate,
        rank: usize,
        typical: Typical,
    ) -> f64 {
        let costs = &self.costs;
        let queued = candidate
            .load
            .saturating_sub(candidate.slots.saturating_sub(1));
        let sharers = candidate.load - queued;
        let (fetch_ms, distance_ms) = if affinity.is_popular {
            (costs.popular_fetch_ms, costs.remote_ms)
        } else {
            (costs.rare_fetch_ms, costs.rare_remote_ms)
        };
        let miss_ms = match candidate.holding {
            Holding::Resident => 0.0,
            Holding::Copied => costs.copy_load_ms,
            Holding::Absent => fetch_ms + rank as f64 * costs.rank_step_ms,
        };
        let remote_ms = if candidate.is_local { 0.0 } else { distance_ms };
        let slowness_ms = (candidate.first_byte_ms - 2.0 * typical.first_byte_ms).max(0.0);
        let failures = (candidate.failure_share - typical.failure_share).max(0.0);
        let slot_ms = match candidate.holding {
            Holding::Resident => 0.0,
            Holding::Copied | Holding::Absent => {
                let full_ms = if candidate.has_available_slot {
                    0.0
                } else {
                    costs.no_slot_ms
                };
                f64::from(candidate.adapters_waiting) * costs.slot_queue_ms + full_ms
            }
        };
        f64::from(sharers).powi(2) * costs.batch_pair_ms
            + candidate.ready_in_ms as f64
            + slot_ms
            + f64::from(queued) * costs.queued_ms
            + miss_ms
            + remote_ms
            + slowness_ms
            + failures * costs.failure_ms
    }
}

/// Returns each candidate's place in the order of the affinity: among all servers for a rare one,
/// within its own or other data centres for a popular one.
fn ranks(affinity: Affinity<'_>, candidates: &[Candidate]) -> Vec<usize> {
    let scores: Vec<u64> = candidates
        .iter()
        .map(|candidate| score(affinity.key, &candidate.name))
        .collect();
    let is_rival = |a: usize, b: usize| {
        !affinity.is_popular || candidates[a].is_local == candidates[b].is_local
    };
    (0..candidates.len())
        .map(|index| {
            (0..candidates.len())
                .filter(|&other| is_rival(index, other) && scores[other] > scores[index])
                .count()
        })
        .collect()
}

/// What is usual among the candidates, so that a common cause counts against none of them.
#[derive(Clone, Copy)]
struct Typical {
    first_byte_ms: f64,
    failure_share: f64,
}

impl Typical {
    fn of(candidates: &[Candidate]) -> Self {
        let times = candidates.iter().map(|candidate| candidate.first_byte_ms);
        Self {
            first_byte_ms: median(times.filter(|&time_ms| time_ms > 0.0)),
            failure_share: median(candidates.iter().map(|candidate| candidate.failure_share)),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
