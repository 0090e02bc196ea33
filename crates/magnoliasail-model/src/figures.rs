//! The figures that a simulation measures.

use {hdrhistogram::Histogram, serde::Serialize, std::collections::BTreeMap};

/// Longest time that the histograms record; longer ones count as this long.
const MAX_RECORDED_MS: u64 = 3_600_000;

/// Figures of one population during the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PopulationFigures {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests among them that completed.
    pub completed: u64,
    /// 99th percentile of the stall, in milliseconds.
    pub stall_p99_ms: u64,
    /// 95th percentile of the time from arrival to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
}

/// Figures of one simulation.
///
/// A request stalls if it has to wait for its adapter, or fails before it runs. Its stall is the
/// time from its arrival until it runs or fails; it is zero for requests that do not stall.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests that arrived during the measurement.
    pub arrived: u64,
    /// Requests among them that completed.
    pub completed: u64,
    /// Share of requests that stalled.
    pub stalled_share: f64,
    /// Mean stall over all requests, in milliseconds.
    pub stall_mean_ms: f64,
    /// Median of the stall, in milliseconds.
    pub stall_p50_ms: u64,
    /// 95th percentile of the stall, in milliseconds.
    pub stall_p95_ms: u64,
    /// 99th percentile of the stall, in milliseconds.
    pub stall_p99_ms: u64,
    /// 95th percentile of the time from arrival to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Mean batch fill of busy engines, from zero to one.
    pub batch_fill: f64,
    /// Loads that agents ordered during the measurement.
    pub loads: u64,
    /// Adapters evicted by those loads.
    pub evictions: u64,
    /// Loads that the store refused because of its rate limit, in the entire simulation.
    pub store_refusals: u64,
    /// Load reports sent during the measurement.
    pub reports: u64,
    /// Size of those reports on the wire, in bytes.
    pub report_bytes: u64,
    /// Share of requests that stalled, for each ten seconds of the measurement.
    pub stalled_by_time: Vec<f64>,
    /// Requests that failed, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Figures of each population, by name.
    pub populations: BTreeMap<String, PopulationFigures>,
}

/// Counts and times of measured requests, of one population or of all.
#[derive(Clone, Debug)]
pub(crate) struct RequestStats {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    pub(crate) stalled: u64,
    pub(crate) stalls: Histogram<u64>,
    pub(crate) first_tokens: Histogram<u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MS, 3)
                .expect("the bounds of the histogram are valid")
        };
        Self {
            arrived: 0,
            completed: 0,
            stalled: 0,
            stalls: histogram(),
            first_tokens: histogram(),
        }
    }
}

impl RequestStats {
    /// Records the stall of one request; zero if it did not stall.
    pub(crate) fn record_stall(&mut self, stall_ms: u64) {
        self.stalls.saturating_record(stall_ms);
        self.stalled += u64::from(stall_ms > 0);
    }

    pub(crate) fn population_figures(&self) -> PopulationFigures {
        PopulationFigures {
            arrived: self.arrived,
            completed: self.completed,
            stall_p99_ms: self.stalls.value_at_quantile(0.99),
            first_token_p95_ms: self.first_tokens.value_at_quantile(0.95),
        }
    }
}
