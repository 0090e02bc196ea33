//! Error responses to requests that did not complete.

use {
    bytes::Bytes,
    gotham::helpers::http::Body,
    http_body_util::{BodyExt, Full},
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    magnoliasail_core::{Outcome, RefusalReason, entry::Failure},
    serde_json::json,
    std::convert::Infallible,
};

/// Largest share by which the `Retry-After` header exceeds the requested delay.
const MAX_RETRY_JITTER: f64 = 0.5;

/// Returns the HTTP status that standard clients expect for a reason.
pub(super) const fn status_code(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownModel | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::TooSlow => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::RateLimited | RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Poisonous | RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::JobInProgress
        | RefusalReason::JobMayHaveRun
        | RefusalReason::StaleAttempt => StatusCode::CONFLICT,
        RefusalReason::EngineCrashed
        | RefusalReason::WrongModel
        | RefusalReason::EngineError
        | RefusalReason::LinkLost
        | RefusalReason::CallerGone => StatusCode::BAD_GATEWAY,
        RefusalReason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        RefusalReason::TooManyConnections
        | RefusalReason::NoServer
        | RefusalReason::SlotsBusy
        | RefusalReason::QueueFull
        | RefusalReason::LoadFailed
        | RefusalReason::Draining
        | RefusalReason::SuspectBusy
        | RefusalReason::NotHome
        | RefusalReason::NoJobLease
        | RefusalReason::RingFull
        | RefusalReason::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the JSON error object, in the format that standard chat completion clients parse.
pub(super) fn error_json(failure: &Failure, detail: &str) -> String {
    let reason = failure.reason;
    let remedy = reason.remedy();
    let message = if detail.is_empty() {
        format!("{reason}: {remedy}")
    } else {
        format!("{reason}: {detail}; {remedy}")
    };
    let error_type = if status_code(reason).is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let error = json!({
        "error": {
            "message": message,
            "type": error_type,
            "param": null,
            "code": reason.to_string(),
            "outcome": failure.outcome.to_string(),
            "retry_after_ms": failure.retry_after_ms,
        }
    });
    error.to_string()
}

/// Builds the response to a request that failed before any part of a response was sent.
pub(super) fn failure_response(failure: &Failure, detail: &str) -> Response<Body> {
    let text = error_json(failure, detail);
    let mut response = text_response(status_code(failure.reason), "application/json", text);
    if failure.retry_after_ms > 0 {
        // The jitter keeps callers that were refused together from retrying together.
        let jitter = 1.0 + MAX_RETRY_JITTER * rand::random::<f64>();
        let seconds = (failure.retry_after_ms as f64 * jitter / 1_000.0).ceil() as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the response to a request that was refused before it was submitted to the core.
pub(super) fn refusal_response(reason: RefusalReason, detail: &str) -> Response<Body> {
    let failure = Failure {
        reason,
        outcome: Outcome::NotRun,
        retry_after_ms: 0,
    };
    failure_response(&failure, detail)
}

/// Builds a response from a text body.
pub(super) fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds a body that is sent in one piece.
pub(super) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
