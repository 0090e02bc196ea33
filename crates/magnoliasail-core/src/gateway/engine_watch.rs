//! Liveness detection for an engine, based on the reports that its agent requests.

/// Number of consecutive unanswered report requests after which an engine counts as down.
const MAX_UNANSWERED: u32 = 2;

/// Why a report is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingReport {
    /// The engine sent no valid response to the request.
    Unanswered,
    /// The agent could not send the request, which says nothing about the engine.
    NotSent,
    /// The engine refused the request and asked for a pause. It is counted neither as unanswered nor
    /// as a report.
    Paused,
}

/// Counts unanswered report requests to detect that an engine is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineWatch {
    unanswered: u32,
}

impl EngineWatch {
    /// Returns whether the engine counts as down.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.unanswered >= MAX_UNANSWERED
    }

    /// Records a received report; returns whether the engine counted as down until now.
    pub const fn record_report(&mut self) -> bool {
        let was_down = self.is_down();
        self.unanswered = 0;
        was_down
    }

    /// Records a missing report; returns `true` once, when the engine starts to count as down.
    pub const fn record_missing(&mut self, report: MissingReport) -> bool {
        match report {
            MissingReport::NotSent | MissingReport::Paused => false,
            MissingReport::Unanswered => {
                self.unanswered = self.unanswered.saturating_add(1);
                self.unanswered == MAX_UNANSWERED
            }
        }
    }
}
