//! Numbered log events; `docs/EVENTS.md` lists each with its cause and what an operator can do.

use {
    crate::log_queue::LogQueue,
    log::Level,
    logforth::{
        append::Stderr,
        layout::{JsonLayout, TextLayout},
        record::LevelFilter,
    },
    std::{fmt::Display, str::FromStr},
    strum::{Display as StrumDisplay, EnumIter, EnumString, IntoStaticStr},
};

/// A kind of log event, identified by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr, StrumDisplay)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum EventId {
    /// A process has started.
    Started = 100,
    /// A graceful shutdown started.
    DrainStarted = 101,
    /// A graceful shutdown completed or reached its time limit.
    DrainFinished = 102,
    /// A second signal ended the process during its graceful shutdown.
    DrainHurried = 103,
    /// A worker thread panicked and is restarted after a backoff.
    DutyRestarted = 110,
    /// A worker thread panicked too often in a short time, and the process exits.
    DutyFailed = 111,
    /// The process resumed after a pause.
    Paused = 120,
    /// A link between an entry and an agent came up.
    LinkUp = 200,
    /// A link between an entry and an agent closed, failed or timed out.
    LinkDown = 201,
    /// A peer failed to prove that it has one of the link keys, so no link was opened.
    LinkUnauthenticated = 202,
    /// A bounded queue was full, so a message was dropped, or its link or attempt was ended.
    RingFull = 210,
    /// A version of the table was applied.
    TableAdopted = 300,
    /// A version of the table was rejected as invalid; the active one stays.
    TableRejected = 301,
    /// The configuration service could not be read.
    ConfigUnreachable = 302,
    /// The list of VMs could not be read from the platform.
    ListUnreachable = 303,
    /// A backend server crashed or restarted, and lost its adapters.
    ServerCrashed = 400,
    /// A backend server failed to load an adapter, or to unload the one that it replaces.
    LoadFailed = 401,
    /// A backend server rejected a load or unload because its fencing token was out of date.
    OrderFenced = 402,
    /// An engine answered with another adapter than the request named.
    WrongModel = 403,
    /// A request is suspected of crashing engines and runs alone until it is cleared.
    RequestSuspected = 410,
    /// A request crashed an engine while it ran alone; it is quarantined and refused.
    RequestCondemned = 411,
    /// A request is no longer suspected of crashing engines.
    RequestCleared = 412,
    /// A reload was requested; no setting can change while the process runs.
    Reloaded = 104,
    /// Log lines were dropped because standard output was read too slowly.
    LogLinesDropped = 130,
    /// A connection could not be accepted or set up.
    AcceptFailed = 220,
    /// The platform's store could not be read.
    StoreLost = 310,
    /// The platform's store can be read again after a failure.
    StoreRegained = 311,
    /// The platform's store was restored from a copy, and its keys are read again.
    StoreEraChanged = 312,
    /// A response of the platform's store was not used because of its era.
    StoreAnswerDiscarded = 313,
    /// The history of the server list was read from the platform's store.
    HistoryRead = 314,
    /// The history of the server list could not be read, or does not show all servers.
    HistoryUnread = 315,
    /// The platform's store no longer has the history for a watch, and its keys are read again.
    StoreHistoryLost = 316,
    /// A version of the configuration was applied.
    ConfigurationAdopted = 320,
    /// A configuration or a version announcement that the operator published is invalid.
    ConfigurationRejected = 321,
    /// A backend server was registered, or its registration changed.
    ServerListed = 330,
    /// The registration of a backend server was removed.
    ServerRemoved = 331,
    /// The registration of a backend server is invalid.
    ServerUnreadable = 332,
    /// A backend server said in a response that it is leaving.
    ServerLeaving = 333,
    /// A backend server refused a request and asked for a pause.
    ServerPaused = 334,
    /// A backend server named the rate of requests that it takes, or another one than before.
    ServerRateNamed = 335,
    /// A backend server names no rate of requests any more.
    ServerRateLifted = 336,
    /// An agent grants another part of a named rate than before.
    RateDivided = 337,
    /// The operator announced a version of an adapter.
    VersionAnnounced = 340,
    /// An engine started or stopped accepting requests.
    EngineState = 420,
    /// The state report of an engine could not be read.
    EngineLost = 421,
    /// The state report of an engine can be read again after a failure.
    EngineRegained = 422,
    /// An engine crashed while requests ran on it; the line has their fingerprints.
    EngineCrashed = 423,
    /// An engine reports another start than before.
    EngineRestarted = 425,
    /// A plain server broke off requests or is gone after some were cancelled; the line has their
    /// fingerprints.
    PlainServerCrashed = 424,
    /// A request or a part of a prompt crashes servers and is refused from now on.
    QuarantineStarted = 440,
    /// Something quarantined is no longer refused.
    QuarantineEnded = 441,
    /// A request completed, so that earlier crashes do not count against it any more.
    CrashesDiscounted = 442,
    /// An engine was ordered to load or unload a model or an adapter.
    OrderGiven = 430,
    /// An order to an engine got no response, so its outcome is unknown.
    OrderLost = 431,
    /// An agent asks another entry than before for permits to fetch adapters from the weight store.
    FetchEntryPicked = 432,
    /// The entry that is asked permitted the fetch of an adapter.
    FetchPermitted = 433,
    /// An agent refused an attempt, which has not run.
    AttemptRefused = 500,
    /// An attempt at a server failed.
    AttemptFailed = 501,
    /// An engine could not be reached, or failed before it completed a response.
    AnswerBrokenOff = 502,
    /// A response from a server stalled and was abandoned.
    AnswerStalled = 503,
    /// An idle pooled connection was lost as soon as a request was sent on it.
    IdleConnectionLost = 504,
    /// A response of a server exceeds a limit and was broken off.
    ResponseTooLong = 505,
    /// Too many bytes waited for callers that read slowly, and a stream was broken off.
    BufferFull = 506,
    /// A response without a length or chunks ended, and it was decided whether it is complete.
    UnframedEnd = 507,
    /// The entry itself answered a request with an error.
    RequestRefused = 510,
    /// A stream was resumed at another server.
    StreamResumed = 511,
    /// A stream ended early and could not be resumed.
    StreamBrokenOff = 512,
    /// A server answered a request; logged for every server error and for a sample of the others.
    RequestAnswered = 513,
    /// A request waited for an entry or an agent that had just started.
    RequestWaited = 514,
    /// The search for a server to take over from a stalled one ended.
    TakeoverEnded = 515,
    /// A caller disconnected before the entry had responded.
    CallerLeft = 516,
    /// A client account has used its quota, and requests of it are refused.
    QuotaExceeded = 517,
    /// A request arrived on a connection that a draining entry had just closed with a refusal.
    RequestCrossedClose = 518,
    /// A caller resumes a stream, and the software version that began it was looked up.
    OriginLookup = 520,
}

impl EventId {
    /// Returns the number under which `docs/EVENTS.md` lists the event.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the level at which the event is logged.
    #[must_use]
    pub const fn level(self) -> Level {
        match self {
            Self::DutyFailed
            | Self::TableRejected
            | Self::WrongModel
            | Self::ConfigurationRejected => Level::Error,
            Self::DrainHurried
            | Self::DutyRestarted
            | Self::Paused
            | Self::LinkDown
            | Self::LinkUnauthenticated
            | Self::RingFull
            | Self::ConfigUnreachable
            | Self::ListUnreachable
            | Self::ServerCrashed
            | Self::LoadFailed
            | Self::OrderFenced
            | Self::RequestSuspected
            | Self::RequestCondemned
            | Self::LogLinesDropped
            | Self::AcceptFailed
            | Self::StoreLost
            | Self::StoreEraChanged
            | Self::StoreAnswerDiscarded
            | Self::HistoryUnread
            | Self::ServerUnreadable
            | Self::EngineLost
            | Self::EngineCrashed
            | Self::PlainServerCrashed
            | Self::QuarantineStarted
            | Self::ResponseTooLong
            | Self::OrderLost => Level::Warn,
            Self::Started
            | Self::DrainStarted
            | Self::DrainFinished
            | Self::LinkUp
            | Self::TableAdopted
            | Self::RequestCleared
            | Self::Reloaded
            | Self::StoreRegained
            | Self::HistoryRead
            | Self::StoreHistoryLost
            | Self::ConfigurationAdopted
            | Self::ServerListed
            | Self::ServerRemoved
            | Self::ServerLeaving
            | Self::ServerPaused
            | Self::ServerRateNamed
            | Self::ServerRateLifted
            | Self::RateDivided
            | Self::VersionAnnounced
            | Self::EngineState
            | Self::EngineRegained
            | Self::EngineRestarted
            | Self::UnframedEnd
            | Self::QuarantineEnded
            | Self::CrashesDiscounted
            | Self::CallerLeft
            | Self::QuotaExceeded
            | Self::RequestCrossedClose
            | Self::OrderGiven
            | Self::FetchEntryPicked
            | Self::FetchPermitted
            | Self::AttemptRefused
            | Self::AttemptFailed
            | Self::AnswerBrokenOff
            | Self::AnswerStalled
            | Self::IdleConnectionLost
            | Self::BufferFull
            | Self::RequestRefused
            | Self::RequestAnswered
            | Self::RequestWaited
            | Self::OriginLookup
            | Self::StreamResumed
            | Self::StreamBrokenOff
            | Self::TakeoverEnded => Level::Info,
        }
    }
}

/// Logs an event with its details, usually as `key=value` pairs.
pub fn emit<D: Display>(event: EventId, detail: D) {
    let name: &'static str = event.into();
    let number = event.number();
    log::log!(event.level(), event = number, name = name; "E{number} {name}: {detail}");
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, StrumDisplay)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Starts logging to stdout from a thread of its own, at level `info`.
///
/// If the queue of that thread is full, a line is dropped and counted.
pub fn start_stdout_logging(format: LogFormat) {
    let filter = LevelFilter::MoreSevereEqual(logforth::record::Level::Info);
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(filter);
            match format {
                LogFormat::Text => {
                    dispatch.append(LogQueue::start(TextLayout::default().no_color()))
                }
                LogFormat::Json => dispatch.append(LogQueue::start(JsonLayout::default())),
            }
        })
        .apply();
}

/// Starts logging to stderr at a level such as `warn`; an unknown level counts as `info`.
pub fn start_stderr_logging(format: LogFormat, level: &str) {
    let filter = match Level::from_str(level) {
        Ok(Level::Error) => LevelFilter::MoreSevereEqual(logforth::record::Level::Error),
        Ok(Level::Warn) => LevelFilter::MoreSevereEqual(logforth::record::Level::Warn),
        Ok(Level::Debug | Level::Trace) => {
            LevelFilter::MoreSevereEqual(logforth::record::Level::Debug)
        }
        Ok(Level::Info) | Err(_) => LevelFilter::MoreSevereEqual(logforth::record::Level::Info),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let stderr = match format {
                LogFormat::Text => Stderr::default().with_layout(TextLayout::default()),
                LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
            };
            dispatch.filter(filter).append(stderr)
        })
        .apply();
}
