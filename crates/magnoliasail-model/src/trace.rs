//! The arrivals of a scenario, drawn from its seed.

use {
    crate::scenario::{Scenario, Workload},
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_distr::{Distribution, Exp, Geometric, Zipf},
    rand_pcg::Pcg64,
};

/// Names, shares and priorities of the populations, the most urgent first.
pub(crate) const POPULATIONS: [(&str, u32, u32); 3] =
    [("urgent", 5, 9), ("normal", 3, 5), ("bulk", 2, 1)];
pub(crate) const URGENT: usize = 0;
const NORMAL: usize = 1;
const BULK: usize = 2;
const MEAN_TOKENS: f64 = 80.0;
const MAX_TOKENS: u64 = 600;
const BULK_FACTOR: f64 = 4.0;
const OVERLOAD_FACTOR: f64 = 7.0;
const BULK_ADAPTERS: usize = 40;

/// One request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival, in milliseconds.
    pub at_ms: u64,
    /// Entry at which the request arrives.
    pub entry: usize,
    /// Adapter, by number.
    pub adapter: usize,
    /// Population, by number.
    pub population: usize,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// All arrivals of a scenario, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The arrivals.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Draws the arrivals of a scenario.
    ///
    /// # Panics
    ///
    /// Panics if the scenario has no adapters or no entries, or if its Zipf exponent is not
    /// positive.
    #[must_use]
    pub fn generate(scenario: &Scenario) -> Self {
        let mut random = Pcg64::seed_from_u64(scenario.seed);
        let mut names: Vec<usize> = (0..scenario.adapters).collect();
        names.shuffle(&mut random);
        let rate_per_ms = scenario.deployment.rate_per_s() / 1_000.0;
        let mut arrivals = usual(scenario, &names, rate_per_ms, &mut random);
        let is_bulk = matches!(scenario.workload, Workload::Bulk | Workload::UrgentOverBulk);
        if is_bulk {
            arrivals.extend(bulk(scenario, &names, rate_per_ms, &mut random));
            arrivals.sort_by_key(|arrival| arrival.at_ms);
        }
        Self { arrivals }
    }
}

fn usual(
    scenario: &Scenario,
    names: &[usize],
    rate_per_ms: f64,
    random: &mut Pcg64,
) -> Vec<Arrival> {
    let popularity =
        Zipf::new(scenario.adapters as f64, scenario.zipf_exponent).expect("a positive exponent");
    let gaps = Exp::new(rate_per_ms).expect("a positive rate");
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += gaps.sample(random);
        if at_ms >= scenario.measurement_end_ms() as f64 {
            return arrivals;
        }
        let rank = popularity.sample(random) as usize - 1;
        let has_flipped =
            scenario.workload == Workload::Flip && at_ms >= scenario.measurement_start_ms() as f64;
        let rank = if has_flipped {
            names.len() - 1 - rank
        } else {
            rank
        };
        let population = if random.random_bool(0.3) {
            URGENT
        } else {
            NORMAL
        };
        arrivals.push(arrival(scenario, at_ms, names[rank], population, random));
    }
}

/// Draws a bulk population that works through a few dozen adapters during the measurement.
fn bulk(
    scenario: &Scenario,
    names: &[usize],
    rate_per_ms: f64,
    random: &mut Pcg64,
) -> Vec<Arrival> {
    let factor = match scenario.workload {
        Workload::UrgentOverBulk => OVERLOAD_FACTOR,
        _ => BULK_FACTOR,
    };
    let gaps = Exp::new(factor * rate_per_ms).expect("a positive rate");
    let mut arrivals = Vec::new();
    let mut at_ms = scenario.measurement_start_ms() as f64;
    loop {
        at_ms += gaps.sample(random);
        if at_ms >= scenario.measurement_end_ms() as f64 {
            return arrivals;
        }
        let rank = random.random_range(0..BULK_ADAPTERS.min(names.len()));
        arrivals.push(arrival(scenario, at_ms, names[rank], BULK, random));
    }
}

fn arrival(
    scenario: &Scenario,
    at_ms: f64,
    adapter: usize,
    population: usize,
    random: &mut Pcg64,
) -> Arrival {
    let lengths = Geometric::new(1.0 / MEAN_TOKENS).expect("a probability");
    Arrival {
        at_ms: at_ms as u64,
        entry: random.random_range(0..scenario.entries),
        adapter,
        population,
        tokens: lengths.sample(random).clamp(1, MAX_TOKENS),
    }
}
