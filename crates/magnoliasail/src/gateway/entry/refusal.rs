//! Responses that the entry creates itself: refusals and failures.

use {
    super::{quota::QuotaRefusal, response_body::ResponseBody},
    crate::{
        events::{EventId, emit},
        gateway::byte_limit::TooLong,
    },
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    magnoliasail_core::gateway::{Account, EngineRefusal, KeyError},
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Why the entry responds to a request itself instead of relaying the response of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RefusalCause {
    /// The entry has just started and has not received its configuration and server list yet.
    NoConfiguration,
    /// No route matches the request's host and path.
    NoRoute,
    /// The request carries no key of a client account.
    KeyMissing,
    /// The request carries something that cannot be a key.
    KeyUnreadable,
    /// No client account has the key of the request.
    KeyUnknown,
    /// The client account has used its quota.
    QuotaExceeded,
    /// The request costs more than its client account may ever use at once.
    QuotaTooSmall,
    /// The body exceeds the configured limit.
    BodyTooLong,
    /// The body ended early.
    BodyBroken,
    /// The body did not arrive before the caller's deadline.
    BodyTooSlow,
    /// The entry, or each agent that was asked, holds too many bytes for others to take the body.
    BuffersFull,
    /// No server of the service is available for the request.
    NoServer,
    /// The request resumes a stream, and no server of the version that began it is available.
    VersionGone,
    /// The request resumes a stream, and it is unknown which of several software versions began it.
    VersionUnknown,
    /// All servers of the service that could serve the request have asked for a pause.
    ServersPaused,
    /// All servers of the service that could serve the request name rates that allow no further one now.
    ServersLimited,
    /// The agents refused the request, mostly since their engines are too busy.
    Overloaded,
    /// The servers refused the request, which has not run.
    ServersRefused,
    /// The request crashes the servers that run it, and is quarantined.
    Quarantined,
    /// The deadline passed, and the request has not run.
    ExpiredUnrun,
    /// The deadline passed, and the request may have run.
    ExpiredRunning,
    /// The server failed before its response was complete, and the request may have run.
    BrokenOff,
    /// The entry exits, and the request has not run.
    StoppedUnrun,
    /// The entry exits, and the request may have run.
    StoppedRunning,
    /// The entry exits and closes the connection, on which it reads no further request.
    ConnectionClosed,
}

impl RefusalCause {
    /// Returns the cause of a refusal for which an agent gave a reason.
    pub(super) const fn of_agent(reason: EngineRefusal) -> Self {
        match reason {
            EngineRefusal::Paused => Self::ServersPaused,
            EngineRefusal::RateLimited => Self::ServersLimited,
            EngineRefusal::Quarantined => Self::Quarantined,
            EngineRefusal::OtherStart => Self::NoServer,
            EngineRefusal::BuffersFull => Self::BuffersFull,
            _ => Self::Overloaded,
        }
    }

    /// Returns the cause of a refusal because of a body of which more arrived than fits. `max_bytes` is the
    /// limit on each body.
    pub(super) const fn of_body(error: TooLong, max_bytes: usize) -> Self {
        if error.max_bytes == max_bytes {
            Self::BodyTooLong
        } else {
            Self::BuffersFull
        }
    }

    /// Returns the cause of a refusal because of the request's key.
    pub(super) const fn of_key(error: KeyError) -> Self {
        match error {
            KeyError::Missing => Self::KeyMissing,
            KeyError::Unreadable => Self::KeyUnreadable,
            KeyError::Unknown => Self::KeyUnknown,
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::KeyMissing | Self::KeyUnreadable | Self::KeyUnknown => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::QuotaExceeded | Self::QuotaTooSmall => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooSlow | Self::ConnectionClosed => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration
            | Self::BuffersFull
            | Self::NoServer
            | Self::VersionGone
            | Self::VersionUnknown
            | Self::ServersPaused
            | Self::ServersLimited
            | Self::Overloaded
            | Self::ServersRefused
            | Self::Quarantined
            | Self::ExpiredUnrun
            | Self::StoppedUnrun => StatusCode::SERVICE_UNAVAILABLE,
            Self::ExpiredRunning => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenOff | Self::StoppedRunning => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether the request has not run and will not run.
    pub(super) const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::ExpiredRunning | Self::BrokenOff | Self::StoppedRunning
        )
    }

    const fn message(self) -> &'static str {
        match self {
            Self::NoConfiguration => "this entry has just started; retry later",
            Self::NoRoute => "no route matches this host and path; correct them",
            Self::KeyMissing => "the request needs the key of a client account; send one",
            Self::KeyUnreadable => "the key is empty, not ASCII or given twice; send it once",
            Self::KeyUnknown => "no client account has this key; ask the operator for a valid one",
            Self::QuotaExceeded => "the client account has used its quota; retry later",
            Self::QuotaTooSmall => {
                "the request costs more than its account may use at once; send a smaller one"
            }
            Self::BodyTooLong => "the body exceeds the operator's limit; send a smaller one",
            Self::BodyTooSlow => "the body did not arrive in time; send the request again",
            Self::BuffersFull => "too many bodies are held for other requests; retry later",
            Self::BodyBroken => "the body is incomplete; send the request again",
            Self::NoServer => "no server is available for the request; retry later",
            Self::VersionGone => {
                "no server of the version that began the stream is available; start a new stream"
            }
            Self::VersionUnknown => {
                "the version that began the stream is unknown; start a new stream"
            }
            Self::ServersPaused => "the servers take no requests for a moment; retry later",
            Self::ServersLimited => "the servers take no more requests at this rate; retry later",
            Self::Overloaded => "the servers are busy; retry later",
            Self::ServersRefused => "the servers refused the request; retry later",
            Self::Quarantined => {
                "the request crashes the servers that run it; change it, or ask the operator"
            }
            Self::ExpiredUnrun => "the deadline passed before the request ran; retry it",
            Self::ExpiredRunning => "the deadline passed; the request may have run",
            Self::StoppedUnrun | Self::ConnectionClosed => {
                "this entry exits; send the request to another one"
            }
            Self::StoppedRunning => "this entry exits; the request may have run",
            Self::BrokenOff => {
                "the server failed before its response was complete; the request may have run"
            }
        }
    }
}

/// The refusal of a request for which there is no response of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) cause: RefusalCause,
    pub(super) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that does not fit into the quota of its account.
    pub(super) const fn of_quota(refusal: QuotaRefusal) -> Self {
        match refusal {
            QuotaRefusal::TooLarge => Self {
                cause: RefusalCause::QuotaTooSmall,
                retry_after_ms: None,
            },
            QuotaRefusal::Exceeded { retry_after_ms } => Self {
                cause: RefusalCause::QuotaExceeded,
                retry_after_ms: Some(retry_after_ms),
            },
        }
    }
}

/// Builds the response to a refused or failed request: a JSON error with its code, a message and
/// whether the request has run.
pub(super) fn refusal_response(
    cause: RefusalCause,
    retry_after_ms: Option<u64>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::from(error_body(cause))));
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

fn error_body(cause: RefusalCause) -> String {
    let name: &'static str = cause.into();
    let outcome = if cause.is_not_run() {
        "not_run"
    } else {
        "unknown"
    };
    let body = serde_json::json!({
        "error": { "code": name, "message": cause.message(), "outcome": outcome },
    });
    body.to_string()
}

/// Builds the response with which the entry closes a connection, as the bytes to send. A request that is on its way
/// has not run and will not run, and may be sent to another entry at once.
pub(super) fn closing_response() -> Vec<u8> {
    let cause = RefusalCause::ConnectionClosed;
    let body = error_body(cause);
    let length = body.len();
    format!(
        "HTTP/1.1 {}\r\nconnection: close\r\ncontent-type: application/json\r\nretry-after: 0\r\n\
         content-length: {length}\r\n\r\n{body}",
        cause.status()
    )
    .into_bytes()
}

/// Logs a refused or failed request; `left_ms` is the time that was left to its deadline.
pub(super) fn log_refusal(
    id: Option<&str>,
    account: Option<&Account>,
    cause: RefusalCause,
    retry_after_ms: Option<u64>,
    left_ms: u64,
) {
    let id = id.unwrap_or("-");
    let account = account.map_or("-", |account| &*account.name);
    emit(
        EventId::RequestRefused,
        format_args!(
            "request={id} account={account} cause={cause} retry_after_ms={retry_after_ms:?} left_ms={left_ms}"
        ),
    );
}
