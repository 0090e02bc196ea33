//! What a backend server says in a response about the further work that it wants.

use strum::{Display, EnumIter, IntoStaticStr};

/// What a backend server says in a response about the further work that it wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is leaving and wants no new work until it starts anew.
    pub is_leaving: bool,
    /// The pause that the server asks for in a refusal.
    pub pause: Option<RequestedPause>,
}

/// A pause that a backend server asks for in a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedPause {
    /// The duration from the arrival of the response, in milliseconds.
    pub duration_ms: u64,
    /// How the duration was obtained.
    pub source: PauseSource,
}

/// How the duration of a pause was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PauseSource {
    /// The server gave it.
    Stated,
    /// The server gave a longer one than [`RequestedPause::MAX_MS`].
    Limited,
    /// The server gave no positive number of seconds.
    Unreadable,
}

impl RequestedPause {
    /// Longest pause. A server that needs more asks again at its first request after the pause.
    pub const MAX_MS: u64 = 30_000;
    /// Pause if the server gave no positive number of seconds: long enough to relieve it, and short
    /// enough to cost callers little if it meant none.
    pub const UNREADABLE_MS: u64 = 500;

    /// Creates the pause for a number of seconds, which is `None` if the server gave no number.
    #[must_use]
    pub fn from_seconds(seconds: Option<f64>) -> Self {
        const MS_PER_S: f64 = 1_000.0;
        let Some(seconds) = seconds.filter(|seconds| *seconds > 0.0) else {
            return Self {
                duration_ms: Self::UNREADABLE_MS,
                source: PauseSource::Unreadable,
            };
        };
        let stated_ms = (seconds * MS_PER_S).ceil();
        if stated_ms > Self::MAX_MS as f64 {
            return Self {
                duration_ms: Self::MAX_MS,
                source: PauseSource::Limited,
            };
        }
        Self {
            duration_ms: stated_ms as u64,
            source: PauseSource::Stated,
        }
    }
}

/// What a backend server announces for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// No new work until it starts anew.
    Leaving,
    /// No new work for some time.
    Pause {
        /// The time until the end of the pause, in milliseconds.
        left_ms: u64,
    },
}
