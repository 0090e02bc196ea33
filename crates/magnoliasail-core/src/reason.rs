//! Stable codes for refusals and retries; each has a counter.

use strum::{Display, EnumCount, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// Why a request, or one attempt of it, was refused or given up.
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
    /// The body or a header cannot be understood.
    BadRequest,
    /// The table has no such adapter, version or service.
    UnknownModel,
    /// The table has no such service or call.
    UnknownService,
    /// The body exceeds the limit.
    TooLarge,
    /// The caller sent its head or body too slowly.
    TooSlow,
    /// The process holds as many connections as it may.
    TooManyConnections,
    /// The population exceeds its rate limit.
    RateLimited,
    /// The population exceeds its share while the fleet is busy.
    Overloaded,
    /// The deadline passed before the request could run.
    DeadlineExceeded,
    /// No live backend server can take the request.
    NoServer,
    /// Every adapter slot of the server is in use.
    SlotsBusy,
    /// The queue of the server is full.
    QueueFull,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The server or the process is shutting down.
    Draining,
    /// The request is known to crash backend servers.
    Poisonous,
    /// The request is suspected of crashing servers and no server is free to run it alone.
    SuspectBusy,
    /// The agent does not hold the slot that the job belongs to.
    NotHome,
    /// The agent cannot prove that no other incarnation may run the job.
    NoJobLease,
    /// The job may have run under an earlier incarnation of the agent.
    JobMayHaveRun,
    /// The job was refused before and this attempt predates the refusal.
    StaleAttempt,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// A job with this idempotency key is running.
    JobInProgress,
    /// The call must carry an idempotency key.
    KeyMissing,
    /// The engine crashed while it ran the request.
    EngineCrashed,
    /// The engine answered for another adapter or version.
    WrongModel,
    /// The engine reported an error.
    EngineError,
    /// The link to the agent was lost and the answer could not be resumed.
    LinkLost,
    /// A bounded ring inside the process was full.
    RingFull,
    /// No valid configuration has been adopted yet.
    NotConfigured,
    /// The caller went away.
    CallerGone,
    /// An internal duty failed.
    Internal,
}

impl RefusalReason {
    /// Returns the reason's code on the wire.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the reason for a code on the wire; unknown codes map to `Internal`.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        Self::from_repr(code).unwrap_or(Self::Internal)
    }

    /// Returns what the caller can do about the refusal.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Unauthorized => "send a bearer key that the operators have published",
            Self::BadRequest => "correct the request and send it again",
            Self::UnknownModel => "choose a model that GET /v1/models lists",
            Self::UnknownService => "choose a service and call that the table lists",
            Self::TooLarge => "send a smaller body",
            Self::TooSlow => "send the head and body of the request without pauses",
            Self::TooManyConnections => "reuse connections, or come back later",
            Self::RateLimited => "slow down, or ask the operators for a higher rate",
            Self::Overloaded => "come back later, or ask the operators for a larger share",
            Self::DeadlineExceeded => "allow more time, or come back later",
            Self::NoServer
            | Self::SlotsBusy
            | Self::QueueFull
            | Self::LoadFailed
            | Self::Draining
            | Self::SuspectBusy
            | Self::RingFull
            | Self::NotConfigured => "come back later",
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

    /// Tells whether another server might accept the same attempt at once.
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
    /// The attempt may have run, and the call may be repeated.
    Repeatable,
    /// The link failed before the attempt was sent.
    NeverSent,
    /// The job's epoch had moved on.
    JobEpoch,
}
