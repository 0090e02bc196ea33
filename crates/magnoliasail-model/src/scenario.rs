//! Scenarios: a deployment at its present size, under a workload.

use strum::{Display, EnumIter, EnumString};

/// A deployment, with its request rate and the operators' weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Mostly bulk work, so full batches weigh more than load stalls.
    Cooperative,
    /// Mostly urgent work, so load stalls weigh more than full batches.
    Sahelis,
}

impl Deployment {
    /// Returns the rate limit of the weight store, in loads per second.
    #[must_use]
    pub const fn loads_per_s(self) -> f64 {
        match self {
            Self::Cooperative => 7.0,
            Self::Sahelis => 5.0,
        }
    }

    /// Returns the request rate of the urgent and normal populations, in requests per second.
    #[must_use]
    pub const fn rate_per_s(self) -> f64 {
        match self {
            Self::Cooperative => 50.0,
            Self::Sahelis => 36.0,
        }
    }

    /// Returns the weight of load stalls and the weight of full batches.
    #[must_use]
    pub const fn weights(self) -> (f64, f64) {
        match self {
            Self::Cooperative => (1.0, 2.0),
            Self::Sahelis => (2.0, 0.25),
        }
    }
}

/// A request pattern or a fault to which a deployment is exposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Workload {
    /// Urgent and normal requests at the rate of the deployment.
    Steady,
    /// A bulk population adds several times the usual rate during the measurement.
    Bulk,
    /// As `Bulk`, but at a rate that fills the engines, so that urgent requests compete with bulk.
    UrgentOverBulk,
    /// The order of the adapters by popularity is reversed at the start of the measurement.
    Flip,
    /// A third of the engines crash at the start of the measurement and restart without adapters.
    ColdRestart,
    /// Load reports arrive late.
    LateReports,
    /// One adapter load in ten fails.
    FailingStore,
}

/// A deployment under a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Deployment that is simulated.
    pub deployment: Deployment,
    /// Workload to which the deployment is exposed.
    pub workload: Workload,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Duration of the warm-up before the measurement, in seconds.
    pub warm_up_s: u64,
    /// Duration of the measurement, in seconds.
    pub measured_s: u64,
    /// Number of model engines in the fleet, each of which has an agent.
    pub engines: usize,
    /// Number of entries in the fleet.
    pub entries: usize,
    /// Number of adapters in the table.
    pub adapters: usize,
    /// Number of adapter slots of each engine.
    pub slots: usize,
    /// Maximum number of requests that an engine runs concurrently.
    pub capacity: usize,
    /// Exponent of the Zipf distribution of requests over adapters.
    pub zipf_exponent: f64,
}

impl Scenario {
    /// Creates a scenario at the present size: three data centres of 20 engines, 3,000 adapters.
    #[must_use]
    pub const fn new(deployment: Deployment, workload: Workload) -> Self {
        Self {
            deployment,
            workload,
            seed: 1,
            warm_up_s: 240,
            measured_s: 120,
            engines: 60,
            entries: 6,
            adapters: 3_000,
            slots: 8,
            capacity: 16,
            zipf_exponent: 1.2,
        }
    }

    /// Sets the durations of the warm-up and of the measurement, in seconds.
    #[must_use]
    pub const fn with_seconds(mut self, warm_up_s: u64, measured_s: u64) -> Self {
        self.warm_up_s = warm_up_s;
        self.measured_s = measured_s;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the time at which the measurement starts, in milliseconds.
    #[must_use]
    pub const fn measurement_start_ms(&self) -> u64 {
        self.warm_up_s * 1_000
    }

    /// Returns the time at which the measurement and the arrivals end, in milliseconds.
    #[must_use]
    pub const fn measurement_end_ms(&self) -> u64 {
        (self.warm_up_s + self.measured_s) * 1_000
    }
}
