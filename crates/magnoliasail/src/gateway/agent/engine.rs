//! Communication with the model engine: requests, orders and reports.

use {
    super::{
        report_mark::{EndEvidence, ReportAnswer},
        state::AgentState,
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            header_codec::encode_headers,
            metrics::Stage,
            pool::{OpenedAt, SendError, ServerResponse},
            stall::with_stall_reports,
        },
    },
    bytes::Bytes,
    hyper::{Method, Request, StatusCode, Uri},
    magnoliasail_core::gateway::{
        EngineRefusal, EngineReport, EngineRequest, EngineWatch, MissingReport, Order,
        OrderOutcome, RateSource, RateStatement, ServerNotice,
        message::{Head, Part, ToEntryKind},
    },
    magnoliasail_platform::{
        DecodeError,
        headers::{self, AttemptHeaders},
        orders, report,
    },
    snafu::{ResultExt, Snafu},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Time between comparisons of the engine's state with the one that entries have.
pub(super) const STATE_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between reports while a load is in progress or the engine's state is unknown.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between reports while the engine refuses them and asks for a pause.
const PAUSED_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between reports otherwise.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Error when requesting a report.
#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Unreachable { source: SendError },
    #[snafu(display("the engine responded to the request for its report with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the engine refused the request for its report and asked for a pause"))]
    Paused {
        /// When the connection was opened on which it refused.
        opened_at: Instant,
    },
    #[snafu(display("{source}"))]
    Malformed { source: DecodeError },
}

impl ReportError {
    /// Returns whether no process listens at the engine's address.
    fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Unreachable { source } if source.is_connection_refused())
    }

    const fn missing_report(&self) -> MissingReport {
        match self {
            Self::Unreachable { source } if source.is_pool_exhausted() => MissingReport::NotSent,
            Self::Paused { .. } => MissingReport::Paused,
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
        let requested_ms = state.clock.now_ms();
        let requested_at = Instant::now();
        let mut is_paused = false;
        let result = request_report(&state).await;
        record_mark(&state, requested_at, &result);
        match result {
            Ok(ReceivedReport {
                report,
                notice,
                rate,
            }) => {
                if watch.record_report() {
                    emit(EventId::EngineRegained, "the engine sends reports again");
                }
                if report.started_ms == state.engine_started_ms() {
                    state.record_engine_alive(requested_ms);
                } else {
                    log_restart(&state, report.started_ms);
                    state.record_engine_gone();
                }
                state.apply_report(&report, ticket);
                state.apply_notice(report.started_ms, notice);
                state.apply_rate(report.started_ms, rate, RateSource::Report, requested_ms);
            }
            Err(error) => {
                is_paused = matches!(error, ReportError::Paused { .. });
                if watch.record_missing(error.missing_report()) {
                    emit(EventId::EngineLost, &error);
                    state.mark_engine_unreachable();
                }
                if error.is_connection_refused() || watch.is_down() {
                    state.record_engine_gone();
                }
            }
        }
        let poll_interval = if is_paused {
            PAUSED_POLL_INTERVAL
        } else if state.scheduler.borrow().has_pending_loads() {
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

fn log_restart(state: &AgentState, started_ms: Option<u64>) {
    emit(
        EventId::EngineRestarted,
        format_args!(
            "started_ms={started_ms:?} before={:?}",
            state.engine_started_ms()
        ),
    );
}

/// Records how the engine answered a request for its report that was made at `requested_at`.
fn record_mark(
    state: &AgentState,
    requested_at: Instant,
    result: &Result<ReceivedReport, ReportError>,
) {
    let answer = match result {
        Ok(received) => ReportAnswer::Started(received.report.started_ms),
        Err(ReportError::Paused { opened_at }) => ReportAnswer::Refused(*opened_at),
        Err(error) if error.is_connection_refused() => ReportAnswer::Gone,
        Err(_) => ReportAnswer::Unanswered,
    };
    state
        .report_marks
        .send_modify(|marks| marks.record(requested_at, answer));
}

/// Keeps the entries informed of the engine's state until the process exits.
pub(super) async fn report_engine_state(state: Rc<AgentState>) {
    loop {
        sleep(STATE_INTERVAL).await;
        state.record_tick();
        state.broadcast_changed_engine_state();
    }
}

/// A report, with what the engine said in the headers of the response.
struct ReceivedReport {
    report: EngineReport,
    notice: ServerNotice,
    rate: RateStatement,
}

/// Requests a report. Reports show whether the engine is alive and has started anew, so they are
/// requested while it drains, leaves or pauses too.
async fn request_report(state: &Rc<AgentState>) -> Result<ReceivedReport, ReportError> {
    let started_ms = state.engine_started_ms();
    let request = report::request(&state.engine_address.to_string());
    let response = state
        .control_pool
        .call(request, REPORT_TIMEOUT)
        .await
        .context(UnreachableSnafu)?;
    let status = response.status();
    let notice = headers::server_notice(status, response.headers());
    if status == StatusCode::OK {
        let report = report::decode(response.body()).context(MalformedSnafu)?;
        let rate = headers::rate_statement(response.headers());
        return Ok(ReceivedReport {
            report,
            notice,
            rate,
        });
    }
    state.apply_notice(started_ms, notice);
    let opened_at = response.extensions().get::<OpenedAt>();
    if let (Some(_), Some(&OpenedAt(opened_at))) = (notice.pause, opened_at) {
        return PausedSnafu { opened_at }.fail();
    }
    StatusSnafu { status }.fail()
}

/// Sends an order to the engine and records its outcome.
pub(super) async fn send_order(state: Rc<AgentState>, order: Order) {
    let host = state.engine_address.to_string();
    let started_ms = state.engine_started_ms();
    let request = orders::request(&host, &state.settings.vm_name, &order);
    let outcome = match state.control_pool.call(request, ORDER_TIMEOUT).await {
        Ok(response) => {
            let notice = headers::server_notice(response.status(), response.headers());
            state.apply_notice(started_ms, notice);
            orders::outcome(response.status())
        }
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
    let engine_started_ms = state.engine_started_ms();
    let stall_limits = state.stall_limits(key);
    let has_other_start = state.with_request(key, |request| state.has_other_start(&request.submit));
    if has_other_start == Some(true) {
        state.refuse(link, attempt, EngineRefusal::OtherStart, 0);
        state.finish(key, None);
        return;
    }
    let end = match build_request(&state, key) {
        Some((request, id)) => {
            let response = state.request_pool.send(request, id.as_deref(), false);
            let head_limit = stall_limits.map(|stall_limits| stall_limits.head);
            let on_stall = |limit| report_stall(&state, key, limit);
            match with_stall_reports(head_limit, response, on_stall).await {
                Ok(response) => {
                    let notice = headers::server_notice(response.status, &response.headers);
                    state.apply_notice(engine_started_ms, notice);
                    state.apply_work_time(headers::server_load(&response.headers));
                    let rate = headers::rate_statement(&response.headers);
                    state.apply_rate(engine_started_ms, rate, RateSource::Request, started_ms);
                    let part_limit = stall_limits.map(|stall_limits| stall_limits.between_parts);
                    let run = EngineRun {
                        key,
                        sent_ms: started_ms,
                        engine_started_ms,
                        part_limit,
                    };
                    forward_response(&state, run, response).await
                }
                Err(error) => handle_send_error(&state, key, &error),
            }
        }
        None => AttemptEnd::Refused(EngineRefusal::EngineRefused),
    };
    match end {
        AttemptEnd::Complete(_) => state.send(link, ToEntryKind::End(attempt)),
        AttemptEnd::Aborted => state.send(link, ToEntryKind::Broken(attempt)),
        AttemptEnd::Refused(reason) => {
            let retry_after_ms = state.pause_left_ms();
            state.refuse(link, attempt, reason, retry_after_ms);
        }
    }
    let status = match end {
        AttemptEnd::Complete(status) => Some(status),
        AttemptEnd::Aborted | AttemptEnd::Refused(_) => None,
    };
    state.finish(key, status);
    state.send_engine_state(link);
}

/// How an attempt at the engine ended.
#[derive(Clone, Copy, Debug)]
enum AttemptEnd {
    /// The complete response, with this status, was forwarded.
    Complete(StatusCode),
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
            rank: Some(EngineRequest::engine_rank(
                request.submit.rank,
                request.submit.minor_rank,
                request.submit.account.is_some(),
            )),
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

/// Reports to the entry that the engine has sent nothing to a request for `limit`.
fn report_stall(state: &AgentState, key: u64, limit: Duration) {
    let limit_ms = limit.as_millis();
    state.with_request(key, |request| {
        let id = request.metadata.id.as_deref().unwrap_or("-");
        emit(
            EventId::AnswerStalled,
            format_args!("request={id} limit_ms={limit_ms}"),
        );
        state.send(request.link, ToEntryKind::Stalled(request.submit.attempt));
    });
    state.report_requested.notify_one();
}

/// A request that was sent to the engine.
#[derive(Clone, Copy, Debug)]
struct EngineRun {
    key: u64,
    sent_ms: u64,
    /// The start of the engine that got the request.
    engine_started_ms: Option<u64>,
    /// Time without a further part after which the response counts as stalled.
    part_limit: Option<Duration>,
}

/// Forwards a response to the entry until it ends.
async fn forward_response(
    state: &Rc<AgentState>,
    run: EngineRun,
    mut response: ServerResponse,
) -> AttemptEnd {
    let key = run.key;
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
    let head_time_ms = state.clock.now_ms().saturating_sub(run.sent_ms);
    state.metrics.observe_stage(Stage::EngineHead, head_time_ms);
    state.record_head(key, head_time_ms);
    let required_start_ms = state
        .with_request(key, |request| request.submit.required_start_ms)
        .flatten();
    if let Some(started_ms) = required_start_ms
        && !state
            .is_connected_to_start(started_ms, response.opened_at())
            .await
    {
        state.record_broken_off(key, &response.sent_by_other_start());
        return AttemptEnd::Aborted;
    }
    state.send(link, ToEntryKind::Head(head));
    let mut origin = state
        .with_request(key, |request| request.submit.origin.clone())
        .flatten()
        .filter(|_| response.status.is_success());
    loop {
        let on_stall = |limit| report_stall(state, key, limit);
        match with_stall_reports(run.part_limit, response.next_part(), on_stall).await {
            Ok(Some(bytes)) => {
                if let Some(origin) = origin.take() {
                    state.remember_begun(&origin);
                }
                state.send_part(link, Part { attempt, bytes }).await;
            }
            Ok(None) => {
                if !response.is_framed() {
                    let is_complete = is_unframed_end_complete(state, &run).await;
                    if !is_complete || response.is_cut_off() {
                        state.record_broken_off(key, &response.lost_end());
                        return AttemptEnd::Aborted;
                    }
                }
                let status = response.status;
                response.release();
                return AttemptEnd::Complete(status);
            }
            Err(error) => {
                if matches!(error, SendError::Overlong { .. }) {
                    state.metrics.overlong_responses.inc();
                }
                state.record_broken_off(key, &error);
                return AttemptEnd::Aborted;
            }
        }
    }
}

/// Decides whether a response without a length or chunks that has just ended is complete.
async fn is_unframed_end_complete(state: &AgentState, run: &EngineRun) -> bool {
    let ended_at = Instant::now();
    let evidence = state.end_evidence(run.engine_started_ms, ended_at).await;
    let is_complete = evidence == EndEvidence::Alive;
    let id = state.with_request(run.key, |request| request.metadata.id.clone());
    emit(
        EventId::UnframedEnd,
        format_args!(
            "request={} started_ms={:?} evidence={evidence} complete={is_complete} waited_ms={}",
            id.flatten().as_deref().unwrap_or("-"),
            run.engine_started_ms,
            ended_at.elapsed().as_millis()
        ),
    );
    is_complete
}

fn handle_send_error(state: &AgentState, key: u64, error: &SendError) -> AttemptEnd {
    state.record_broken_off(key, error);
    if error.is_unsent() {
        AttemptEnd::Refused(EngineRefusal::EngineDown)
    } else {
        AttemptEnd::Aborted
    }
}
