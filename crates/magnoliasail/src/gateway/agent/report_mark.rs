//! What the engine's reports prove: which start of it was alive at a time, and which start sent a response.
//!
//! A report is younger than its request and older than its answer. So what a report shows is used only for
//! what happened before it was requested: the end of a response, or the opening of a connection.

use {
    super::state::AgentState,
    std::time::Duration,
    strum::{Display, IntoStaticStr},
    tokio::time::{Instant, timeout},
};

/// Longest wait for a report: that of two requests without an answer.
const MAX_WAIT: Duration = Duration::from_millis(1_100);

/// The outcome of the latest request for a report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportMark {
    pub(super) requested_at: Instant,
    pub(super) answer: ReportAnswer,
}

/// How the engine answered a request for a report.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReportAnswer {
    /// With a report, which names the start of the engine.
    Started(Option<u64>),
    /// With a refusal, on a connection that was opened at this time.
    Refused(Instant),
    /// Not at all.
    Unanswered,
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
        match self.answer_after(ended_at).await {
            ReportAnswer::Started(alive_ms) if alive_ms == started_ms => EndEvidence::Alive,
            ReportAnswer::Started(_) => EndEvidence::OtherStart,
            ReportAnswer::Refused(opened_at) if opened_at < ended_at => EndEvidence::Alive,
            ReportAnswer::Refused(_) | ReportAnswer::Unanswered => EndEvidence::Unproven,
        }
    }

    /// Returns whether what arrives on a connection that was opened at `opened_at` comes from the start
    /// `started_ms` of the engine, which an earlier report has named.
    ///
    /// If a report that was requested after the opening still names this start, no other can have accepted the
    /// connection.
    pub(super) async fn is_connected_to_start(&self, started_ms: u64, opened_at: Instant) -> bool {
        let answer = self.answer_after(opened_at).await;
        matches!(answer, ReportAnswer::Started(Some(alive_ms)) if alive_ms == started_ms)
    }

    /// Requests a report, unless one was requested after `at`, and returns its answer.
    async fn answer_after(&self, at: Instant) -> ReportAnswer {
        let mut marks = self.last_report.subscribe();
        let is_later = |mark: &Option<ReportMark>| mark.is_some_and(|mark| mark.requested_at > at);
        if !is_later(&marks.borrow()) {
            self.report_requested.notify_one();
        }
        let answer = match timeout(MAX_WAIT, marks.wait_for(is_later)).await {
            Ok(Ok(mark)) => mark.map(|mark| mark.answer),
            _ => None,
        };
        answer.unwrap_or(ReportAnswer::Unanswered)
    }
}
