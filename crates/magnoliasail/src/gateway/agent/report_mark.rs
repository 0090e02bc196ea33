//! Whether the engine was alive at a time, as its reports show.

use {
    super::state::AgentState,
    std::time::Duration,
    strum::{Display, IntoStaticStr},
    tokio::time::timeout,
};

/// Longest wait for a report: that of two requests without an answer.
const MAX_WAIT: Duration = Duration::from_millis(1_100);

/// The outcome of the latest request for a report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportMark {
    pub(super) requested_ms: u64,
    /// Whether the engine answered the request, even if it did not give a report.
    pub(super) is_answered: bool,
    /// The start time of the engine.
    pub(super) started_ms: Option<u64>,
}

/// What is known of the engine after the end of a response without a length or chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum EndEvidence {
    /// The engine was leaving, and was not asked.
    Leaving,
    /// The start that sent the response is alive.
    Alive,
    /// Another start of the engine is alive.
    OtherStart,
    /// The engine did not answer.
    Unanswered,
}

impl EndEvidence {
    /// Returns whether the response counts as complete.
    pub(super) const fn is_complete(self) -> bool {
        matches!(self, Self::Leaving | Self::Alive)
    }
}

impl AgentState {
    /// Finds out whether the start `started_ms` of the engine is still alive, which a report that is
    /// requested from now on shows.
    ///
    /// A response with neither a length nor chunks ends with its connection, and the crash of its engine
    /// ends it in the same way. An engine that is about to exit completes its responses but may give no
    /// reports.
    pub(super) async fn end_evidence(&self, started_ms: Option<u64>) -> EndEvidence {
        if self.scheduler.borrow().is_ending() {
            return EndEvidence::Leaving;
        }
        let now_ms = self.clock.now_ms();
        let mut marks = self.last_report.subscribe();
        self.report_requested.notify_one();
        let later_mark = marks.wait_for(|mark| mark.requested_ms > now_ms);
        match timeout(MAX_WAIT, later_mark).await {
            Ok(Ok(mark)) if mark.is_answered && mark.started_ms == started_ms => EndEvidence::Alive,
            Ok(Ok(mark)) if mark.is_answered => EndEvidence::OtherStart,
            _ => EndEvidence::Unanswered,
        }
    }
}
