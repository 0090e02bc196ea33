//! Fingerprints of requests in the log.

use {
    magnoliasail_core::gateway::message::SuspectRequest,
    std::fmt::{self, Display, Formatter},
};

/// Limit on the parts of prompts in a line.
const MAX_PARTS: usize = 1_024;

/// Writes the fingerprints of requests, separated by commas, each followed by those of the parts of its
/// prompt after plus signs. The number of those that do not fit in the line is at its end.
pub(super) struct FingerprintList<'a>(pub(super) &'a [SuspectRequest]);

impl Display for FingerprintList<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let share = MAX_PARTS / self.0.len().max(1);
        let mut missing = 0;
        for (index, suspect) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{:016x}", suspect.request)?;
            for part in suspect.parts.iter().take(share) {
                write!(formatter, "+{part:016x}")?;
            }
            missing += suspect.parts.len().saturating_sub(share);
        }
        match missing {
            0 => Ok(()),
            _ => write!(formatter, " unlisted_parts={missing}"),
        }
    }
}
