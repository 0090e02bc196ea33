//! Answers of the entry's own: refusals and failures.

use {
    super::answer_body::AnswerBody,
    crate::events::{EventId, emit},
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Why an entry answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RefusalCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route has the request's host and path.
    NoRoute,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body did not arrive whole.
    BodyBroken,
    /// No server of the service can take the request.
    NoServer,
    /// The servers that could take the request are too busy.
    Overloaded,
    /// The servers refused the request.
    ServersRefused,
    /// The time ran out before the request was run.
    ExpiredUnrun,
    /// The time ran out while the request may have been run.
    ExpiredRunning,
    /// The server broke off, and the request may have run.
    BrokenOff,
}

impl RefusalCause {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoConfiguration
            | Self::NoServer
            | Self::Overloaded
            | Self::ServersRefused
            | Self::ExpiredUnrun => StatusCode::SERVICE_UNAVAILABLE,
            Self::ExpiredRunning => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenOff => StatusCode::BAD_GATEWAY,
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => "this entry has just started; try again",
            Self::NoRoute => "no route has this host and path; correct them",
            Self::BodyTooLong => "the body exceeds the operator's limit; send less",
            Self::BodyBroken => "the body did not arrive whole; send it again",
            Self::NoServer => "no server can take the request now; try again",
            Self::Overloaded => "the servers are busy; try again",
            Self::ServersRefused => "the servers refused the request; try again",
            Self::ExpiredUnrun => "the time ran out before the request was run; try again",
            Self::ExpiredRunning => "the time ran out; the request may have run",
            Self::BrokenOff => "the server broke off; the request may have run",
        }
    }
}

/// Builds an answer of the entry's own.
pub(super) fn refuse(cause: RefusalCause, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
    let name: &'static str = cause.into();
    let is_not_run = cause.status() == StatusCode::SERVICE_UNAVAILABLE;
    let outcome = if is_not_run { "not_run" } else { "unknown" };
    let body = serde_json::json!({
        "error": { "code": name, "message": cause.remedy(), "outcome": outcome },
    });
    let mut response = Response::new(AnswerBody::whole(Bytes::from(body.to_string())));
    *response.status_mut() = cause.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// Logs an answer of the entry's own, with its cause.
pub(super) fn log_refusal(
    id: Option<&str>,
    cause: RefusalCause,
    retry_after_ms: Option<u64>,
    left_ms: u64,
) {
    let id = id.unwrap_or("-");
    emit(
        EventId::RequestRefused,
        format_args!(
            "request={id} cause={cause} retry_after_ms={retry_after_ms:?} left_ms={left_ms}"
        ),
    );
}
