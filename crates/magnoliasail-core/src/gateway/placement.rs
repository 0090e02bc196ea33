//! Picks a backend server for a request.
//!
//! Each candidate has a cost in milliseconds: the time for which a request is expected to wait
//! there, what a miss of its adapter costs, the distance, and what recent outcomes say. Servers of
//! the entry's own data centre are ranked by rendezvous hashing of the adapter, so that all entries
//! of a data centre agree without messages which servers keep a copy of it. A popular adapter
//! spills over to the next server in that order once the wait outweighs the miss.

use {
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
    /// The number of its connections or links that failed lately.
    pub is_suspect: bool,
}

/// What the parts of a placement cost, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCosts {
    /// Each request that shares the batch.
    pub sharer_ms: f64,
    /// Each request that waits for a place.
    pub queued_ms: f64,
    /// Each step down the ranking of the adapter.
    pub miss_ms: f64,
    /// The largest cost of a miss.
    pub max_miss_ms: f64,
    /// A server in another data centre.
    pub remote_ms: f64,
    /// A server of which every request failed lately.
    pub failure_ms: f64,
}

impl Default for PlacementCosts {
    fn default() -> Self {
        Self {
            sharer_ms: 3.0,
            queued_ms: 20.0,
            miss_ms: 25.0,
            max_miss_ms: 75.0,
            remote_ms: 60.0,
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
    pub fn pick(&self, affinity: &str, candidates: &[Candidate]) -> Option<usize> {
        let ranks = ranks(affinity, candidates);
        let typical = Typical::of(candidates);
        (0..candidates.len()).min_by(|&a, &b| {
            let cost_a = self.cost_ms(&candidates[a], ranks[a], typical);
            let cost_b = self.cost_ms(&candidates[b], ranks[b], typical);
            cost_a.partial_cmp(&cost_b).unwrap_or(Ordering::Equal)
        })
    }

    fn cost_ms(&self, candidate: &Candidate, rank: usize, typical: Typical) -> f64 {
        let costs = &self.costs;
        let queued = candidate
            .load
            .saturating_sub(candidate.slots.saturating_sub(1));
        let sharers = candidate.load - queued;
        let miss_ms = (rank as f64 * costs.miss_ms).min(costs.max_miss_ms);
        let remote_ms = if candidate.is_local {
            0.0
        } else {
            costs.remote_ms
        };
        let suspect_ms = if candidate.is_suspect {
            costs.failure_ms
        } else {
            0.0
        };
        let slowness_ms = (candidate.first_byte_ms - 2.0 * typical.first_byte_ms).max(0.0);
        let failures = (candidate.failure_share - typical.failure_share).max(0.0);
        f64::from(sharers) * costs.sharer_ms
            + f64::from(queued) * costs.queued_ms
            + miss_ms
            + remote_ms
            + suspect_ms
            + slowness_ms
            + failures * costs.failure_ms
    }
}

/// Returns each candidate's place in the order of the affinity, within its own or other data
/// centres.
fn ranks(affinity: &str, candidates: &[Candidate]) -> Vec<usize> {
    let scores: Vec<u64> = candidates
        .iter()
        .map(|candidate| score(affinity, &candidate.name))
        .collect();
    (0..candidates.len())
        .map(|index| {
            (0..candidates.len())
                .filter(|&other| candidates[other].is_local == candidates[index].is_local)
                .filter(|&other| scores[other] > scores[index])
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
