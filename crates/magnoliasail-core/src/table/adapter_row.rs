//! A row of the adapters page.

use crate::AdapterRef;

/// A version of an adapter, as listed in the adapters page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterRow {
    /// Name, version and digest of the adapter.
    pub adapter: AdapterRef,
    /// Whether the adapter's name without a version means this version.
    pub is_current: bool,
    /// Whether callers may use this version.
    pub enabled: bool,
}
