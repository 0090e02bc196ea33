//! Metrics of a process, in the text format of `prometheus-client`.

use {
    magnoliasail_core::{RefusalReason, RetryReason},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{collections::BTreeMap, sync::Arc},
    strum::IntoEnumIterator,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub(crate) reason: &'static str,
}

/// Counters, gauges and histograms of an entry or an agent.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    pub(crate) requests: Counter,
    pub(crate) completed: Counter,
    pub(crate) dropped_frames: Counter,
    pub(crate) tables_rejected: Counter,
    pub(crate) pauses: Counter,
    pub(crate) duty_restarts: Gauge,
    pub(crate) links_up: Gauge,
    pub(crate) table_version: Gauge,
    pub(crate) table_age_ms: Gauge,
    pub(crate) in_flight: Gauge,
    pub(crate) waiting: Gauge,
    pub(crate) slots_pinned: Gauge,
    pub(crate) loads_in_transit: Gauge,
    pub(crate) batch_fill_percent: Gauge,
    pub(crate) loads: Counter,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) load_stall_seconds: Histogram,
}

impl Metrics {
    /// Registers every metric; counters of all reasons start at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            refusals: Family::default(),
            retries: Family::default(),
            requests: Counter::default(),
            completed: Counter::default(),
            dropped_frames: Counter::default(),
            tables_rejected: Counter::default(),
            pauses: Counter::default(),
            duty_restarts: Gauge::default(),
            links_up: Gauge::default(),
            table_version: Gauge::default(),
            table_age_ms: Gauge::default(),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            slots_pinned: Gauge::default(),
            loads_in_transit: Gauge::default(),
            batch_fill_percent: Gauge::default(),
            loads: Counter::default(),
            first_token_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
            load_stall_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
        };
        for reason in RefusalReason::iter() {
            drop(metrics.refusals.get_or_create(&label(reason.into())));
        }
        for reason in RetryReason::iter() {
            drop(metrics.retries.get_or_create(&label(reason.into())));
        }
        metrics.registry = Arc::new(metrics.register());
        metrics
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&label(reason.into())).inc();
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&label(reason.into())).inc();
    }

    /// Returns the refusals by reason that have occurred.
    pub(crate) fn refusals(&self) -> BTreeMap<&'static str, u64> {
        RefusalReason::iter()
            .map(|reason| {
                let name: &'static str = reason.into();
                (name, self.refusals.get_or_create(&label(name)).get())
            })
            .filter(|&(_, count)| count > 0)
            .collect()
    }

    /// Returns the retries by reason that have occurred.
    pub(crate) fn retries(&self) -> BTreeMap<&'static str, u64> {
        RetryReason::iter()
            .map(|reason| {
                let name: &'static str = reason.into();
                (name, self.retries.get_or_create(&label(name)).get())
            })
            .filter(|&(_, count)| count > 0)
            .collect()
    }

    /// Returns all metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("magnoliasail");
        macro_rules! register {
            ($($field:ident: $help:literal),* $(,)?) => {
                $(registry.register(stringify!($field), $help, self.$field.clone());)*
            };
        }
        register!(
            refusals: "Requests or attempts refused, by reason",
            retries: "Attempts repeated, by reason",
            requests: "Requests or attempts received",
            completed: "Requests or attempts completed",
            dropped_frames: "Frames of attempts that were over",
            tables_rejected: "Table versions rejected",
            pauses: "Pauses of the process that were detected",
            duty_restarts: "Restarts of duties after a panic",
            links_up: "Links that are up",
            table_version: "Table version in force",
            table_age_ms: "Time since the table in force was confirmed",
            in_flight: "Requests in flight",
            waiting: "Requests that wait",
            slots_pinned: "Adapter slots in use",
            loads_in_transit: "Loads under way",
            batch_fill_percent: "Share of the batch in use",
            loads: "Loads completed",
            first_token_seconds: "Time until the first part of an answer",
            load_stall_seconds: "Time for which requests waited for their adapter",
        );
        registry
    }
}

const fn label(reason: &'static str) -> ReasonLabel {
    ReasonLabel { reason }
}
