//! The callers' interface: chat completions, models and plain services.

use {
    super::{
        chat_head::ChatHead,
        failure::{error_json, failure_response, full, refusal, text_response},
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

const STREAM_PARTS: usize = 64;
const SERVICES_PATH: &str = "/v1/services/";

/// Limits on callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    pub(crate) max_body_bytes: usize,
    pub(crate) body_timeout: Duration,
    pub(crate) deadline_ms: u64,
}

/// What a connection asks of the deciding duty.
pub(crate) trait CallerInput: Send + 'static {
    /// Wraps a request and the channel for its answer.
    fn submit(submission: Submission, reply: ReplyWriter) -> Self;

    /// Tells that the caller of a request went away.
    fn caller_gone(request: u64) -> Self;
}

/// The callers' interface of an entry.
#[derive(Debug)]
pub(crate) struct CallerApi<I> {
    ring: QueueSender<I>,
    table: Arc<Mutex<Arc<Table>>>,
    limits: CallerLimits,
    metrics: Metrics,
    identity: u64,
    next_request: AtomicU64,
}

#[derive(Debug)]
struct Shared<I: CallerInput>(AssertUnwindSafe<Arc<CallerApi<I>>>);

impl<I: CallerInput> StateData for Shared<I> {}

impl<I: CallerInput> Clone for Shared<I> {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

/// Gives a path or method that does not exist an answer that names the remedy.
struct UnknownPath {}

impl ResponseExtender<Body> for UnknownPath {
    fn extend(&self, _state: &mut State, response: &mut Response<Body>) {
        // The answers of handlers pass here too; only those of the router are empty.
        if response.headers().contains_key(CONTENT_TYPE) {
            return;
        }
        let detail = "the paths are /v1/chat/completions, /v1/models and /v1/services/SERVICE/PATH";
        let status = response.status();
        *response = refusal(RefusalReason::BadRequest, detail);
        *response.status_mut() = status;
    }
}

/// Tells the deciding duty when the caller of an unanswered request goes away.
struct Guard<I: CallerInput> {
    request: u64,
    ring: QueueSender<I>,
    is_answered: bool,
}

impl<I: CallerInput> Guard<I> {
    const fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl<I: CallerInput> Drop for Guard<I> {
    fn drop(&mut self) {
        if !self.is_answered {
            // A full ring leaves the request to its deadline.
            let _ = self.ring.try_send(I::caller_gone(self.request));
        }
    }
}

impl<I: CallerInput> CallerApi<I> {
    pub(crate) const fn new(
        ring: QueueSender<I>,
        table: Arc<Mutex<Arc<Table>>>,
        limits: CallerLimits,
        metrics: Metrics,
        identity: u64,
    ) -> Self {
        Self {
            ring,
            table,
            limits,
            metrics,
            identity,
            next_request: AtomicU64::new(1),
        }
    }

    /// Builds the routes of the interface.
    pub(crate) fn router(self) -> Router {
        let shared = Shared(AssertUnwindSafe(Arc::new(self)));
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

    fn submit(&self, submission: Submission) -> Result<(ReplyReader, Guard<I>), Failure> {
        let has_key = matches!(&submission.kind, RequestKind::Service { key: Some(_), .. });
        let (writer, reader) = reply_channel();
        let request = submission.request;
        self.metrics.requests.inc();
        if self.ring.try_send(I::submit(submission, writer)).is_err() {
            let failure = Failure {
                reason: RefusalReason::RingFull,
                outcome: outcome_without_attempt(has_key),
                retry_after_ms: 1_000,
            };
            self.metrics.count_refusal(failure.reason);
            return Err(failure);
        }
        let guard = Guard {
            request,
            ring: self.ring.clone(),
            is_answered: false,
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
        refusal(reason, detail)
    }

    async fn answer(
        &self,
        ask: RequestKind,
        bearer: Arc<str>,
        body: Bytes,
        headers: &HeaderMap,
    ) -> Response<Body> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let budget_ms = header(headers, "x-request-timeout-ms")
            .parse()
            .unwrap_or(self.limits.deadline_ms)
            .min(self.limits.deadline_ms);
        let submission = Submission {
            request: number,
            bearer,
            kind: ask,
            body,
            budget_ms,
        };
        let started = Instant::now();
        let mut response = match self.submit(submission) {
            Ok((reader, guard)) => self.relay(reader, guard, started).await,
            Err(failure) => failure_response(&failure, ""),
        };
        let id = format!("req-{:016x}-{number}", self.identity);
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Turns the parts of an answer into a response: at once for a stream, whole for all else.
    async fn relay(
        &self,
        mut reader: ReplyReader,
        mut guard: Guard<I>,
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
                guard.answered();
                return failure_response(&failure, "");
            }
            Some(ReplyPart::Data(_) | ReplyPart::Done) | None => {
                return failure_response(&lost(), "");
            }
        };
        let seconds = started.elapsed().as_secs_f64();
        self.metrics.first_token_seconds.observe(seconds);
        let body = if content_type.starts_with("text/event-stream") {
            stream(reader, guard)
        } else {
            match collect(&mut reader).await {
                Ok(bytes) => {
                    guard.answered();
                    full(bytes)
                }
                Err(failure) => {
                    guard.answered();
                    return failure_response(&failure, "");
                }
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        insert(headers, "content-type", &content_type);
        insert(headers, "x-backend-server", &vm);
        if !model.is_empty() {
            insert(headers, "x-model", &model);
        }
        response
    }
}

const fn outcome_without_attempt(has_key: bool) -> Outcome {
    if has_key {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

/// The failure of a request whose deciding duty ended before it was answered.
const fn lost() -> Failure {
    Failure {
        reason: RefusalReason::Internal,
        outcome: Outcome::Unknown,
        retry_after_ms: 1_000,
    }
}

async fn collect(reader: &mut ReplyReader) -> Result<Bytes, Failure> {
    let mut bytes = Vec::new();
    loop {
        match reader.recv().await {
            Some(ReplyPart::Data(data)) => bytes.extend_from_slice(&data),
            Some(ReplyPart::Done) => return Ok(bytes.into()),
            Some(ReplyPart::Failed(failure)) => return Err(failure),
            Some(ReplyPart::Head { .. }) | None => return Err(lost()),
        }
    }
}

/// Passes an answer on as it arrives; one that is not whole ends in an error, never in silence.
fn stream<I: CallerInput>(mut reader: ReplyReader, mut guard: Guard<I>) -> Body {
    let (writer, body) = stream_body(STREAM_PARTS);
    tokio::spawn(async move {
        loop {
            let failure = match reader.recv().await {
                Some(ReplyPart::Data(data)) => {
                    if writer.write(data).await.is_err() {
                        return;
                    }
                    continue;
                }
                Some(ReplyPart::Done) => {
                    guard.answered();
                    writer.end();
                    return;
                }
                Some(ReplyPart::Failed(failure)) => failure,
                Some(ReplyPart::Head { .. }) | None => lost(),
            };
            guard.answered();
            let event = format!("data: {}\n\n", error_json(&failure, ""));
            // Dropping the writer breaks the answer off, whether the caller still reads or not.
            let _ = writer.write(event.into()).await;
            return;
        }
    });
    body.map_err(io::Error::other).boxed_unsync()
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn bearer(headers: &HeaderMap) -> Arc<str> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("")
        .into()
}

fn api<I: CallerInput>(state: &State) -> Arc<CallerApi<I>> {
    Arc::clone(&Shared::<I>::borrow_from(state).0)
}

async fn chat<I: CallerInput>(mut state: State) -> HandlerResult {
    let api = api::<I>(&state);
    let headers = HeaderMap::take_from(&mut state);
    let body = Body::take_from(&mut state);
    let response = match api.read_body(body).await {
        Ok(body) => match serde_json::from_slice::<ChatHead>(&body) {
            Ok(head) => {
                let ask = RequestKind::Model {
                    model: head.model.into(),
                };
                api.answer(ask, bearer(&headers), body, &headers).await
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
    let key = bearer(HeaderMap::borrow_from(&state));
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
            let ask = service_ask(&method, &uri, &headers);
            api.answer(ask, bearer(&headers), body, &headers).await
        }
        Err(reason) => api.refuse(reason, ""),
    };
    Ok((state, response))
}

fn service_ask(method: &Method, uri: &Uri, headers: &HeaderMap) -> RequestKind {
    let path_and_query = uri
        .path_and_query()
        .map_or("", hyper::http::uri::PathAndQuery::as_str);
    let rest = path_and_query
        .strip_prefix(SERVICES_PATH)
        .unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let key = header(headers, "idempotency-key");
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
