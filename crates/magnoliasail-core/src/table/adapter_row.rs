//! A row of the adapters page.

use crate::AdapterRef;

/// One version of one adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterRow {
    /// The adapter, version and digest.
    pub adapter: AdapterRef,
    /// Whether the bare adapter name means this version.
    pub is_current: bool,
    /// Whether callers may use the version.
    pub enabled: bool,
}
