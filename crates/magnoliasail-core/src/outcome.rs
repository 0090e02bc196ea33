//! The outcome of a request, as far as the entry can tell.

use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request ran, as reported to its caller.
///
/// `NotRun` is a guarantee: it is reported only if no attempt was ever sent, or if every attempt
/// that was sent has been refused by the process that holds the only copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its complete answer was forwarded.
    Completed,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}
