//! Log lines for starts and ends of quarantines, at entries and agents.

use {
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::message::QuarantineChange,
    strum::Display,
};

/// Why a quarantine starts or ends.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ChangeCause {
    /// Something completed here.
    Completed,
    /// An agent has seen a completion.
    CompletedElsewhere,
    /// A server crashed.
    Crashed,
    /// Another process decided it.
    Reported,
}

/// The process from which a process has a change.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Decider {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Logs a change of the quarantine.
pub(super) fn log_quarantine(change: QuarantineChange, reported_by: Decider, cause: ChangeCause) {
    let event = if change.is_ended {
        EventId::QuarantineEnded
    } else {
        EventId::QuarantineStarted
    };
    emit(
        event,
        format_args!(
            "fingerprint={:016x} age_ms={} reported_by={reported_by} cause={cause}",
            change.fingerprint, change.age_ms
        ),
    );
}
