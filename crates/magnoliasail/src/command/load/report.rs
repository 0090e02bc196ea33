//! The report of a load: counts, errors and latency percentiles.

use {
    super::client::Outcome,
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

const MAX_LATENCY_US: u64 = 600_000_000;
const MAX_SHOWN_ERRORS: usize = 10;

/// Counts, errors and latencies of a load; histograms are in microseconds.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) not_sent: u64,
    right: u64,
    jobs: u64,
    wrong: Vec<String>,
    doubled: Vec<String>,
    refused: BTreeMap<String, u64>,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
    direct: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds of the histogram are valid")
        };
        Self {
            not_sent: 0,
            right: 0,
            jobs: 0,
            wrong: Vec::new(),
            doubled: Vec::new(),
            refused: BTreeMap::new(),
            first_byte: histogram(),
            total: histogram(),
            direct: histogram(),
        }
    }
}

impl Report {
    pub(super) fn add(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Right {
                is_job,
                first_byte,
                total,
            } => {
                self.right += 1;
                if *is_job {
                    self.jobs += 1;
                } else {
                    record(&mut self.first_byte, *first_byte);
                    record(&mut self.total, *total);
                }
            }
            Outcome::Refused { code, outcome } => {
                let name = format!("{code}/{outcome}");
                *self.refused.entry(name).or_default() += 1;
            }
            Outcome::Wrong(error) => self.wrong.push(error.clone()),
            Outcome::Doubled(error) => self.doubled.push(error.clone()),
        }
    }

    /// Adds the duration of a direct call of an engine.
    pub(super) fn add_direct(&mut self, total: Duration) {
        record(&mut self.direct, total);
    }

    /// Returns `true` if no answer was wrong or missing and no job ran twice.
    pub(super) const fn is_clean(&self) -> bool {
        self.wrong.is_empty() && self.doubled.is_empty()
    }

    pub(super) fn to_json(&self) -> Value {
        json!({
            "right": self.right,
            "jobs": self.jobs,
            "wrong": self.wrong.len(),
            "doubled": self.doubled.len(),
            "not_sent": self.not_sent,
            "refused": self.refused,
            "first_byte_us": percentiles(&self.first_byte),
            "whole_us": percentiles(&self.total),
            "direct_us": percentiles(&self.direct),
            "errors": self.errors(),
        })
    }

    /// Returns the first errors of the load.
    fn errors(&self) -> Vec<&String> {
        self.wrong
            .iter()
            .chain(&self.doubled)
            .take(MAX_SHOWN_ERRORS)
            .collect()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "right {} (jobs {}), wrong {}, doubled {}, not sent {}",
            self.right,
            self.jobs,
            self.wrong.len(),
            self.doubled.len(),
            self.not_sent,
        )?;
        writeln!(f, "refused {:?}", self.refused)?;
        writeln!(f, "first byte, us {}", percentiles(&self.first_byte))?;
        writeln!(f, "whole answer, us {}", percentiles(&self.total))?;
        if !self.direct.is_empty() {
            writeln!(f, "direct call, us {}", percentiles(&self.direct))?;
        }
        for error in self.errors() {
            writeln!(f, "! {error}")?;
        }
        Ok(())
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros() as u64);
}

fn percentiles(histogram: &Histogram<u64>) -> Value {
    json!({
        "count": histogram.len(),
        "p50": histogram.value_at_quantile(0.50),
        "p95": histogram.value_at_quantile(0.95),
        "p99": histogram.value_at_quantile(0.99),
        "max": histogram.max(),
    })
}
