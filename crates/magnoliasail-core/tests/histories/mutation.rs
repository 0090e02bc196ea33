//! Injected defects that violate an invariant, to show that its check can fail.
//!
//! They are injected at the interfaces of the cores, which contain no test code.

/// A defect that the product must never have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// The engine runs the wrong adapter but reports the right one in its answer.
    RunWrongAdapter,
    /// The agent receives the end of a run while the engine still uses its adapter.
    ReleasePinsEarly,
    /// The last part of an answer is not delivered to the caller.
    TruncateAnswers,
    /// Parts of an answer are delivered to another caller.
    MisrouteAnswers,
    /// Every failure is reported as not run, including those with an unknown outcome.
    ReportNotRun,
    /// An agent's memory, including its job ledger, is rolled back without a new incarnation.
    LoseJobLedger,
    /// Two VMs of a slot are both notified that they hold it.
    DuplicateLease,
    /// The order to drain does not reach the agent's core.
    IgnoreDrains,
    /// An entry's memory, including its table, is rolled back.
    RevertTables,
    /// Final answers that report a failure are not delivered.
    DropFinalAnswers,
    /// Final answers that report a failure are delivered twice.
    RepeatFinalAnswers,
}
