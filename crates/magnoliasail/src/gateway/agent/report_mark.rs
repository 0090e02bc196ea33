//! What the engine's reports prove: which start of it was alive at a time, and which start sent a response.
//!
//! A report is younger than its request and older than its answer. So what a report shows is used only for
//! what happened before it was requested: the end of a response, or the opening of a connection. A report that
//! is late or missing proves nothing: a sound engine may fall silent for a while.

use {
    super::state::AgentState,
    std::time::Duration,
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, timeout},
};

/// Longest wait for a report, well above the time for which a sound engine may fall silent.
const MAX_WAIT: Duration = Duration::from_millis(2_500);

/// What the requests for reports have shown so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportMarks {
    /// When the latest request was made that a start of the engine answered, and that start.
    alive: Option<(Instant, Option<u64>)>,
    /// When the latest request was made at which no process listened at the engine's address.
    gone_at: Option<Instant>,
}

/// How the engine answered a request for a report.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReportAnswer {
    /// With a report, which names the start of the engine.
    Started(Option<u64>),
    /// With a refusal, on a connection that was opened at this time.
    Refused(Instant),
    /// No process listens at its address.
    Gone,
    /// Not, or not in time.
    Unanswered,
}

impl ReportMarks {
    /// Records the answer to a request that was made at `requested_at`.
    pub(super) fn record(&mut self, requested_at: Instant, answer: ReportAnswer) {
        match answer {
            ReportAnswer::Started(started_ms) => self.alive = Some((requested_at, started_ms)),
            ReportAnswer::Refused(opened_at) => {
                // Only the start that reported after the connection was opened can still answer on it.
                if let Some((_, started_ms)) = self.alive.filter(|&(at, _)| at > opened_at) {
                    self.alive = Some((requested_at, started_ms));
                }
            }
            ReportAnswer::Gone => self.gone_at = Some(requested_at),
            ReportAnswer::Unanswered => {}
        }
    }

    /// Returns the start that answered a request made after `at`, if one did.
    fn alive_after(&self, at: Instant) -> Option<Option<u64>> {
        let (_, started_ms) = self.alive.filter(|&(requested_at, _)| requested_at > at)?;
        Some(started_ms)
    }

    fn is_gone_after(&self, at: Instant) -> bool {
        self.gone_at.is_some_and(|gone_at| gone_at > at)
    }
}

/// What is known of the engine after the end of a response without a length or chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum EndEvidence {
    /// The start that sent the response is alive.
    Alive,
    /// Another start of the engine is alive.
    OtherStart,
    /// Nothing shows which start is alive, if any.
    Unproven,
}

impl AgentState {
    /// Finds out whether the start `started_ms` of the engine was still alive after a response of it had ended
    /// at `ended_at`.
    ///
    /// A response with neither a length nor chunks ends with its connection, and the end of its engine ends it
    /// in the same way, also that of an engine which drains or leaves.
    pub(super) async fn end_evidence(
        &self,
        started_ms: Option<u64>,
        ended_at: Instant,
    ) -> EndEvidence {
        match self.start_alive_after(ended_at).await {
            Some(alive_ms) if alive_ms == started_ms => EndEvidence::Alive,
            Some(_) => EndEvidence::OtherStart,
            None => EndEvidence::Unproven,
        }
    }

    /// Returns whether what arrives on a connection that was opened at `opened_at` comes from the start
    /// `started_ms` of the engine, which an earlier report has named.
    ///
    /// If a report that was requested after the opening still names this start, no other can have accepted the
    /// connection.
    pub(super) async fn is_connected_to_start(&self, started_ms: u64, opened_at: Instant) -> bool {
        self.start_alive_after(opened_at).await == Some(Some(started_ms))
    }

    /// Waits for a report that is requested after `at`, unless there is one already, and returns the start that
    /// it names; `None` if the engine is gone, or gives none for too long.
    async fn start_alive_after(&self, at: Instant) -> Option<Option<u64>> {
        let mut marks = self.report_marks.subscribe();
        let is_known =
            |marks: &ReportMarks| marks.alive_after(at).is_some() || marks.is_gone_after(at);
        if !is_known(&marks.borrow()) {
            self.report_requested.notify_one();
        }
        let marks = timeout(MAX_WAIT, marks.wait_for(is_known))
            .await
            .ok()?
            .ok()?;
        marks.alive_after(at)
    }
}
