//! A lower bound on the misses of any policy that loads adapters on demand.
//!
//! The bound treats all slots of the fleet as one cache and, knowing all future requests, evicts
//! the adapter whose next request is furthest away (Bélády's algorithm). No policy that loads on
//! demand has fewer misses.

use {
    crate::{Scenario, Trace},
    std::collections::{BTreeSet, HashMap},
};

/// The bound of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClairvoyantBound {
    /// Smallest possible share of requests whose adapter is not resident, during the measurement.
    pub missed_share: f64,
    /// Smallest possible number of misses during the measurement.
    pub misses: u64,
    /// Loads that the rate limit of the weight store allows during the measurement.
    pub allowed_loads: u64,
}

/// Computes the bound of a scenario.
#[must_use]
pub fn clairvoyant_bound(scenario: &Scenario) -> ClairvoyantBound {
    let trace = Trace::generate(scenario);
    let next_uses = next_uses(&trace);
    let slots = scenario.engines * scenario.slots;
    let mut residents: HashMap<usize, usize> = HashMap::new();
    let mut by_next_use: BTreeSet<(usize, usize)> = BTreeSet::new();
    let (mut misses, mut requests) = (0, 0);
    for (index, arrival) in trace.arrivals.iter().enumerate() {
        let is_measured = arrival.at_ms >= scenario.measurement_start_ms();
        requests += u64::from(is_measured);
        if let Some(&next_use) = residents.get(&arrival.adapter) {
            by_next_use.remove(&(next_use, arrival.adapter));
        } else {
            misses += u64::from(is_measured);
            if residents.len() >= slots
                && let Some((_, evicted)) = by_next_use.pop_last()
            {
                residents.remove(&evicted);
            }
        }
        residents.insert(arrival.adapter, next_uses[index]);
        by_next_use.insert((next_uses[index], arrival.adapter));
    }
    ClairvoyantBound {
        missed_share: misses as f64 / requests.max(1) as f64,
        misses,
        allowed_loads: (scenario.deployment.loads_per_s() * scenario.measured_s as f64) as u64,
    }
}

/// Returns, for each arrival, the index of the next arrival for the same adapter.
///
/// The index is `usize::MAX` for the last arrival of an adapter.
fn next_uses(trace: &Trace) -> Vec<usize> {
    let mut earliest: HashMap<usize, usize> = HashMap::new();
    let mut next_uses = vec![usize::MAX; trace.arrivals.len()];
    for (index, arrival) in trace.arrivals.iter().enumerate().rev() {
        if let Some(next_use) = earliest.insert(arrival.adapter, index) {
            next_uses[index] = next_use;
        }
    }
    next_uses
}
