//! Placement: the choice of a backend server for a request.
//!
//! Each candidate has a cost in milliseconds: the expected time until its answer starts, as its
//! agent measures it, plus the price of what the choice uses (a fetch from the weight store, bytes
//! between data centres) and a penalty for recent failures and slow answers. The candidate with the
//! lowest cost is picked.
//!
//! For an adapter that no engine has, rendezvous hashing ranks the candidates, so that all entries
//! pick the same engine to fetch it without exchanging messages. A rare adapter has one preferred
//! engine in the whole fleet, a popular one has one in each data centre. Requests for it go to
//! further engines once the expected wait costs more than a load.

use {
    super::Holding,
    crate::{Named, rank},
    std::sync::Arc,
};

/// State of a backend server to which a request may be sent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The stable name that is hashed for ranking.
    pub name: Arc<str>,
    /// Whether the server is in the entry's own data centre.
    pub is_local: bool,
    /// The expected time until the answer to a request starts, in milliseconds, without the load of
    /// its adapter.
    pub wait_ms: f64,
    /// The share of recent requests that failed, from 0 to 1.
    pub failure_share: f64,
    /// The recent time to first byte, in milliseconds; 0 if unknown.
    pub first_byte_ms: f64,
    /// Where the server has the adapter.
    pub holding: Holding,
    /// The expected time to load an adapter of which the host has a copy, in milliseconds.
    pub copy_load_ms: f64,
    /// The expected time to fetch an adapter from the weight store, in milliseconds.
    pub fetch_ms: f64,
    /// The expected time until the base model is loaded, in milliseconds; 0 if it is loaded.
    pub ready_in_ms: u64,
}

impl Named for &Candidate {
    fn name(&self) -> &str {
        &self.name
    }
}

/// The affinity of a request for servers, from the adapter that it needs.
#[derive(Clone, Copy, Debug)]
pub struct Affinity<'a> {
    /// The key that is hashed for ranking: the full name of the adapter.
    pub key: &'a str,
    /// Whether requests with this key are frequent in the fleet.
    pub is_popular: bool,
    /// The id of the request, by which requests are spread over servers that are equally good.
    pub request: &'a str,
}

impl<'a> Affinity<'a> {
    /// Recent uses in the fleet from which on an adapter is popular: an engine in each data centre
    /// then saves more bytes between data centres than its fetch costs.
    const POPULAR_USES: u32 = 20;

    /// Creates the affinity of a request for an adapter that was used `uses` times recently in the
    /// fleet, as the agents report.
    #[must_use]
    pub const fn new(key: &'a str, uses: u32, request: &'a str) -> Self {
        Self {
            key,
            is_popular: uses >= Self::POPULAR_USES,
            request,
        }
    }
}

/// Weights of the components of a candidate's cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCosts {
    /// Reduction of the cost of a fetch of a popular adapter, which later requests share, in
    /// milliseconds. It doesn't grow with the time of the fetch: while the weight store is busy, each
    /// further copy of an adapter delays the first copy of another.
    pub popular_fetch_discount_ms: f64,
    /// The smallest cost of a fetch, in milliseconds.
    pub min_fetch_ms: f64,
    /// Cost of each rank below the first, for a server that does not have the adapter, in
    /// milliseconds.
    pub rank_step_ms: f64,
    /// Cost of each rank below the first among the servers that have the adapter, in milliseconds.
    /// These ranks differ between requests, so that entries that see the same server free for a while
    /// do not all pick it.
    pub spread_step_ms: f64,
    /// Cost of a server in another data centre for a popular adapter, in milliseconds.
    pub remote_ms: f64,
    /// Cost of a server in another data centre for a rare adapter, in milliseconds.
    pub rare_remote_ms: f64,
    /// Cost of a server at which all recent requests failed, in milliseconds; a lower failure share
    /// costs less in proportion.
    pub failure_ms: f64,
}

impl Default for PlacementCosts {
    fn default() -> Self {
        Self {
            popular_fetch_discount_ms: 190.0,
            min_fetch_ms: 40.0,
            rank_step_ms: 10.0,
            spread_step_ms: 20.0,
            remote_ms: 60.0,
            rare_remote_ms: 8.0,
            failure_ms: 600.0,
        }
    }
}

/// Returns the expected wait at a plain server that runs `slots` requests at once and has `load`
/// requests, in milliseconds, if work takes `work_percent` of what is usual for its service. Requests delay
/// each other before all slots are in use. The request's own work counts as far as it takes longer than usual.
#[must_use]
pub fn plain_wait_ms(load: u32, slots: u32, work_percent: f64) -> f64 {
    const PAIR_MS: f64 = 1.0;
    const QUEUED_MS: f64 = 15.0;
    /// Work of a request at a server that is as fast as usual.
    const USUAL_WORK_MS: f64 = 40.0;
    let work_factor = work_percent / 100.0;
    let queued = load.saturating_sub(slots.saturating_sub(1));
    let running = load - queued;
    let ahead_ms = f64::from(running).powi(2) * PAIR_MS + f64::from(queued) * QUEUED_MS;
    ahead_ms * work_factor + (work_factor - 1.0) * USUAL_WORK_MS
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
        let typical = Typical::of(candidates);
        let mut costs_ms: Vec<f64> = candidates
            .iter()
            .map(|candidate| self.cost_ms(affinity, candidate, typical))
            .collect();
        let (holders, others): (Vec<usize>, Vec<usize>) = (0..candidates.len())
            .partition(|&index| candidates[index].holding == Holding::Resident);
        self.charge_holder_ranks(affinity, candidates, &holders, &mut costs_ms);
        let best_holder = cheapest(&holders, &costs_ms);
        let best_other = cheapest(&others, &costs_ms);
        if let (Some(holder), Some(other)) = (best_holder, best_other)
            && costs_ms[holder] <= costs_ms[other]
        {
            // Most requests end here, and ranking all servers takes most of the time of a choice.
            return Some(holder);
        }
        self.charge_fetch_ranks(affinity, candidates, &mut costs_ms);
        let all: Vec<usize> = (0..candidates.len()).collect();
        cheapest(&all, &costs_ms)
    }

    /// Adds the cost of the ranks of the servers that have the adapter, which differ between requests.
    fn charge_holder_ranks(
        &self,
        affinity: Affinity<'_>,
        candidates: &[Candidate],
        holders: &[usize],
        costs_ms: &mut [f64],
    ) {
        let servers: Vec<&Candidate> = holders.iter().map(|&index| &candidates[index]).collect();
        let mut next_ranks = NextRanks::default();
        for position in rank(affinity.request, &servers) {
            let next_rank = next_ranks.of(affinity, servers[position]);
            costs_ms[holders[position]] += f64::from(next_rank) * self.costs.spread_step_ms;
        }
    }

    /// Adds the cost of the ranks of the servers that would fetch the adapter, which are the same for
    /// all requests: among all servers for a rare adapter, among the local or among the remote servers
    /// for a popular one.
    fn charge_fetch_ranks(
        &self,
        affinity: Affinity<'_>,
        candidates: &[Candidate],
        costs_ms: &mut [f64],
    ) {
        let servers: Vec<&Candidate> = candidates.iter().collect();
        let mut next_ranks = NextRanks::default();
        for index in rank(affinity.key, &servers) {
            let next_rank = next_ranks.of(affinity, servers[index]);
            if servers[index].holding == Holding::Absent {
                costs_ms[index] += f64::from(next_rank) * self.costs.rank_step_ms;
            }
        }
    }

    /// Returns the cost of a candidate without that of its rank, in milliseconds.
    fn cost_ms(&self, affinity: Affinity<'_>, candidate: &Candidate, typical: Typical) -> f64 {
        let costs = &self.costs;
        let (discount_ms, distance_ms) = if affinity.is_popular {
            (costs.popular_fetch_discount_ms, costs.remote_ms)
        } else {
            (0.0, costs.rare_remote_ms)
        };
        let load_ms = match candidate.holding {
            Holding::Resident => 0.0,
            Holding::Copied => candidate.copy_load_ms,
            Holding::Absent => (candidate.fetch_ms - discount_ms).max(costs.min_fetch_ms),
        };
        let remote_ms = if candidate.is_local { 0.0 } else { distance_ms };
        let slow_ms = (candidate.first_byte_ms - 2.0 * typical.first_byte_ms).max(0.0);
        let excess_failure_share = (candidate.failure_share - typical.failure_share).max(0.0);
        candidate.wait_ms
            + candidate.ready_in_ms as f64
            + load_ms
            + remote_ms
            + slow_ms
            + excess_failure_share * costs.failure_ms
    }
}

/// The next rank to give among the local and among the remote servers.
#[derive(Default)]
struct NextRanks {
    ranks: [u32; 2],
}

impl NextRanks {
    /// Returns the rank of a server and counts it. For a rare adapter, all servers are ranked together.
    fn of(&mut self, affinity: Affinity<'_>, server: &Candidate) -> u32 {
        let place = usize::from(affinity.is_popular && server.is_local);
        let next_rank = &mut self.ranks[place];
        *next_rank += 1;
        *next_rank - 1
    }
}

/// Returns the index with the lowest cost, or `None` if there are no indices.
fn cheapest(indices: &[usize], costs_ms: &[f64]) -> Option<usize> {
    let costs = indices.iter().copied();
    costs.min_by(|&a, &b| costs_ms[a].total_cmp(&costs_ms[b]))
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
