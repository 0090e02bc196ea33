//! Counters and histograms of an entry or an agent on the platform.

use {
    crate::metrics::ReasonLabel,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Response, header::CONTENT_TYPE, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
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
    std::{convert::Infallible, rc::Rc, time::Duration},
    strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr},
    tokio::{net::TcpListener, time::sleep},
};

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabel {
    stage: &'static str,
}

/// Why an attempt is followed by another.
#[derive(Clone, Copy, Debug, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RetryCause {
    /// An agent refused; no server has seen the request.
    AgentRefused,
    /// A server refused; the request has not run.
    ServerRefused,
    /// Nothing could be sent.
    Unsent,
    /// The server broke off an answer to an idempotent request.
    BrokenOff,
    /// The server answered an idempotent request with a failure.
    ServerError,
    /// A stream goes on after its last event.
    Resumed,
    /// A retry was due and the budget had no room for it.
    BudgetSpent,
}

/// A part of a request's time.
#[derive(Clone, Copy, Debug, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Stage {
    /// From a request's arrival to the head of a stream's answer.
    StreamHead,
    /// From a request's arrival to the end of its stream.
    StreamWhole,
    /// From a plain request's arrival to its whole answer.
    PlainWhole,
    /// From an attempt's arrival at its agent to its start at the engine.
    EngineWait,
    /// From an attempt's start at the engine to the head of its answer.
    EngineHead,
}

/// Counters and histograms of a process.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    stages: Family<StageLabel, Histogram>,
    pub(super) requests: Counter,
    pub(super) answered: Counter,
    pub(super) streams_broken: Counter,
    pub(super) orders: Counter,
    pub(super) configuration_version: Gauge,
    pub(super) servers: Gauge,
    pub(super) links: Gauge,
    pub(super) waiting: Gauge,
    pub(super) running: Gauge,
    pub(super) store_troubles: Counter,
}

impl GatewayMetrics {
    /// Registers all metrics; `refusals` are the reasons that start at zero.
    pub(super) fn new(refusals: impl Iterator<Item = &'static str>) -> Rc<Self> {
        let mut metrics = Self {
            registry: Registry::with_prefix("magnoliasail_platform"),
            refusals: Family::default(),
            retries: Family::default(),
            stages: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.002, 2.0, 13))
            }),
            requests: Counter::default(),
            answered: Counter::default(),
            streams_broken: Counter::default(),
            orders: Counter::default(),
            configuration_version: Gauge::default(),
            servers: Gauge::default(),
            links: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            store_troubles: Counter::default(),
        };
        for reason in refusals {
            drop(metrics.refusals.get_or_create(&ReasonLabel { reason }));
        }
        for cause in RetryCause::iter() {
            let reason = cause.into();
            drop(metrics.retries.get_or_create(&ReasonLabel { reason }));
        }
        metrics.register();
        Rc::new(metrics)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        macro_rules! register {
            ($($field:ident: $help:literal),* $(,)?) => {
                $(registry.register(stringify!($field), $help, self.$field.clone());)*
            };
        }
        register!(
            refusals: "Requests or attempts refused, by reason",
            retries: "Attempts that were followed by another, by reason",
            requests: "Requests or attempts received",
            answered: "Requests or attempts answered by a server",
            streams_broken: "Streams that were broken off",
            orders: "Orders given to the engine",
            configuration_version: "Version of the configuration in force",
            servers: "Backend servers in the list",
            links: "Links that are up",
            waiting: "Attempts that wait at the agent",
            running: "Requests or attempts under way",
            store_troubles: "Reads of the platform's store that failed",
        );
        registry.register("stage_seconds", "Time of a stage", self.stages.clone());
    }

    pub(super) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn count_retry(&self, cause: RetryCause) {
        let reason = cause.into();
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn observe_stage(&self, stage: Stage, time_ms: u64) {
        let stage = StageLabel {
            stage: stage.into(),
        };
        self.stages
            .get_or_create(&stage)
            .observe(time_ms as f64 / 1_000.0);
    }

    fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the metrics of a process as text for as long as it lives.
pub(super) async fn serve_metrics(metrics: Rc<GatewayMetrics>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let metrics = Rc::clone(&metrics);
        let service = service_fn(move |_| {
            let mut response = Response::new(Full::new(Bytes::from(metrics.encode())));
            let text = "text/plain; version=0.0.4"
                .parse()
                .expect("a header's value");
            response.headers_mut().insert(CONTENT_TYPE, text);
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // Whoever asked has gone.
            let _ = connection.await;
        });
    }
}
