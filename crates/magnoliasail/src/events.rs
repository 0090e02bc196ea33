//! Numbered log events; `docs/EVENTS.md` lists each with its cause and what the operator does.

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

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr, StrumDisplay)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum EventId {
    /// A process is ready.
    Started = 100,
    /// A graceful shutdown began.
    DrainStarted = 101,
    /// A graceful shutdown is complete.
    DrainFinished = 102,
    /// A second signal ended the process at once.
    DrainHurried = 103,
    /// A duty panicked and is restarted.
    DutyRestarted = 110,
    /// A duty panicked too often and the process ends.
    DutyFailed = 111,
    /// The process was paused and has woken.
    Paused = 120,
    /// A link came up.
    LinkUp = 200,
    /// A link ended.
    LinkDown = 201,
    /// A peer could not prove a key.
    LinkUnauthenticated = 202,
    /// A ring was full.
    RingFull = 210,
    /// A table version came into force.
    TableAdopted = 300,
    /// A table version was rejected.
    TableRejected = 301,
    /// The configuration service cannot be read.
    ConfigUnreachable = 302,
    /// The list of VMs cannot be read.
    ListUnreachable = 303,
    /// A backend server crashed or restarted cold.
    ServerCrashed = 400,
    /// A load failed.
    LoadFailed = 401,
    /// An engine refused an order with an old fencing number.
    OrderFenced = 402,
    /// An engine answered for another adapter.
    WrongModel = 403,
    /// A request came under suspicion of crashing servers.
    RequestSuspected = 410,
    /// A request was found to crash servers and is refused.
    RequestCondemned = 411,
    /// A request was cleared of suspicion.
    RequestCleared = 412,
    /// The settings may have changed.
    Reloaded = 104,
    /// Lines were not written because standard output was read too slowly.
    LogLinesDropped = 130,
    /// A connection could not be accepted.
    AcceptFailed = 220,
    /// The platform's store cannot be read.
    StoreLost = 310,
    /// The platform's store can be read again.
    StoreRegained = 311,
    /// A configuration came into force.
    ConfigurationAdopted = 320,
    /// Something that the operator published cannot be read.
    ConfigurationRejected = 321,
    /// A backend server's entry was written.
    ServerListed = 330,
    /// A backend server's entry was removed.
    ServerRemoved = 331,
    /// A backend server's entry cannot be read.
    ServerUnreadable = 332,
    /// A version of an adapter was announced.
    VersionAnnounced = 340,
    /// An engine began or ceased to take requests.
    EngineState = 420,
    /// An engine does not report.
    EngineLost = 421,
    /// An engine reports again.
    EngineRegained = 422,
    /// An engine was told to load or unload.
    OrderGiven = 430,
    /// An order has no answer.
    OrderLost = 431,
    /// An agent refused an attempt.
    AttemptRefused = 500,
    /// An attempt at a server came to nothing.
    AttemptFailed = 501,
    /// An engine broke off an answer.
    AnswerBrokenOff = 502,
    /// A server's answer has stalled and is given up.
    AnswerStalled = 503,
    /// A kept connection was lost as soon as a request was sent on it.
    IdleConnectionLost = 504,
    /// A request was answered with a failure of the entry's own.
    RequestRefused = 510,
    /// A stream went on at another server.
    StreamResumed = 511,
    /// A stream was broken off.
    StreamBrokenOff = 512,
    /// A request was answered by a server; each failure with its `status`, and one of many others.
    RequestAnswered = 513,
    /// A request waited for a process that has only just started.
    RequestWaited = 514,
}

impl EventId {
    /// Returns the number by which the catalogue lists the event.
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
            | Self::ServerUnreadable
            | Self::EngineLost
            | Self::OrderLost => Level::Warn,
            Self::Started
            | Self::DrainStarted
            | Self::DrainFinished
            | Self::LinkUp
            | Self::TableAdopted
            | Self::RequestCleared
            | Self::Reloaded
            | Self::StoreRegained
            | Self::ConfigurationAdopted
            | Self::ServerListed
            | Self::ServerRemoved
            | Self::VersionAnnounced
            | Self::EngineState
            | Self::EngineRegained
            | Self::OrderGiven
            | Self::AttemptRefused
            | Self::AttemptFailed
            | Self::AnswerBrokenOff
            | Self::AnswerStalled
            | Self::IdleConnectionLost
            | Self::RequestRefused
            | Self::RequestAnswered
            | Self::RequestWaited
            | Self::StreamResumed
            | Self::StreamBrokenOff => Level::Info,
        }
    }
}

/// Logs an event with what is particular to it.
pub fn emit<D: Display>(event: EventId, detail: D) {
    let name: &'static str = event.into();
    let number = event.number();
    log::log!(event.level(), event = number, name = name; "E{number} {name}: {detail}");
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, StrumDisplay)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Starts logging to stdout from a thread of its own; a line that does not fit its ring is counted
/// and dropped.
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

/// Starts logging to stderr.
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
