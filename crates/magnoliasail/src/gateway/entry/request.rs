//! Reads a caller's request completely and matches it to a route.

use {
    super::{
        attempt::OutgoingRequest,
        buffered_body::BufferedBody,
        dispatch::Dispatch,
        refusal::{RefusalCause, log_refusal, refusal_response},
        response_body::ResponseBody,
        startup_wait::wait_until_initialized,
        state::EntryState,
    },
    crate::gateway::{
        buffer_budget::{FULL_RETRY_MS, HeldBytes},
        metrics::GatewayMetrics,
        phase::Phase,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
        header::{CONNECTION, HOST, HeaderValue},
        http::uri::PathAndQuery,
    },
    magnoliasail_core::gateway::{
        Account, RequestMetadata, RouteMatch, message::SuspectRequest, part_fingerprint,
        request_fingerprint,
    },
    magnoliasail_platform::headers,
    rand::Rng,
    std::{convert::Infallible, ops::Range, rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time for a body to arrive if the caller names no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Range of the retry delay for callers of an entry that is not initialized yet.
const STARTUP_RETRY_MS: Range<u64> = 400..1_000;
/// The same while the store cannot be read, which usually takes seconds to end. A caller that returns
/// too soon may have no retry left.
const STORE_LOST_RETRY_MS: Range<u64> = 1_200..2_000;

/// Handles a request of a caller, from its arrival to its response or the start of its stream.
pub(super) async fn handle_request(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let phase = state.phase.clone();
    let metadata = headers::request_metadata(request.headers());
    let id = metadata.id.clone();
    let metrics = Rc::clone(&state.metrics);
    metrics.requests.inc();
    metrics.running.inc();
    let running = RunningGuard(Rc::clone(&metrics));
    let prepared = {
        let mut phase = phase.clone();
        tokio::select! {
            biased;
            prepared = prepare(&state, request, metadata) => prepared,
            () = Phase::Stopping.reached(&mut phase) => Err(RefusalCause::StoppedUnrun),
        }
    };
    let mut response = match prepared {
        Ok(dispatch) => dispatch.run().await,
        Err(cause) => {
            let startup_retry_ms = if state.is_store_lost.get() {
                STORE_LOST_RETRY_MS
            } else {
                STARTUP_RETRY_MS
            };
            let retry_ms = match cause {
                RefusalCause::NoConfiguration => Some(startup_retry_ms),
                RefusalCause::BuffersFull => Some(FULL_RETRY_MS),
                // Another entry may take it at once.
                RefusalCause::StoppedUnrun => Some(0..1),
                _ => None,
            };
            let retry_after_ms = retry_ms.map(|range_ms| rand::rng().random_range(range_ms));
            log_refusal(id.as_deref(), None, cause, retry_after_ms, 0);
            metrics.count_refusal(cause.into());
            refusal_response(cause, retry_after_ms)
        }
    };
    drop(running);
    if *phase.borrow() >= Phase::Draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Counts a request in the `running` metric until its response starts or its caller disconnects.
struct RunningGuard(Rc<GatewayMetrics>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.dec();
    }
}

/// Reads a request completely and finds its route.
///
/// The body is read before the request is refused for any other reason: a connection that is closed with
/// unread bytes is reset, and the caller may lose the refusal.
async fn prepare(
    state: &Rc<EntryState>,
    request: Request<Incoming>,
    metadata: RequestMetadata,
) -> Result<Dispatch, RefusalCause> {
    let now_ms = state.clock.now_ms();
    let (head, body) = request.into_parts();
    let is_initialized =
        state.is_initialized() || wait_until_initialized(state, metadata.id.as_deref()).await;
    let max_body_bytes = state.table.borrow().limits().max_body_bytes;
    let (body, held) = read_body(state, body, max_body_bytes, &metadata).await?;
    if !is_initialized {
        return Err(RefusalCause::NoConfiguration);
    }
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let id = metadata.id.as_deref().unwrap_or_default();
    let route = state.table.borrow().find(host, head.uri.path(), id);
    let route = route.ok_or(RefusalCause::NoRoute)?;
    if route.kind.is_stream() && state.is_too_late_for_streams() {
        return Err(RefusalCause::StoppedUnrun);
    }
    let mut headers = headers::forwarded_to_server(&head.headers);
    let account = authorize(state, &route, &head.headers, &mut headers)?;
    let rank = account.as_ref().and_then(|account| account.rank);
    let timeout_ms = metadata
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let target = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let parts = metadata.prompt_prefixes.iter();
    let suspect = SuspectRequest::new(
        request_fingerprint(
            headers::forwarded_caller(&headers),
            host,
            head.method.as_str(),
            target,
            &body,
        ),
        parts.map(|part| part_fingerprint(part)),
    );
    let outgoing = OutgoingRequest {
        kind: route.kind,
        rank: rank.unwrap_or(route.rank),
        // The account's rank goes before the route's, which decides among the account's requests.
        minor_rank: rank.map_or(0, |_| route.rank),
        method: head.method,
        uri: head.uri,
        headers,
        account,
        body,
        _held: held,
        suspect,
        objective_ms: now_ms + route.objective_ms,
        deadline_ms: now_ms + timeout_ms,
        metadata,
    };
    Ok(Dispatch::new(state, route, outgoing, now_ms))
}

/// Returns the client account of a request, and replaces its key by the account's name in the headers
/// that are forwarded. Without client accounts in the configuration, the headers stay as they are.
fn authorize(
    state: &EntryState,
    route: &RouteMatch,
    received: &HeaderMap,
    forwarded: &mut HeaderMap,
) -> Result<Option<Arc<Account>>, RefusalCause> {
    let table = state.table.borrow();
    if table.accounts().is_empty() {
        return Ok(None);
    }
    let key = headers::presented_key(received);
    let account = table.authorize(route, &key).map_err(RefusalCause::of_key)?;
    let name = account.as_ref().map(|account| &*account.name);
    headers::replace_key_by_account(forwarded, name);
    Ok(account)
}

/// Reads a body completely, until the caller's deadline.
async fn read_body(
    state: &EntryState,
    mut body: Incoming,
    max_bytes: usize,
    metadata: &RequestMetadata,
) -> Result<(Bytes, HeldBytes), RefusalCause> {
    let limit = metadata
        .deadline_ms
        .map_or(DEFAULT_BODY_TIMEOUT, Duration::from_millis);
    let mut buffered = BufferedBody::new(&state.buffered, max_bytes);
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RefusalCause::BodyBroken)?;
            let Some(part) = frame.data_ref() else {
                continue;
            };
            buffered
                .push(part)
                .map_err(|error| RefusalCause::of_body(error, max_bytes))?;
        }
        Ok(())
    };
    timeout(limit, reading)
        .await
        .map_err(|_| RefusalCause::BodyTooSlow)??;
    Ok(buffered.finish())
}
