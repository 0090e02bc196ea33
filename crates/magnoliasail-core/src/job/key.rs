//! Idempotency keys of callers and the creation times in them.

use {
    super::MAX_CLOCK_SKEW_MS,
    crate::TimeMs,
    std::sync::Arc,
    uuid::{Uuid, Version},
};

const MAX_KEY_BYTES: usize = 255;

/// The idempotency key of a job, chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobKey {
    text: Arc<str>,
    created_ms: Option<TimeMs>,
}

impl JobKey {
    /// Parses a key; returns `None` if it is empty, too long or not printable ASCII.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_printable {
            return None;
        }
        let created_ms = Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version() == Some(Version::SortRand))
            .and_then(|uuid| uuid.get_timestamp())
            .map(|timestamp| {
                let (seconds, nanoseconds) = timestamp.to_unix();
                seconds * 1_000 + u64::from(nanoseconds) / 1_000_000
            });
        Some(Self {
            text: text.into(),
            created_ms,
        })
    }

    /// Returns the key as the caller sent it.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the time in a version 7 UUID, in milliseconds since the Unix epoch; `None` for any
    /// other key.
    #[must_use]
    pub const fn created_ms(&self) -> Option<TimeMs> {
        self.created_ms
    }

    /// Returns the span in which the key was created, as seen at `now_ms`.
    ///
    /// A key without a time is assumed to have been created within `opaque_horizon_ms`, the time
    /// for which callers resend such a key.
    #[must_use]
    pub fn span(&self, now_ms: TimeMs, opaque_horizon_ms: u64) -> KeySpan {
        match self.created_ms {
            Some(created_ms) => KeySpan {
                first_ms: created_ms,
                last_ms: created_ms,
            },
            None => KeySpan {
                first_ms: now_ms.saturating_sub(opaque_horizon_ms + MAX_CLOCK_SKEW_MS),
                last_ms: now_ms + MAX_CLOCK_SKEW_MS,
            },
        }
    }
}

/// The range of possible creation times of a key, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySpan {
    /// Earliest possible creation time.
    pub first_ms: TimeMs,
    /// Latest possible creation time.
    pub last_ms: TimeMs,
}
