//! Communication with the model engine: requests, orders and reports.

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

/// Time between comparisons of the engine's state with the one that entries have.
const STATE_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between reports while a load is in progress or the engine's state is unknown.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between reports otherwise.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Error when requesting a report.
#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the engine responded to the request for its report with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
}

impl ReportError {
    const fn missing_report(&self) -> MissingReport {
        match self {
            Self::Unreachable { source } if source.is_pool_exhausted() => MissingReport::NotSent,
            _ => MissingReport::Unanswered,
        }
    }
}

/// Requests reports from the engine until the process exits. A notification of
/// `report_requested` requests the next one at once.
pub(super) async fn poll_engine_reports(state: Rc<AgentState>) {
    let mut watch = EngineWatch::default();
    loop {
        let ticket = state.scheduler.borrow().report_ticket();
        match request_report(&state).await {
            Ok(report) => {
                if watch.record_report() {
                    emit(EventId::EngineRegained, "the engine sends reports again");
                }
                state.apply_report(&report, ticket);
            }
            Err(error) => {
                if watch.record_missing(error.missing_report()) {
                    emit(EventId::EngineLost, error);
                    state.mark_engine_unreachable();
                }
            }
        }
        let poll_interval = if state.scheduler.borrow().has_pending_loads() {
            LOADING_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        let _ = timeout(poll_interval, state.report_requested.notified()).await;
        if poll_interval == IDLE_POLL_INTERVAL {
            // Limits the rate of reports if they are requested in quick succession.
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Keeps the entries informed of the engine's state until the process exits.
pub(super) async fn report_engine_state(state: Rc<AgentState>) {
    loop {
        sleep(STATE_INTERVAL).await;
        state.broadcast_changed_engine_state();
    }
}

async fn request_report(state: &AgentState) -> Result<EngineReport, ReportError> {
    let request = report::request(&state.engine_address.to_string());
    let response = state
        .control_pool
        .call(request, REPORT_TIMEOUT)
        .await
        .context(UnreachableSnafu)?;
    let status = response.status();
    if status != StatusCode::OK {
        return StatusSnafu { status }.fail();
    }
    report::decode(response.body()).context(MalformedSnafu)
}

/// Sends an order to the engine and records its outcome.
pub(super) async fn send_order(state: Rc<AgentState>, order: Order) {
    let host = state.engine_address.to_string();
    let request = orders::request(&host, &state.settings.vm_name, &order);
    let outcome = match state.control_pool.call(request, ORDER_TIMEOUT).await {
        Ok(response) => orders::outcome(response.status()),
        Err(error) => {
            emit(EventId::OrderLost, error);
            OrderOutcome::Unknown
        }
    };
    state.record_order_outcome(&order, outcome);
}

/// Runs a request on the engine and forwards the response to the entry.
pub(super) async fn run_request(state: Rc<AgentState>, key: u64) {
    let Some((link, attempt)) =
        state.with_request(key, |request| (request.link, request.submit.attempt))
    else {
        return;
    };
    let started_ms = state.clock.now_ms();
    let stall_timeouts = state.stall_timeouts(key);
    let end = match build_request(&state, key) {
        Some((request, id)) => {
            let response = state.request_pool.send(request, id.as_deref(), false);
            match with_stall_timeout(
                &state,
                stall_timeouts.map(|stall_timeouts| stall_timeouts.head),
                response,
            )
            .await
            {
                Some(Ok(response)) => {
                    let part_timeout =
                        stall_timeouts.map(|stall_timeouts| stall_timeouts.between_parts);
                    forward_response(&state, key, started_ms, part_timeout, response).await
                }
                Some(Err(error)) => handle_send_error(&state, &error),
                None => AttemptEnd::Aborted,
            }
        }
        None => AttemptEnd::Refused(EngineRefusal::EngineRefused),
    };
    match end {
        AttemptEnd::Complete => state.send(link, ToEntryKind::End(attempt)),
        AttemptEnd::Aborted => state.send(link, ToEntryKind::Broken(attempt)),
        AttemptEnd::Refused(reason) => state.refuse(link, attempt, reason, 0),
    }
    state.finish(key, matches!(end, AttemptEnd::Complete));
    state.send_engine_state(link);
}

/// How an attempt at the engine ended.
enum AttemptEnd {
    /// The complete response was forwarded.
    Complete,
    /// The attempt was aborted; the request may have run.
    Aborted,
    /// The request has not run and will not run.
    Refused(EngineRefusal),
}

/// Returns the HTTP request to send to the engine, and the id that the caller gave it. Returns
/// `None` if the request was cancelled, or if its method or target is invalid.
fn build_request(
    state: &AgentState,
    key: u64,
) -> Option<(Request<Bytes>, Option<std::sync::Arc<str>>)> {
    state.with_request(key, |request| {
        let version = request
            .adapter
            .as_ref()
            .and_then(|adapter| state.scheduler.borrow().expected_version(adapter));
        let attempt = AttemptHeaders {
            time_left_ms: request.deadline_ms.saturating_sub(state.clock.now_ms()),
            server_id: Some(request.submit.server_id.as_str().into()),
            adapter_version: version,
            rank: Some(request.submit.rank),
            resume_after: request.submit.resume_after,
        };
        let mut http_request = Request::new(request.submit.body.clone());
        *http_request.method_mut() = Method::from_bytes(request.submit.method.as_bytes()).ok()?;
        *http_request.uri_mut() = request.submit.target.parse::<Uri>().ok()?;
        *http_request.headers_mut() = request.headers.clone();
        headers::set_attempt_headers(http_request.headers_mut(), &attempt);
        Some((http_request, request.metadata.id.clone()))
    })?
}

/// Waits for an engine's output, and returns `None` if it takes longer than `limit`. There is a
/// limit only for streams that another engine can resume.
async fn with_stall_timeout<T>(
    state: &AgentState,
    limit: Option<Duration>,
    output: impl Future<Output = T>,
) -> Option<T> {
    let Some(limit) = limit else {
        return Some(output.await);
    };
    let result = timeout(limit, output).await.ok();
    if result.is_none() {
        emit(
            EventId::AnswerStalled,
            format_args!("limit_ms={}", limit.as_millis()),
        );
        state.report_requested.notify_one();
    }
    result
}

/// Forwards a response to the entry until it ends or stalls.
async fn forward_response(
    state: &AgentState,
    key: u64,
    started_ms: u64,
    part_timeout: Option<Duration>,
    mut response: ServerResponse,
) -> AttemptEnd {
    let request = state.with_request(key, |request| (request.link, request.submit.attempt));
    let Some((link, attempt)) = request else {
        return AttemptEnd::Aborted;
    };
    if headers::proves_not_run(response.status, &response.headers) {
        state.report_requested.notify_one();
        return AttemptEnd::Refused(EngineRefusal::EngineRefused);
    }
    let head = Head {
        attempt,
        status: u32::from(response.status.as_u16()),
        headers: encode_headers(&headers::forwarded_to_caller(&response.headers)),
    };
    let head_time_ms = state.clock.now_ms().saturating_sub(started_ms);
    state.metrics.observe_stage(Stage::EngineHead, head_time_ms);
    state.record_head(key, head_time_ms);
    state.send(link, ToEntryKind::Head(head));
    loop {
        let part = with_stall_timeout(state, part_timeout, response.next_part()).await;
        let Some(part) = part else {
            return AttemptEnd::Aborted;
        };
        match part {
            Ok(Some(bytes)) => state.send(link, ToEntryKind::Part(Part { attempt, bytes })),
            Ok(None) => {
                response.release();
                return AttemptEnd::Complete;
            }
            Err(error) => {
                state.report_requested.notify_one();
                emit(EventId::AnswerBrokenOff, error);
                return AttemptEnd::Aborted;
            }
        }
    }
}

fn handle_send_error(state: &AgentState, error: &SendError) -> AttemptEnd {
    state.report_requested.notify_one();
    emit(EventId::AnswerBrokenOff, error);
    if error.is_unsent() {
        AttemptEnd::Refused(EngineRefusal::EngineDown)
    } else {
        AttemptEnd::Aborted
    }
}
