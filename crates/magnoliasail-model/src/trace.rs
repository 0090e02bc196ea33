//! Random arrivals of a scenario, determined by its seed.

use {
    crate::scenario::{Scenario, Workload},
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_distr::{Distribution, Exp, Geometric, Zipf},
    rand_pcg::Pcg64,
};

/// Name, share and priority of each population, in descending priority.
pub(crate) const POPULATIONS: [(&str, u32, u32); 3] =
    [("urgent", 5, 9), ("normal", 3, 5), ("bulk", 2, 1)];
/// Index of the urgent population.
pub(crate) const URGENT: usize = 0;
const NORMAL: usize = 1;
const BULK: usize = 2;
const MEAN_TOKENS: f64 = 80.0;
const MAX_TOKENS: u64 = 600;
/// Rate of bulk requests, as a multiple of the deployment's rate.
const BULK_FACTOR: f64 = 4.0;
/// As `BULK_FACTOR`, for a bulk rate that fills the engines.
const OVERLOAD_FACTOR: f64 = 7.0;
/// Number of adapters that the bulk population uses.
const BULK_ADAPTERS: usize = 40;

/// The arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival, in milliseconds.
    pub at_ms: u64,
    /// Index of the entry at which the request arrives.
    pub entry: usize,
    /// Index of the adapter.
    pub adapter: usize,
    /// Index of the population.
    pub population: usize,
    /// Number of tokens that the request generates.
    pub tokens: u64,
}

/// All arrivals of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Generates the arrivals of a scenario from its seed.
    ///
    /// # Panics
    ///
    /// Panics if the scenario has no adapters or no entries, or if its Zipf exponent is not
    /// positive.
    #[must_use]
    pub fn generate(scenario: &Scenario) -> Self {
        let mut rng = Pcg64::seed_from_u64(scenario.seed);
        let mut ranking: Vec<usize> = (0..scenario.adapters).collect();
        ranking.shuffle(&mut rng);
        let rate_per_ms = scenario.deployment.rate_per_s() / 1_000.0;
        let mut arrivals = base_arrivals(scenario, &ranking, rate_per_ms, &mut rng);
        let is_bulk = matches!(scenario.workload, Workload::Bulk | Workload::UrgentOverBulk);
        if is_bulk {
            arrivals.extend(bulk_arrivals(scenario, &ranking, rate_per_ms, &mut rng));
            arrivals.sort_by_key(|arrival| arrival.at_ms);
        }
        Self { arrivals }
    }
}

/// Draws the arrivals of the urgent population, three in ten, and of the normal one.
fn base_arrivals(
    scenario: &Scenario,
    ranking: &[usize],
    rate_per_ms: f64,
    rng: &mut Pcg64,
) -> Vec<Arrival> {
    let popularity = Zipf::new(scenario.adapters as f64, scenario.zipf_exponent)
        .expect("the exponent is positive");
    let interarrival_ms = Exp::new(rate_per_ms).expect("the rate is positive");
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += interarrival_ms.sample(rng);
        if at_ms >= scenario.measurement_end_ms() as f64 {
            return arrivals;
        }
        let rank = popularity.sample(rng) as usize - 1;
        let has_flipped =
            scenario.workload == Workload::Flip && at_ms >= scenario.measurement_start_ms() as f64;
        let rank = if has_flipped {
            ranking.len() - 1 - rank
        } else {
            rank
        };
        let population = if rng.random_bool(0.3) { URGENT } else { NORMAL };
        arrivals.push(draw_arrival(
            scenario,
            at_ms,
            ranking[rank],
            population,
            rng,
        ));
    }
}

/// Draws the arrivals of the bulk population, which uses the most popular adapters evenly and is
/// active during the measurement.
fn bulk_arrivals(
    scenario: &Scenario,
    ranking: &[usize],
    rate_per_ms: f64,
    rng: &mut Pcg64,
) -> Vec<Arrival> {
    let factor = match scenario.workload {
        Workload::UrgentOverBulk => OVERLOAD_FACTOR,
        _ => BULK_FACTOR,
    };
    let interarrival_ms = Exp::new(factor * rate_per_ms).expect("the rate is positive");
    let mut arrivals = Vec::new();
    let mut at_ms = scenario.measurement_start_ms() as f64;
    loop {
        at_ms += interarrival_ms.sample(rng);
        if at_ms >= scenario.measurement_end_ms() as f64 {
            return arrivals;
        }
        let rank = rng.random_range(0..BULK_ADAPTERS.min(ranking.len()));
        arrivals.push(draw_arrival(scenario, at_ms, ranking[rank], BULK, rng));
    }
}

/// Draws the entry and the number of tokens of a request.
fn draw_arrival(
    scenario: &Scenario,
    at_ms: f64,
    adapter: usize,
    population: usize,
    rng: &mut Pcg64,
) -> Arrival {
    let lengths = Geometric::new(1.0 / MEAN_TOKENS).expect("the mean is above 1");
    Arrival {
        at_ms: at_ms as u64,
        entry: rng.random_range(0..scenario.entries),
        adapter,
        population,
        tokens: lengths.sample(rng).clamp(1, MAX_TOKENS),
    }
}
