//! A row of the populations page.

use std::sync::Arc;

/// A caller population with its bearer keys, share, priority and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct PopulationRow {
    /// Name of the population.
    pub name: Arc<str>,
    /// SHA-256 hash of the bearer key.
    pub key_sha256: [u8; 32],
    /// SHA-256 hash of the next bearer key during a key rotation, when both keys are valid.
    pub next_key_sha256: Option<[u8; 32]>,
    /// Weight relative to other populations when the fleet is busy.
    pub share: u32,
    /// Priority from 0 (bulk) to 9 (urgent).
    pub priority: u32,
    /// Maximum number of requests in flight at one entry.
    pub max_in_flight: u32,
    /// Maximum number of requests per second at one entry.
    pub rate_per_s: f64,
}
