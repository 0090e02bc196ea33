//! The figures of a run.

use {hdrhistogram::Histogram, serde::Serialize, std::collections::BTreeMap};

const MAX_MS: u64 = 3_600_000;

/// Figures of one population.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PopulationFigures {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Stall of 99 in 100 requests, in milliseconds.
    pub stall_p99_ms: u64,
    /// Time to the first token of 95 in 100 requests, in milliseconds.
    pub first_token_p95_ms: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests that arrived during the measurement.
    pub arrived: u64,
    /// Requests among them that completed.
    pub completed: u64,
    /// Share of requests that waited for their adapter.
    pub stalled_share: f64,
    /// Mean stall over all requests, in milliseconds.
    pub stall_mean_ms: f64,
    /// Stall of 50 in 100 requests, in milliseconds.
    pub stall_p50_ms: u64,
    /// Stall of 95 in 100 requests, in milliseconds.
    pub stall_p95_ms: u64,
    /// Stall of 99 in 100 requests, in milliseconds.
    pub stall_p99_ms: u64,
    /// Time to the first token of 95 in 100 requests, in milliseconds.
    pub first_token_p95_ms: u64,
    /// Mean fill of the batches of busy engines.
    pub batch_fill: f64,
    /// Loads ordered during the measurement.
    pub loads: u64,
    /// Evictions during the measurement.
    pub evictions: u64,
    /// Loads that the store refused for their rate, in the whole run.
    pub store_refusals: u64,
    /// Load reports sent during the measurement.
    pub reports: u64,
    /// Bytes of those reports on the wire.
    pub report_bytes: u64,
    /// Stalled share in each ten seconds of the measurement.
    pub stalled_by_time: Vec<f64>,
    /// Requests given up, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Figures by population.
    pub populations: BTreeMap<String, PopulationFigures>,
}

/// Times of requests, by population or in all.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    pub(crate) stalled: u64,
    pub(crate) stalls: Histogram<u64>,
    pub(crate) first_tokens: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MS, 3).expect("the bounds of the histogram are valid");
        Self {
            arrived: 0,
            completed: 0,
            stalled: 0,
            stalls: histogram(),
            first_tokens: histogram(),
        }
    }
}

impl Times {
    pub(crate) fn stalled_for(&mut self, stall_ms: u64) {
        self.stalls.saturating_record(stall_ms);
        self.stalled += u64::from(stall_ms > 0);
    }

    pub(crate) fn population(&self) -> PopulationFigures {
        PopulationFigures {
            arrived: self.arrived,
            completed: self.completed,
            stall_p99_ms: self.stalls.value_at_quantile(0.99),
            first_token_p95_ms: self.first_tokens.value_at_quantile(0.95),
        }
    }
}
