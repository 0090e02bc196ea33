//! Reasons for refusals and retries. Their codes are stable, and each has a counter.

use strum::{Display, EnumCount, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// Why a request, or one attempt of it, was refused or abandoned.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    FromRepr,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum RefusalReason {
    /// The bearer key is missing or unknown.
    Unauthorized = 1,
    /// The body or a header is malformed.
    BadRequest,
    /// The table has no such adapter or version, or has it disabled.
    UnknownModel,
    /// The table has no such service or call.
    UnknownService,
    /// The body exceeds the limit.
    TooLarge,
    /// The caller sent the request's head or body too slowly.
    TooSlow,
    /// The process has reached its connection limit.
    TooManyConnections,
    /// The population exceeds its rate limit.
    RateLimited,
    /// The population exceeds its share while the fleet is busy.
    Overloaded,
    /// The deadline passed before the request ran.
    DeadlineExceeded,
    /// No live backend server can take the request.
    NoServer,
    /// Every adapter slot of the server is pinned.
    SlotsBusy,
    /// The server's queue is full.
    QueueFull,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The server or the process is shutting down.
    Draining,
    /// The request is quarantined because it crashes backend servers.
    Poisonous,
    /// The request is suspected of crashing servers and no server is free to run it alone.
    SuspectBusy,
    /// The agent does not hold the job's owner slot.
    NotHome,
    /// The agent has no lease, so it cannot prove that no other incarnation may run the job.
    NoJobLease,
    /// An earlier incarnation of the agent may have run the job.
    JobMayHaveRun,
    /// The attempt is older than an earlier refusal of the same job.
    StaleAttempt,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// A job with this idempotency key is running.
    JobInProgress,
    /// The call must carry an idempotency key.
    KeyMissing,
    /// The engine crashed while it ran the request.
    EngineCrashed,
    /// The engine's answer names a different adapter or version.
    WrongModel,
    /// The engine reported an error.
    EngineError,
    /// The link to the agent was lost and the answer could not be resumed.
    LinkLost,
    /// A bounded queue inside the process was full.
    RingFull,
    /// No valid configuration has been applied yet.
    NotConfigured,
    /// The caller disconnected.
    CallerGone,
    /// An internal worker failed.
    Internal,
}

impl RefusalReason {
    /// Returns the code that identifies the reason on the wire.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the reason for a code from the wire; unknown codes map to [`Self::Internal`].
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        Self::from_repr(code).unwrap_or(Self::Internal)
    }

    /// Returns what the caller can do about the refusal, as a sentence fragment for an error message.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Unauthorized => "send a bearer key that the operators have published",
            Self::BadRequest => "correct the request and send it again",
            Self::UnknownModel => "choose a model that GET /v1/models lists",
            Self::UnknownService => "choose a service and call that the table lists",
            Self::TooLarge => "send a smaller body",
            Self::TooSlow => "send the head and body of the request without pausing",
            Self::TooManyConnections => "reuse connections, or retry later",
            Self::RateLimited => {
                "send fewer requests per second, or ask the operators for a higher rate"
            }
            Self::Overloaded => "retry later, or ask the operators for a larger share",
            Self::DeadlineExceeded => "allow more time, or retry later",
            Self::NoServer
            | Self::SlotsBusy
            | Self::QueueFull
            | Self::LoadFailed
            | Self::Draining
            | Self::SuspectBusy
            | Self::RingFull
            | Self::NotConfigured => "retry later",
            Self::Poisonous => "change the request: it crashes the servers that run it",
            Self::NotHome | Self::NoJobLease | Self::StaleAttempt | Self::JobInProgress => {
                "send the same request with the same idempotency key later"
            }
            Self::JobMayHaveRun => "ask the service whether the job ran before using a new key",
            Self::KeyReused => "use a new idempotency key for a new request",
            Self::KeyMissing => "send an Idempotency-Key header, preferably a version 7 UUID",
            Self::EngineCrashed
            | Self::WrongModel
            | Self::EngineError
            | Self::LinkLost
            | Self::CallerGone
            | Self::Internal => "send the request again",
        }
    }

    /// Returns whether another server might accept the same request immediately.
    #[must_use]
    pub const fn is_retryable_elsewhere(self) -> bool {
        matches!(
            self,
            Self::SlotsBusy
                | Self::QueueFull
                | Self::LoadFailed
                | Self::Draining
                | Self::SuspectBusy
                | Self::RingFull
                | Self::NotConfigured
                | Self::WrongModel
                | Self::EngineError
                | Self::LinkLost
        )
    }
}

/// Why an entry sent another attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The agent refused the attempt, which therefore did not run.
    Refused,
    /// The attempt may have run, and the call is safe to repeat.
    Repeatable,
    /// The link failed before the attempt was sent.
    NeverSent,
    /// The job's epoch changed after the attempt was sent.
    JobEpoch,
}
