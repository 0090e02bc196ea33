//! The rate that one start of a backend server names in its responses, and the requests sent under it.
//!
//! Responses overtake each other. What the server says in a response counts from the time at which the
//! request was sent: a response that names no rate lifts it only if its request was sent after the last
//! one whose response named it. Responses to requests and reports are taken apart, because a server may
//! name its rate in one of them only.

use {
    super::{Pacer, RateStatement, RequestRate},
    crate::TimeMs,
    strum::{Display, IntoStaticStr},
};

/// The kind of response that names a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RateSource {
    /// The response to a caller's request.
    Request,
    /// The response to a request for the engine's report.
    Report,
}

/// A change of the rate that a server names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The server names this rate, and another one or none before.
    Named(RequestRate),
    /// The server names no rate any more.
    Lifted,
}

/// The rate that one start of a server names, and when it may get the next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    by_requests: LastStatement,
    by_reports: LastStatement,
    /// Present while a rate is named.
    pacer: Option<Pacer>,
}

/// What the responses of one kind said last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LastStatement {
    rate: Option<RequestRate>,
    sent_ms: TimeMs,
}

impl RateLimit {
    /// Applies what a response said to a request that was sent at `sent_ms`; returns what changes.
    ///
    /// A statement that cannot be read changes nothing.
    pub fn apply(
        &mut self,
        statement: RateStatement,
        source: RateSource,
        sent_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Option<RateChange> {
        let rate = match statement {
            RateStatement::Unnamed => None,
            RateStatement::Named(rate) => Some(rate),
            RateStatement::Unreadable => return None,
        };
        let old_rate = self.rate();
        let last = match source {
            RateSource::Request => &mut self.by_requests,
            RateSource::Report => &mut self.by_reports,
        };
        if sent_ms < last.sent_ms {
            return None;
        }
        *last = LastStatement { rate, sent_ms };
        let rate = self.rate();
        if rate == old_rate {
            return None;
        }
        let Some(rate) = rate else {
            self.pacer = None;
            return Some(RateChange::Lifted);
        };
        let pacer = self.pacer.get_or_insert_with(|| Pacer::new(rate, now_ms));
        pacer.drop_saved(now_ms);
        Some(RateChange::Named(rate))
    }

    /// Returns the rate that the server names, if any.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        let rates = [self.by_requests.rate, self.by_reports.rate];
        rates
            .into_iter()
            .flatten()
            .max_by_key(|rate| rate.interval_us())
    }

    /// Returns the time until the server may get a request after `ahead` others, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, ahead: u64, now_ms: TimeMs) -> u64 {
        self.pacing()
            .map_or(0, |(pacer, rate)| pacer.wait_ms(rate, ahead, now_ms))
    }

    /// Returns how many requests the server may get now.
    #[must_use]
    pub fn available(&self, now_ms: TimeMs) -> usize {
        self.pacing()
            .map_or(usize::MAX, |(pacer, rate)| pacer.available(rate, now_ms))
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now_ms: TimeMs) {
        if let Some((mut pacer, rate)) = self.pacing() {
            pacer.take(rate, now_ms);
            self.pacer = Some(pacer);
        }
    }

    /// Allows no request within the next `wait_ms` milliseconds, if a rate is named.
    pub fn postpone(&mut self, wait_ms: u64, now_ms: TimeMs) {
        if let Some(pacer) = &mut self.pacer {
            pacer.postpone(wait_ms, now_ms);
        }
    }

    fn pacing(&self) -> Option<(Pacer, RequestRate)> {
        self.pacer.zip(self.rate())
    }
}
