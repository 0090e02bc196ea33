//! Placement: the choice of a backend server for a request.
//!
//! Each candidate has a cost in milliseconds, the sum of the expected wait, the load of the
//! adapter, the distance and a penalty for recent failures and slow answers. The candidate with
//! the lowest cost is picked.
//!
//! For an adapter that no engine has, rendezvous hashing ranks the candidates, so that all entries
//! pick the same engine to fetch it without exchanging messages. A rare adapter has one preferred
//! engine in the whole fleet, a popular one has one in each data centre. Requests for it go to
//! further engines once the expected wait costs more than a load.

use {
    super::Holding,
    crate::score,
    std::{cmp::Ordering, sync::Arc},
};

/// State of a backend server to which a request may be sent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The stable name that is hashed for ranking.
    pub name: Arc<str>,
    /// Whether the server is in the entry's own data centre.
    pub is_local: bool,
    /// The number of requests known to run or wait at the server.
    pub load: u32,
    /// The maximum number of requests that the server runs at once.
    pub slots: u32,
    /// The share of recent requests that failed, from 0 to 1.
    pub failure_share: f64,
    /// The recent time to first byte, in milliseconds; 0 if unknown.
    pub first_byte_ms: f64,
    /// Where the server has the adapter.
    pub holding: Holding,
    /// The number of adapters that wait for a slot.
    pub adapters_waiting: u32,
    /// Whether one more adapter would get a slot at once.
    pub has_available_slot: bool,
    /// The expected time until the base model is loaded, in milliseconds; 0 if it is loaded.
    pub ready_in_ms: u64,
}

/// The affinity of a request for servers, from the adapter that it needs.
#[derive(Clone, Copy, Debug)]
pub struct Affinity<'a> {
    /// The key that is hashed for ranking: the full name of the adapter.
    pub key: &'a str,
    /// Whether requests with this key are frequent at this entry.
    pub is_popular: bool,
}

/// Weights of the components of a candidate's cost, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCosts {
    /// Cost of each pair of requests in the batch, whose prompts delay each other.
    pub batch_pair_ms: f64,
    /// Cost of each request that waits for a place in the batch.
    pub queued_ms: f64,
    /// Cost of a load from a copy in the memory of the engine's host.
    pub copy_load_ms: f64,
    /// Cost of a fetch of a popular adapter. It is low because later requests share the fetch.
    pub popular_fetch_ms: f64,
    /// Cost of a fetch of a rare adapter, which delays the request and takes up the weight store.
    pub rare_fetch_ms: f64,
    /// Cost of each adapter that waits for a slot ahead of the one to load.
    pub slot_queue_ms: f64,
    /// Cost of a load while all slots are in use.
    pub no_slot_ms: f64,
    /// Cost of each rank below the first, for a server that does not have the adapter.
    pub rank_step_ms: f64,
    /// Cost of a server in another data centre for a popular adapter.
    pub remote_ms: f64,
    /// Cost of a server in another data centre for a rare adapter.
    pub rare_remote_ms: f64,
    /// Cost of a server at which all recent requests failed; a lower failure share costs less in
    /// proportion.
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

/// Picks the backend server with the lowest cost for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    costs: PlacementCosts,
}

impl Placement {
    /// Creates a placement with the given cost weights.
    #[must_use]
    pub const fn new(costs: PlacementCosts) -> Self {
        Self { costs }
    }

    /// Returns the index of the candidate with the lowest cost for a request with this affinity, or
    /// `None` if there are no candidates.
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
        let batched = candidate.load - queued;
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
        let slow_ms = (candidate.first_byte_ms - 2.0 * typical.first_byte_ms).max(0.0);
        let excess_failure_share = (candidate.failure_share - typical.failure_share).max(0.0);
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
        f64::from(batched).powi(2) * costs.batch_pair_ms
            + candidate.ready_in_ms as f64
            + slot_ms
            + f64::from(queued) * costs.queued_ms
            + miss_ms
            + remote_ms
            + slow_ms
            + excess_failure_share * costs.failure_ms
    }
}

/// Returns the rank of each candidate by rendezvous hashing, 0 first: among all servers for a rare
/// adapter, among the local or among the remote servers for a popular one.
fn ranks(affinity: Affinity<'_>, candidates: &[Candidate]) -> Vec<usize> {
    let scores: Vec<u64> = candidates
        .iter()
        .map(|candidate| score(affinity.key, &candidate.name))
        .collect();
    let is_ranked_together = |a: usize, b: usize| {
        !affinity.is_popular || candidates[a].is_local == candidates[b].is_local
    };
    (0..candidates.len())
        .map(|index| {
            (0..candidates.len())
                .filter(|&other| is_ranked_together(index, other) && scores[other] > scores[index])
                .count()
        })
        .collect()
}

/// Medians over the candidates. Only deviations from them count, so that a cause common to all
/// servers penalises none.
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
