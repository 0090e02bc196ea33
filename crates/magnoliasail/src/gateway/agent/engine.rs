//! Requests, orders and reports of the engine beside the agent.

use {
    super::state::AgentState,
    crate::{
        events::{EventId, emit},
        gateway::{
            header_codec::encode_headers,
            metrics::Stage,
            pool::{SendError, ServerResponse},
        },
    },
    bytes::Bytes,
    hyper::{Method, Request, StatusCode, Uri},
    magnoliasail_core::gateway::{
        EngineRefusal, EngineReport, EngineWatch, MissingReport, Order, OrderOutcome,
        message::{Head, Part, ToEntryKind},
    },
    magnoliasail_platform::{
        DecodeError,
        headers::{self, AttemptHeaders},
        orders, report,
    },
    snafu::{ResultExt, Snafu},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between reports while loads are under way.
const LOADING_POLL: Duration = Duration::from_millis(20);
/// Time between reports otherwise.
const IDLE_POLL: Duration = Duration::from_millis(250);
/// Why a report did not come.
#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the engine answered {status} to a request for its report"))]
    Status { status: StatusCode },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
}

impl ReportError {
    const fn missing(&self) -> MissingReport {
        match self {
            Self::Unreachable { source } if source.is_pool_exhausted() => MissingReport::NotSent,
            _ => MissingReport::Unanswered,
        }
    }
}

/// Asks the engine for reports for as long as the process lives.
pub(super) async fn watch_engine(state: Rc<AgentState>) {
    let mut watch = EngineWatch::default();
    loop {
        let ticket = state.scheduler.borrow().report_ticket();
        match ask_report(&state).await {
            Ok(report) => {
                if watch.record_report() {
                    emit(EventId::EngineRegained, "the engine reports again");
                }
                state.reported(&report, ticket);
            }
            Err(error) => {
                if watch.record_missing(error.missing()) {
                    emit(EventId::EngineLost, error);
                    state.unreachable();
                }
            }
        }
        let poll = if state.scheduler.borrow().has_pending_loads() {
            LOADING_POLL
        } else {
            IDLE_POLL
        };
        let _ = timeout(poll, state.report_wanted.notified()).await;
        if poll == IDLE_POLL {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn ask_report(state: &AgentState) -> Result<EngineReport, ReportError> {
    let request = report::request(&state.engine_address.to_string());
    let (status, body) = state
        .control
        .call(request, REPORT_TIMEOUT)
        .await
        .context(UnreachableSnafu)?;
    if status != StatusCode::OK {
        return StatusSnafu { status }.fail();
    }
    report::decode(&body).context(MalformedSnafu)
}

/// Gives an order and tells the scheduler what became of it.
pub(super) async fn give_order(state: Rc<AgentState>, order: Order) {
    let host = state.engine_address.to_string();
    let request = orders::request(&host, &state.settings.vm_name, &order);
    let outcome = match state.control.call(request, ORDER_TIMEOUT).await {
        Ok((status, _)) => orders::outcome(status),
        Err(error) => {
            emit(EventId::OrderLost, error);
            OrderOutcome::Unknown
        }
    };
    state.ordered(&order, outcome);
}

/// Runs a request at the engine and passes its answer on.
pub(super) async fn run_request(state: Rc<AgentState>, key: u64) {
    let Some((link, attempt)) = state.with_held(key, |held| (held.link, held.submit.attempt))
    else {
        return;
    };
    let started_ms = state.clock.now_ms();
    let stall_limits = state.stall_limits(key);
    let end = match build(&state, key) {
        Some((request, id)) => {
            let sent = state.requests.send(request, id.as_deref(), false);
            match unless_stalled(
                &state,
                stall_limits.map(|stall_limits| stall_limits.head),
                sent,
            )
            .await
            {
                Some(Ok(answer)) => {
                    let gap = stall_limits.map(|stall_limits| stall_limits.gap);
                    pass_on(&state, link, attempt, started_ms, gap, answer).await
                }
                Some(Err(error)) => sent_in_vain(&state, &error),
                None => End::Broken,
            }
        }
        None => End::Refused(EngineRefusal::EngineRefused),
    };
    match end {
        End::Complete => state.send(link, ToEntryKind::End(attempt)),
        End::Broken => state.send(link, ToEntryKind::Broken(attempt)),
        End::Refused(reason) => state.refuse(link, attempt, reason, 0),
    }
    state.ended(key, matches!(end, End::Complete));
    state.tell(link);
}

enum End {
    Complete,
    Broken,
    Refused(EngineRefusal),
}

fn build(state: &AgentState, key: u64) -> Option<(Request<Bytes>, Option<std::sync::Arc<str>>)> {
    state.with_held(key, |held| {
        let version = held
            .adapter
            .as_ref()
            .and_then(|adapter| state.scheduler.borrow().expected_version(adapter));
        let stamp = AttemptHeaders {
            time_left_ms: held.deadline_ms.saturating_sub(state.clock.now_ms()),
            server_id: Some(held.submit.server_id.as_str().into()),
            adapter_version: version,
            rank: Some(held.submit.rank),
            resume_after: held.submit.resume_after,
        };
        let mut request = Request::new(held.submit.body.clone());
        *request.method_mut() = Method::from_bytes(held.submit.method.as_bytes()).ok()?;
        *request.uri_mut() = held.submit.target.parse::<Uri>().ok()?;
        *request.headers_mut() = held.headers.clone();
        headers::set_attempt_headers(request.headers_mut(), &stamp);
        Some((request, held.facts.id.clone()))
    })?
}

/// Gives an answer up that has stalled, where the stream can go on at another engine.
async fn unless_stalled<T>(
    state: &AgentState,
    limit: Option<Duration>,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let Some(limit) = limit else {
        return Some(answer.await);
    };
    let in_time = timeout(limit, answer).await.ok();
    if in_time.is_none() {
        emit(
            EventId::AnswerStalled,
            format_args!("limit_ms={}", limit.as_millis()),
        );
        state.report_wanted.notify_one();
    }
    in_time
}

async fn pass_on(
    state: &AgentState,
    link: u64,
    attempt: u64,
    started_ms: u64,
    gap: Option<Duration>,
    mut answer: ServerResponse,
) -> End {
    if headers::proves_not_run(answer.status, &answer.headers) {
        state.report_wanted.notify_one();
        return End::Refused(EngineRefusal::EngineRefused);
    }
    let head = Head {
        attempt,
        status: u32::from(answer.status.as_u16()),
        headers: encode_headers(&headers::forwarded_to_caller(&answer.headers)),
    };
    let took_ms = state.clock.now_ms().saturating_sub(started_ms);
    state.metrics.observe_stage(Stage::EngineHead, took_ms);
    state.head_took(took_ms);
    state.send(link, ToEntryKind::Head(head));
    loop {
        let part = unless_stalled(state, gap, answer.next_part()).await;
        let Some(part) = part else {
            return End::Broken;
        };
        match part {
            Ok(Some(bytes)) => state.send(link, ToEntryKind::Part(Part { attempt, bytes })),
            Ok(None) => {
                answer.release();
                return End::Complete;
            }
            Err(error) => {
                state.report_wanted.notify_one();
                emit(EventId::AnswerBrokenOff, error);
                return End::Broken;
            }
        }
    }
}

fn sent_in_vain(state: &AgentState, error: &SendError) -> End {
    state.report_wanted.notify_one();
    emit(EventId::AnswerBrokenOff, error);
    if error.is_unsent() {
        End::Refused(EngineRefusal::EngineDown)
    } else {
        End::Broken
    }
}
