//! Metrics of an entry or an agent, written in the text format of Prometheus.

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

/// The label of a counter that is kept per reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub(crate) reason: &'static str,
}

/// Counters, gauges and histograms of an entry or an agent; clones share their values.
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
    /// Registers every metric; the counters of every reason exist from the start, at zero.
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

    /// Counts a refusal by its reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&label(reason.into())).inc();
    }

    /// Counts a retry by its reason.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&label(reason.into())).inc();
    }

    /// Returns the number of refusals by reason, without the reasons that have not occurred.
    pub(crate) fn refusals(&self) -> BTreeMap<&'static str, u64> {
        RefusalReason::iter()
            .map(|reason| {
                let name: &'static str = reason.into();
                (name, self.refusals.get_or_create(&label(name)).get())
            })
            .filter(|&(_, count)| count > 0)
            .collect()
    }

    /// Returns the number of retries by reason, without the reasons that have not occurred.
    pub(crate) fn retries(&self) -> BTreeMap<&'static str, u64> {
        RetryReason::iter()
            .map(|reason| {
                let name: &'static str = reason.into();
                (name, self.retries.get_or_create(&label(name)).get())
            })
            .filter(|&(_, count)| count > 0)
            .collect()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
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
            retries: "Retries, by reason",
            requests: "Requests or attempts received",
            completed: "Requests or attempts completed",
            dropped_frames: "Messages dropped: their attempt had ended, or they were out of order",
            tables_rejected: "Table versions rejected",
            pauses: "Detected pauses of the process",
            duty_restarts: "Restarts of worker threads after a panic",
            links_up: "Links that are up",
            table_version: "Version of the active table, zero for none",
            table_age_ms: "Milliseconds since the active table was confirmed to be current",
            in_flight: "Requests in flight",
            waiting: "Requests that wait to run",
            slots_pinned: "Adapter slots that requests use",
            loads_in_transit: "Adapter loads in progress",
            batch_fill_percent: "Running requests as a percentage of the batch capacity",
            loads: "Adapter loads completed",
            first_token_seconds: "Time from a request to the first part of its response",
            load_stall_seconds: "Time for which requests waited for their adapter to load",
        );
        registry
    }
}

const fn label(reason: &'static str) -> ReasonLabel {
    ReasonLabel { reason }
}
