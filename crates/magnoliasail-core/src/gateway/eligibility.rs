//! Whether one backend server may get new work now, and the reason if it may not.

use {
    super::{Announcement, RateLimit, ServerNotice},
    crate::TimeMs,
    strum::{Display, IntoStaticStr},
};

/// Why a backend server may not get new work at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ineligibility {
    /// The server cannot be reached.
    Unreachable,
    /// The server was removed from the platform's list.
    Removed,
    /// The server is draining, as the list or its report says.
    Draining,
    /// The server has said in a response that it is leaving.
    Leaving,
    /// The server has another software version than the one that began the stream.
    OtherVersion,
    /// The server has asked for a pause that has not ended.
    Paused {
        /// The time left until the end of the pause, in milliseconds.
        left_ms: u64,
    },
    /// The server names a rate of requests, and a further one would exceed it.
    Limited {
        /// The time until it may get the next request, in milliseconds.
        left_ms: u64,
    },
}

impl Ineligibility {
    /// Returns the time until the server may get new work again, in milliseconds, if it has said so itself.
    #[must_use]
    pub const fn left_ms(self) -> Option<u64> {
        match self {
            Self::Paused { left_ms } | Self::Limited { left_ms } => Some(left_ms),
            _ => None,
        }
    }
}

/// What is known about whether one start of a backend server may get new work.
///
/// Requests, resumptions and orders ask [`Eligibility::check`] before they are sent. State that a
/// server has announced itself holds for one start of its process; the owner replaces the value when
/// the server has started anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eligibility {
    is_unreachable: bool,
    is_draining: bool,
    is_leaving: bool,
    /// When the removal from the list takes effect.
    removed_ms: Option<TimeMs>,
    paused_until_ms: TimeMs,
    limit: RateLimit,
}

impl Eligibility {
    /// Checks whether the server may get new work now.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not. The reasons that last longest come first.
    pub fn check(&self, now_ms: TimeMs) -> Result<(), Ineligibility> {
        if self.is_unreachable {
            return Err(Ineligibility::Unreachable);
        }
        if self.is_removed(now_ms) {
            return Err(Ineligibility::Removed);
        }
        if self.is_draining {
            return Err(Ineligibility::Draining);
        }
        if self.is_leaving {
            return Err(Ineligibility::Leaving);
        }
        match self.pause_left_ms(now_ms) {
            0 => Ok(()),
            left_ms => Err(Ineligibility::Paused { left_ms }),
        }
    }

    /// Checks whether the server may get a request now, under the rate that it names too.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not, as [`Self::check`] does.
    pub fn check_request(&self, now_ms: TimeMs) -> Result<(), Ineligibility> {
        self.check(now_ms)?;
        match self.limit.wait_ms(0, now_ms) {
            0 => Ok(()),
            left_ms => Err(Ineligibility::Limited { left_ms }),
        }
    }

    /// Returns the rate that the server names, with the requests sent under it.
    #[must_use]
    pub const fn limit(&self) -> &RateLimit {
        &self.limit
    }

    /// Returns the same, to apply what the server says about its rate and to count requests.
    pub const fn limit_mut(&mut self) -> &mut RateLimit {
        &mut self.limit
    }

    /// Returns whether the server gets no new work until it starts anew.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        self.is_draining || self.is_leaving
    }

    /// Returns the time left until the end of the pause that the server asked for, in milliseconds;
    /// 0 if there is none.
    #[must_use]
    pub const fn pause_left_ms(&self, now_ms: TimeMs) -> u64 {
        self.paused_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether the removal of the server from the list has taken effect.
    #[must_use]
    pub fn is_removed(&self, now_ms: TimeMs) -> bool {
        self.removed_ms
            .is_some_and(|removed_ms| removed_ms <= now_ms)
    }

    /// Returns whether a removal of the server from the list is recorded, in effect or not.
    #[must_use]
    pub const fn has_removal(&self) -> bool {
        self.removed_ms.is_some()
    }

    /// Returns whether the server itself has announced anything that still holds.
    #[must_use]
    pub fn has_announcement(&self, now_ms: TimeMs) -> bool {
        self.is_leaving || self.pause_left_ms(now_ms) > 0 || self.limit.rate().is_some()
    }

    /// Sets whether the server is draining, as the list or its report says.
    pub const fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Sets whether the server is unreachable.
    pub const fn set_unreachable(&mut self, is_unreachable: bool) {
        self.is_unreachable = is_unreachable;
    }

    /// Records that the list contains the server.
    pub const fn mark_listed(&mut self) {
        self.removed_ms = None;
    }

    /// Records that the list no longer contains the server, which takes effect at `effective_ms`
    /// unless an earlier removal is recorded.
    pub fn mark_removed(&mut self, effective_ms: TimeMs) {
        self.removed_ms.get_or_insert(effective_ms);
    }

    /// Applies what the server said in a response; returns what is new. A pause is only ever
    /// prolonged, because responses may overtake each other.
    pub fn apply(&mut self, notice: ServerNotice, now_ms: TimeMs) -> Option<Announcement> {
        let was_paused = self.pause_left_ms(now_ms) > 0;
        if let Some(pause) = notice.pause {
            self.paused_until_ms = self.paused_until_ms.max(now_ms + pause.duration_ms);
        }
        if notice.is_leaving && !self.is_leaving {
            self.is_leaving = true;
            return Some(Announcement::Leaving);
        }
        let left_ms = self.pause_left_ms(now_ms);
        (!was_paused && left_ms > 0).then_some(Announcement::Pause { left_ms })
    }
}
