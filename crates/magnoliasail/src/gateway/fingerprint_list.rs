//! Fingerprints of requests in the log.

use {
    magnoliasail_core::gateway::message::SuspectRequest,
    std::fmt::{self, Display, Formatter},
};

/// Writes the fingerprints of requests, separated by commas, each followed by those of the parts of its
/// prompt after plus signs.
pub(super) struct FingerprintList<'a>(pub(super) &'a [SuspectRequest]);

impl Display for FingerprintList<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, suspect) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{:016x}", suspect.request)?;
            for part in &suspect.parts {
                write!(formatter, "+{part:016x}")?;
            }
        }
        Ok(())
    }
}
