//! Prometheus metrics of an entry or an agent on the platform.

use {
    crate::metrics::ReasonLabel,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    magnoliasail_core::gateway::{AdapterReadiness, DiscardReason, PauseSource, QuotaGrant},
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
    serde_json::Value,
    std::{convert::Infallible, rc::Rc, time::Duration},
    strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr},
    tokio::{net::TcpListener, time::sleep},
};

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The path of the status on the metrics port.
const STATUS_PATH: &str = "/status";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabel {
    stage: &'static str,
}

/// Why an attempt was followed by another one, or could not be.
#[derive(Clone, Copy, Debug, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RetryCause {
    /// The agent refused the attempt without sending it to its engine.
    AgentRefused,
    /// The server refused the attempt without running it.
    ServerRefused,
    /// Nothing of the attempt could be sent.
    Unsent,
    /// The response to an idempotent request ended early.
    BrokenOff,
    /// The response to an idempotent request had an error status.
    ServerError,
    /// Another server took over from one that had sent no response for a while.
    Stalled,
    /// A stream was resumed after the last event delivered.
    Resumed,
    /// The retry budget was exhausted, and no attempt followed.
    BudgetSpent,
}

/// What a backend server said in a response about the further work that it wants.
#[derive(Clone, Copy, Debug, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NoticeKind {
    /// The server is leaving; counted once for each start of a server.
    Leaving,
    /// The server asked for a pause.
    Pause,
    /// The server asked for a longer pause than is granted.
    PauseLimited,
    /// The server asked for a pause without a positive number of seconds.
    PauseUnreadable,
    /// The server named a rate of requests, or another one than before.
    Rate,
    /// The server named something that is no rate.
    RateUnreadable,
}

impl From<PauseSource> for NoticeKind {
    fn from(source: PauseSource) -> Self {
        match source {
            PauseSource::Stated => Self::Pause,
            PauseSource::Limited => Self::PauseLimited,
            PauseSource::Unreadable => Self::PauseUnreadable,
        }
    }
}

/// Stage of a request whose duration is measured.
#[derive(Clone, Copy, Debug, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Stage {
    /// From the arrival of a streaming request to the response head.
    StreamHead,
    /// From the arrival of a streaming request to the end of the stream.
    StreamWhole,
    /// From the arrival of a non-streaming request to the complete response.
    PlainWhole,
    /// From the arrival of an attempt at the agent to its start at the engine.
    EngineWait,
    /// The same for attempts whose adapter was in a slot when they arrived, or that need none.
    EngineWaitResident,
    /// The same for attempts whose adapter was being loaded.
    EngineWaitLoading,
    /// The same for attempts whose adapter the engine's host had a copy of.
    EngineWaitCopied,
    /// The same for attempts whose adapter had to be fetched from the weight store.
    EngineWaitAbsent,
    /// From the start of an attempt at the engine to the response head.
    EngineHead,
}

impl Stage {
    /// Returns the stage in which an attempt waits for its engine, by where its adapter was at its arrival.
    pub(super) const fn of_engine_wait(readiness: AdapterReadiness) -> Self {
        match readiness {
            AdapterReadiness::Resident => Self::EngineWaitResident,
            AdapterReadiness::Loading => Self::EngineWaitLoading,
            AdapterReadiness::Copied => Self::EngineWaitCopied,
            AdapterReadiness::Absent => Self::EngineWaitAbsent,
        }
    }
}

/// Metrics of an entry or agent process.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    server_notices: Family<ReasonLabel, Counter>,
    stages: Family<StageLabel, Histogram>,
    pub(super) requests: Counter,
    pub(super) answered: Counter,
    pub(super) streams_broken: Counter,
    pub(super) orders: Counter,
    pub(super) configuration_version: Gauge,
    pub(super) servers: Gauge,
    pub(super) links: Gauge,
    pub(super) fetches_in_transit: Gauge,
    pub(super) fetch_limit: Gauge,
    pub(super) fetches_waiting: Gauge,
    pub(super) waiting: Gauge,
    pub(super) running: Gauge,
    pub(super) crashes: Counter,
    pub(super) quarantined: Gauge,
    pub(super) overlong_responses: Counter,
    pub(super) store_troubles: Counter,
    pub(super) store_era_changes: Counter,
    pub(super) history_read_failures: Counter,
    discarded_store_answers: Family<ReasonLabel, Counter>,
    pub(super) quota_questions: Counter,
    quota_grants: Family<ReasonLabel, Counter>,
}

impl GatewayMetrics {
    /// Creates and registers all metrics. Refusal counters for the reasons in `refusals` are
    /// exported from the start, with value 0.
    pub(super) fn new(refusals: impl Iterator<Item = &'static str>) -> Rc<Self> {
        let mut metrics = Self {
            registry: Registry::with_prefix("magnoliasail_platform"),
            refusals: Family::default(),
            retries: Family::default(),
            server_notices: Family::default(),
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
            fetches_in_transit: Gauge::default(),
            fetch_limit: Gauge::default(),
            fetches_waiting: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            crashes: Counter::default(),
            quarantined: Gauge::default(),
            overlong_responses: Counter::default(),
            store_troubles: Counter::default(),
            store_era_changes: Counter::default(),
            history_read_failures: Counter::default(),
            discarded_store_answers: Family::default(),
            quota_questions: Counter::default(),
            quota_grants: Family::default(),
        };
        for reason in refusals {
            drop(metrics.refusals.get_or_create(&ReasonLabel { reason }));
        }
        for cause in RetryCause::iter() {
            let reason = cause.into();
            drop(metrics.retries.get_or_create(&ReasonLabel { reason }));
        }
        for kind in NoticeKind::iter() {
            let reason = kind.into();
            drop(
                metrics
                    .server_notices
                    .get_or_create(&ReasonLabel { reason }),
            );
        }
        for reason in DiscardReason::iter() {
            metrics.count_discarded_store_answers_by(reason, 0);
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
            retries: "Attempts followed by another, and retries denied by the budget, by reason",
            server_notices: "Servers that said they leave or named a rate, and refusals that asked for a pause, by reason",
            requests: "Requests or attempts received",
            answered: "Requests or attempts answered by a server",
            streams_broken: "Streams that ended early",
            orders: "Orders issued to the engine",
            configuration_version: "Version of the configuration in use",
            servers: "Backend servers in the list",
            links: "Links between entry and agent that are up",
            fetches_in_transit: "Fetches of adapters in transit from the weight store, at the entry that permits them",
            fetch_limit: "Fetches that the weight store carries before they slow each other down, as learned",
            fetches_waiting: "Adapters that wait for a permit to be fetched",
            waiting: "Attempts queued at the agent",
            running: "Requests or attempts in progress",
            crashes: "Crashes of backend servers that broke off requests; an entry may count one more than once",
            quarantined: "Requests and parts of prompts that are refused because they crash backend servers",
            overlong_responses: "Responses of backend servers that were broken off because they exceed a limit",
            store_troubles: "Failed reads of the platform's store; at an entry, of the server list only",
            store_era_changes: "Times the platform's store was seen to be restored from a copy",
            history_read_failures: "Failed reads of the history of the server list in the platform's store",
            quota_questions: "Questions to agents for units of quotas",
            quota_grants: "Answers to questions for units of quotas, by outcome",
            discarded_store_answers: "Responses of the platform's store not used because of their era, by reason",
        );
        registry.register(
            "stage_seconds",
            "Duration of a stage of a request",
            self.stages.clone(),
        );
    }

    pub(super) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn count_retry(&self, cause: RetryCause) {
        let reason = cause.into();
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn count_notice(&self, kind: NoticeKind) {
        let reason = kind.into();
        self.server_notices
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    pub(super) fn count_discarded_store_answer(&self, reason: DiscardReason) {
        self.count_discarded_store_answers_by(reason, 1);
    }

    fn count_discarded_store_answers_by(&self, reason: DiscardReason, count: u64) {
        let reason = reason.into();
        self.discarded_store_answers
            .get_or_create(&ReasonLabel { reason })
            .inc_by(count);
    }

    /// Counts the answer to a question for units of a quota.
    pub(super) fn count_quota_grant(&self, grant: QuotaGrant) {
        let reason = if grant.granted_units > 0 {
            "granted"
        } else {
            "refused"
        };
        self.quota_grants
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    pub(super) fn observe_stage(&self, stage: Stage, duration_ms: u64) {
        let stage = StageLabel {
            stage: stage.into(),
        };
        self.stages
            .get_or_create(&stage)
            .observe(duration_ms as f64 / 1_000.0);
    }

    fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the metrics in the Prometheus text format, and at [`STATUS_PATH`] what `status` returns, until the
/// process exits.
pub(super) async fn serve_metrics<F>(metrics: Rc<GatewayMetrics>, status: F, listener: TcpListener)
where
    F: Fn() -> Value + 'static,
{
    let status = Rc::new(status);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let metrics = Rc::clone(&metrics);
        let status = Rc::clone(&status);
        let service = service_fn(move |request: Request<Incoming>| {
            let (content_type, text) = if request.uri().path() == STATUS_PATH {
                ("application/json", status().to_string())
            } else {
                ("text/plain; version=0.0.4", metrics.encode())
            };
            let mut response = Response::new(Full::new(Bytes::from(text)));
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // An error means that the client has disconnected.
            let _ = connection.await;
        });
    }
}
