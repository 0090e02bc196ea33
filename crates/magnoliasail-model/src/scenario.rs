//! What is measured: a deployment at its size of today, under a workload.

use strum::{Display, EnumIter, EnumString};

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Bulk work; weighs full batches more; 7 loads a second.
    Cooperative,
    /// Urgent work; weighs load stalls more; 5 loads a second.
    Sahelis,
}

impl Deployment {
    /// Returns the loads that the weight store allows per second.
    #[must_use]
    pub const fn loads_per_s(self) -> f64 {
        match self {
            Self::Cooperative => 7.0,
            Self::Sahelis => 5.0,
        }
    }

    /// Returns the requests per second in the steady state.
    #[must_use]
    pub const fn rate_per_s(self) -> f64 {
        match self {
            Self::Cooperative => 50.0,
            Self::Sahelis => 36.0,
        }
    }

    /// Returns the weights of load stalls and of full batches.
    #[must_use]
    pub const fn weights(self) -> (f64, f64) {
        match self {
            Self::Cooperative => (1.0, 2.0),
            Self::Sahelis => (2.0, 0.25),
        }
    }
}

/// A workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Workload {
    /// The usual mix.
    Steady,
    /// A bulk population adds several times the usual rate.
    Bulk,
    /// An urgent population over a bulk one that fills the engines.
    UrgentOverBulk,
    /// The hot adapters change at the start of the measurement.
    Flip,
    /// A third of the runners restart cold at the start of the measurement.
    ColdRestart,
    /// Load reports come late.
    LateReports,
    /// One load in ten fails.
    FailingStore,
}

/// A deployment under a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The deployment.
    pub deployment: Deployment,
    /// The workload.
    pub workload: Workload,
    /// Seed of the trace.
    pub seed: u64,
    /// Time before the measurement, in seconds.
    pub warm_up_s: u64,
    /// Time of the measurement, in seconds.
    pub measured_s: u64,
    /// Runners in the whole fleet.
    pub runners: usize,
    /// Entries in the whole fleet.
    pub entries: usize,
    /// Adapters.
    pub adapters: usize,
    /// Adapter slots of a runner.
    pub slots: usize,
    /// Requests that a runner runs at once.
    pub capacity: usize,
    /// Exponent of the Zipf distribution of requests over adapters.
    pub zipf_exponent: f64,
}

impl Scenario {
    /// Creates a scenario at the size of today: three data centres of 20 runners and 3,000 adapters.
    #[must_use]
    pub const fn new(deployment: Deployment, workload: Workload) -> Self {
        Self {
            deployment,
            workload,
            seed: 1,
            warm_up_s: 240,
            measured_s: 120,
            runners: 60,
            entries: 6,
            adapters: 3_000,
            slots: 8,
            capacity: 16,
            zipf_exponent: 1.2,
        }
    }

    /// Changes the times, in seconds.
    #[must_use]
    pub const fn with_seconds(mut self, warm_up_s: u64, measured_s: u64) -> Self {
        self.warm_up_s = warm_up_s;
        self.measured_s = measured_s;
        self
    }

    /// Changes the seed.
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
