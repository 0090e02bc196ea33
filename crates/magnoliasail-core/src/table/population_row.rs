//! A row of the populations page.

use std::sync::Arc;

/// A caller population with its share, priority and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct PopulationRow {
    /// Name of the population.
    pub name: Arc<str>,
    /// SHA-256 of the bearer key.
    pub key_sha256: [u8; 32],
    /// SHA-256 of the key that is being rotated in.
    pub next_key_sha256: Option<[u8; 32]>,
    /// Weight among populations when the fleet is busy.
    pub share: u32,
    /// Priority from 0 (bulk) to 9 (urgent).
    pub priority: u32,
    /// Most requests in flight at one entry.
    pub max_in_flight: u32,
    /// Most requests per second at one entry.
    pub rate_per_s: f64,
}
