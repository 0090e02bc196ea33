//! Whether an engine still answers, judged by the reports that its agent asks for.

/// Reports without an answer, in a row, from which on an engine counts as down.
const MAX_UNANSWERED: u32 = 2;

/// What a report that did not come says of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingReport {
    /// The engine was asked and gave no answer that can be read.
    Unanswered,
    /// The engine was not asked: the agent could not.
    NotSent,
}

/// Whether an engine still answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineWatch {
    unanswered: u32,
}

impl EngineWatch {
    /// Records a report; returns whether the engine had counted as down.
    pub const fn record_report(&mut self) -> bool {
        let was_down = self.unanswered >= MAX_UNANSWERED;
        self.unanswered = 0;
        was_down
    }

    /// Records a report that did not come; returns whether the engine counts as down from now on.
    pub const fn record_missing(&mut self, report: MissingReport) -> bool {
        match report {
            MissingReport::NotSent => false,
            MissingReport::Unanswered => {
                self.unanswered = self.unanswered.saturating_add(1);
                self.unanswered == MAX_UNANSWERED
            }
        }
    }
}
