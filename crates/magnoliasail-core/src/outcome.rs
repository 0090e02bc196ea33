//! What is known of a request that did not complete.

use strum::{Display, EnumString, IntoStaticStr};

/// Tells a caller whether its request ran.
///
/// `NotRun` is a proof obligation: it is given only when no attempt was ever sent, or when the
/// process that holds the only copy of each sent attempt has refused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its whole answer was passed on.
    Completed,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}
