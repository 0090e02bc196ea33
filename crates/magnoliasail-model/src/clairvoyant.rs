//! What knowledge of the future could give.
//!
//! The bound pools all slots of the fleet, loads on demand and evicts the adapter whose next
//! request is furthest away. No policy that loads on demand has fewer misses.

use {
    crate::{Scenario, Trace},
    std::collections::{BTreeSet, HashMap},
};

/// The bound of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClairvoyantBound {
    /// Least share of requests that find their adapter absent, in the measurement.
    pub missed_share: f64,
    /// Misses in the measurement.
    pub misses: u64,
    /// Loads that the store allows in the measurement.
    pub allowed_loads: u64,
}

/// Computes the bound of a scenario.
#[must_use]
pub fn clairvoyant_bound(scenario: &Scenario) -> ClairvoyantBound {
    let trace = Trace::generate(scenario);
    let next = next_uses(&trace);
    let slots = scenario.runners * scenario.slots;
    let mut resident: HashMap<usize, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, usize)> = BTreeSet::new();
    let (mut misses, mut requests) = (0, 0);
    for (index, arrival) in trace.arrivals.iter().enumerate() {
        let is_measured = arrival.at_ms >= scenario.measurement_start_ms();
        requests += u64::from(is_measured);
        if let Some(&known) = resident.get(&arrival.adapter) {
            by_next.remove(&(known, arrival.adapter));
        } else {
            misses += u64::from(is_measured);
            if resident.len() >= slots
                && let Some((_, evicted)) = by_next.pop_last()
            {
                resident.remove(&evicted);
            }
        }
        resident.insert(arrival.adapter, next[index]);
        by_next.insert((next[index], arrival.adapter));
    }
    ClairvoyantBound {
        missed_share: misses as f64 / requests.max(1) as f64,
        misses,
        allowed_loads: (scenario.deployment.loads_per_s() * scenario.measured_s as f64) as u64,
    }
}

/// Returns, for each arrival, the index of the next one of its adapter.
fn next_uses(trace: &Trace) -> Vec<usize> {
    let mut later: HashMap<usize, usize> = HashMap::new();
    let mut next = vec![usize::MAX; trace.arrivals.len()];
    for (index, arrival) in trace.arrivals.iter().enumerate().rev() {
        if let Some(use_index) = later.insert(arrival.adapter, index) {
            next[index] = use_index;
        }
    }
    next
}
