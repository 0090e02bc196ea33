//! The HTTP interface for callers: chat completions, the list of models and plain services.
//!
//! A handler reads the complete request, pushes it to the entry's `decide` worker and turns the
//! parts of the reply into a response. If the caller disconnects before the reply is complete, the
//! worker is notified so that it can cancel the request.

use {
    super::{
        chat_head::ChatHead,
        failure::{error_json, failure_response, full_body, refusal_response, text_response},
        reply::{ReplyPart, ReplyReader, ReplyWriter, reply_channel},
    },
    crate::{metrics::Metrics, queue::QueueSender},
    bytes::Bytes,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        middleware::state::StateMiddleware,
        pipeline::{new_pipeline, single_pipeline},
        router::{
            Router,
            builder::{DefineSingleRoute, DrawRoutes, build_router},
            response::ResponseExtender,
        },
        state::{FromState, State, StateData},
    },
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Method, Response, StatusCode, Uri,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    },
    magnoliasail_core::{
        Outcome, RefusalReason,
        entry::{Failure, RequestKind, Submission},
        table::Table,
    },
    magnoliasail_wire::stream_body,
    serde_json::json,
    std::{
        io,
        panic::AssertUnwindSafe,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Parts of a streamed response that are buffered for a caller.
const STREAM_BUFFER_PARTS: usize = 64;
const SERVICES_PREFIX: &str = "/v1/services/";

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    pub(crate) max_body_bytes: usize,
    /// Time within which a caller must send the body of a request.
    pub(crate) body_timeout: Duration,
    /// Default and maximum time for a request until its deadline, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// An item that a connection can push to the queue of the entry's `decide` worker.
pub(crate) trait CallerInput: Send + 'static {
    /// Wraps a request and the sender of its reply channel.
    fn submit(submission: Submission, reply: ReplyWriter) -> Self;

    /// Reports that the caller of a request disconnected.
    fn caller_gone(request: u64) -> Self;
}

/// The HTTP interface of an entry for callers.
#[derive(Debug)]
pub(crate) struct CallerApi<I> {
    queue: QueueSender<I>,
    table: Arc<Mutex<Arc<Table>>>,
    limits: CallerLimits,
    metrics: Metrics,
    /// Random number of this process, which makes its request ids unique in the fleet.
    request_id_prefix: u64,
    next_request: AtomicU64,
}

#[derive(Debug)]
struct SharedApi<I: CallerInput>(AssertUnwindSafe<Arc<CallerApi<I>>>);

impl<I: CallerInput> StateData for SharedApi<I> {}

impl<I: CallerInput> Clone for SharedApi<I> {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

/// Replaces the empty response to an unknown path or method by an error that lists the paths.
struct UnknownPath {}

impl ResponseExtender<Body> for UnknownPath {
    fn extend(&self, _state: &mut State, response: &mut Response<Body>) {
        // The responses of handlers pass here too; only those of the router have no content type.
        if response.headers().contains_key(CONTENT_TYPE) {
            return;
        }
        let detail = "no such path or method; the paths are /v1/chat/completions, /v1/models and \
                      /v1/services/SERVICE/PATH";
        let status = response.status();
        *response = refusal_response(RefusalReason::BadRequest, detail);
        *response.status_mut() = status;
    }
}

/// Reports a disconnected caller to the `decide` worker when dropped before the reply is complete.
struct DisconnectGuard<I: CallerInput> {
    request: u64,
    queue: QueueSender<I>,
    is_disarmed: bool,
}

impl<I: CallerInput> DisconnectGuard<I> {
    const fn disarm(&mut self) {
        self.is_disarmed = true;
    }
}

impl<I: CallerInput> Drop for DisconnectGuard<I> {
    fn drop(&mut self) {
        if !self.is_disarmed {
            // If the queue is full, the request runs until its deadline.
            let _ = self.queue.try_send(I::caller_gone(self.request));
        }
    }
}

impl<I: CallerInput> CallerApi<I> {
    pub(crate) const fn new(
        queue: QueueSender<I>,
        table: Arc<Mutex<Arc<Table>>>,
        limits: CallerLimits,
        metrics: Metrics,
        request_id_prefix: u64,
    ) -> Self {
        Self {
            queue,
            table,
            limits,
            metrics,
            request_id_prefix,
            next_request: AtomicU64::new(1),
        }
    }

    pub(crate) fn router(self) -> Router {
        let shared = SharedApi(AssertUnwindSafe(Arc::new(self)));
        let middleware = StateMiddleware::new(shared);
        let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
        let methods = || {
            vec![
                Method::GET,
                Method::HEAD,
                Method::POST,
                Method::PUT,
                Method::PATCH,
                Method::DELETE,
                Method::OPTIONS,
            ]
        };
        build_router(chain, pipelines, |route| {
            route.add_response_extender(StatusCode::NOT_FOUND, UnknownPath {});
            route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, UnknownPath {});
            route.post("/v1/chat/completions").to_async(chat::<I>);
            route.get("/v1/models").to_async(models::<I>);
            route
                .request(methods(), "/v1/services/:service")
                .to_async(service::<I>);
            route
                .request(methods(), "/v1/services/:service/*")
                .to_async(service::<I>);
        })
    }

    fn table(&self) -> Arc<Table> {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    fn submit(&self, submission: Submission) -> Result<(ReplyReader, DisconnectGuard<I>), Failure> {
        let has_key = matches!(&submission.kind, RequestKind::Service { key: Some(_), .. });
        let (writer, reader) = reply_channel();
        let request = submission.request;
        self.metrics.requests.inc();
        if self.queue.try_send(I::submit(submission, writer)).is_err() {
            let failure = Failure {
                reason: RefusalReason::RingFull,
                outcome: outcome_without_attempt(has_key),
                retry_after_ms: 1_000,
            };
            self.metrics.count_refusal(failure.reason);
            return Err(failure);
        }
        let guard = DisconnectGuard {
            request,
            queue: self.queue.clone(),
            is_disarmed: false,
        };
        Ok((reader, guard))
    }

    async fn read_body(&self, body: Body) -> Result<Bytes, RefusalReason> {
        let limited = Limited::new(body, self.limits.max_body_bytes);
        match timeout(self.limits.body_timeout, limited.collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(RefusalReason::TooLarge)
            }
            Ok(Err(_)) => Err(RefusalReason::BadRequest),
            Err(_) => Err(RefusalReason::TooSlow),
        }
    }

    fn refuse(&self, reason: RefusalReason, detail: &str) -> Response<Body> {
        self.metrics.count_refusal(reason);
        refusal_response(reason, detail)
    }

    async fn respond(
        &self,
        kind: RequestKind,
        bearer: Arc<str>,
        body: Bytes,
        headers: &HeaderMap,
    ) -> Response<Body> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let budget_ms = header_text(headers, "x-request-timeout-ms")
            .parse()
            .unwrap_or(self.limits.deadline_ms)
            .min(self.limits.deadline_ms);
        let submission = Submission {
            request: number,
            bearer,
            kind,
            body,
            budget_ms,
        };
        let started = Instant::now();
        let mut response = match self.submit(submission) {
            Ok((reader, guard)) => self.relay(reader, guard, started).await,
            Err(failure) => failure_response(&failure, ""),
        };
        let id = format!("req-{:016x}-{number}", self.request_id_prefix);
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Turns the parts of a reply into a response.
    ///
    /// The response to a stream starts with the reply's head; any other response is sent once its
    /// body is complete.
    async fn relay(
        &self,
        mut reader: ReplyReader,
        mut guard: DisconnectGuard<I>,
        started: Instant,
    ) -> Response<Body> {
        let (status, content_type, model, vm) = match reader.recv().await {
            Some(ReplyPart::Head {
                status,
                content_type,
                model,
                vm,
            }) => (status, content_type, model, vm),
            Some(ReplyPart::Failed(failure)) => {
                guard.disarm();
                return failure_response(&failure, "");
            }
            Some(ReplyPart::Data(_) | ReplyPart::Completed) | None => {
                return failure_response(&incomplete_reply(), "");
            }
        };
        let seconds = started.elapsed().as_secs_f64();
        self.metrics.first_token_seconds.observe(seconds);
        let body = if content_type.starts_with("text/event-stream") {
            forward_stream(reader, guard)
        } else {
            match collect_body(&mut reader).await {
                Ok(bytes) => {
                    guard.disarm();
                    full_body(bytes)
                }
                Err(failure) => {
                    guard.disarm();
                    return failure_response(&failure, "");
                }
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        insert_header(headers, "content-type", &content_type);
        insert_header(headers, "x-backend-server", &vm);
        if !model.is_empty() {
            insert_header(headers, "x-model", &model);
        }
        response
    }
}

/// Returns the outcome of a request that was refused before any attempt was made.
///
/// Without a key the request has not run. With an idempotency key, an earlier request with the same
/// key may have run.
const fn outcome_without_attempt(has_key: bool) -> Outcome {
    if has_key {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

/// Returns the failure of a request whose reply channel closed before the reply was complete.
///
/// That happens if the `decide` worker panics, or if it drops the reply because the caller reads it
/// too slowly.
const fn incomplete_reply() -> Failure {
    Failure {
        reason: RefusalReason::Internal,
        outcome: Outcome::Unknown,
        retry_after_ms: 1_000,
    }
}

async fn collect_body(reader: &mut ReplyReader) -> Result<Bytes, Failure> {
    let mut bytes = Vec::new();
    loop {
        match reader.recv().await {
            Some(ReplyPart::Data(data)) => bytes.extend_from_slice(&data),
            Some(ReplyPart::Completed) => return Ok(bytes.into()),
            Some(ReplyPart::Failed(failure)) => return Err(failure),
            Some(ReplyPart::Head { .. }) | None => return Err(incomplete_reply()),
        }
    }
}

/// Returns a body that passes on the parts of a reply as they arrive.
///
/// A reply that fails ends with an error event and an aborted body, so that the caller cannot
/// take it for a complete one.
fn forward_stream<I: CallerInput>(mut reader: ReplyReader, mut guard: DisconnectGuard<I>) -> Body {
    let (writer, body) = stream_body(STREAM_BUFFER_PARTS);
    tokio::spawn(async move {
        loop {
            let failure = match reader.recv().await {
                Some(ReplyPart::Data(data)) => {
                    if writer.write(data).await.is_err() {
                        return;
                    }
                    continue;
                }
                Some(ReplyPart::Completed) => {
                    guard.disarm();
                    writer.end();
                    return;
                }
                Some(ReplyPart::Failed(failure)) => failure,
                Some(ReplyPart::Head { .. }) | None => incomplete_reply(),
            };
            guard.disarm();
            let event = format!("data: {}\n\n", error_json(&failure, ""));
            // Dropping the writer without `end` aborts the body, even if the event was not read.
            let _ = writer.write(event.into()).await;
            return;
        }
    });
    body.map_err(io::Error::other).boxed_unsync()
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn bearer_key(headers: &HeaderMap) -> Arc<str> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("")
        .into()
}

fn api<I: CallerInput>(state: &State) -> Arc<CallerApi<I>> {
    Arc::clone(&SharedApi::<I>::borrow_from(state).0)
}

async fn chat<I: CallerInput>(mut state: State) -> HandlerResult {
    let api = api::<I>(&state);
    let headers = HeaderMap::take_from(&mut state);
    let body = Body::take_from(&mut state);
    let response = match api.read_body(body).await {
        Ok(body) => match serde_json::from_slice::<ChatHead>(&body) {
            Ok(head) => {
                let kind = RequestKind::Model {
                    model: head.model.into(),
                };
                api.respond(kind, bearer_key(&headers), body, &headers)
                    .await
            }
            Err(error) => api.refuse(RefusalReason::BadRequest, &error.to_string()),
        },
        Err(reason) => api.refuse(reason, ""),
    };
    Ok((state, response))
}

async fn models<I: CallerInput>(state: State) -> HandlerResult {
    let api = api::<I>(&state);
    let table = api.table();
    let key = bearer_key(HeaderMap::borrow_from(&state));
    if table.population(&key).is_none() {
        let response = api.refuse(RefusalReason::Unauthorized, "");
        return Ok((state, response));
    }
    let data: Vec<_> = table
        .adapters
        .iter()
        .filter(|row| row.enabled)
        .map(|row| {
            json!({
                "id": row.adapter.model(),
                "object": "model",
                "created": 0,
                "owned_by": "magnoliasail",
            })
        })
        .collect();
    let list = json!({ "object": "list", "data": data }).to_string();
    let response = text_response(StatusCode::OK, "application/json", list);
    Ok((state, response))
}

async fn service<I: CallerInput>(mut state: State) -> HandlerResult {
    let api = api::<I>(&state);
    let headers = HeaderMap::take_from(&mut state);
    let method = Method::borrow_from(&state).clone();
    let uri = Uri::borrow_from(&state).clone();
    let body = Body::take_from(&mut state);
    let response = match api.read_body(body).await {
        Ok(body) => {
            let kind = parse_service_call(&method, &uri, &headers);
            api.respond(kind, bearer_key(&headers), body, &headers)
                .await
        }
        Err(reason) => api.refuse(reason, ""),
    };
    Ok((state, response))
}

fn parse_service_call(method: &Method, uri: &Uri, headers: &HeaderMap) -> RequestKind {
    let path_and_query = uri
        .path_and_query()
        .map_or("", hyper::http::uri::PathAndQuery::as_str);
    let service_and_path = path_and_query
        .strip_prefix(SERVICES_PREFIX)
        .unwrap_or_default();
    let service_end = service_and_path
        .find(['/', '?'])
        .unwrap_or(service_and_path.len());
    let (service, path) = service_and_path.split_at(service_end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let key = header_text(headers, "idempotency-key");
    RequestKind::Service {
        service: service.into(),
        method: method.as_str().into(),
        path: path.into(),
        content_type: headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .into(),
        key: (!key.is_empty()).then(|| key.into()),
    }
}
