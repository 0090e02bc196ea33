//! The exact adapter and version that a request runs on.
//!
//! An entry resolves the caller's model name once and every attempt carries the result:
//!
//! ```
//! use magnoliasail_core::AdapterRef;
//!
//! let adapter = AdapterRef::new("breeds", "v3", "d1");
//! assert_eq!(adapter.model(), "breeds@v3");
//! ```

use std::sync::Arc;

/// An adapter, its version and the digest of its weights.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterRef {
    /// Name of the adapter, as in the operators' table.
    pub name: Arc<str>,
    /// Version of the adapter, as in the operators' table.
    pub version: Arc<str>,
    /// Digest of the weights, as in the operators' table.
    pub digest: Arc<str>,
}

impl AdapterRef {
    /// Joins a name, a version and a digest.
    pub fn new(
        name: impl Into<Arc<str>>,
        version: impl Into<Arc<str>>,
        digest: impl Into<Arc<str>>,
    ) -> Self {
        Self {
            name: name.into(),
            version: version.into(),
            digest: digest.into(),
        }
    }

    /// Returns the model name that answers carry, `name@version`.
    #[must_use]
    pub fn model(&self) -> String {
        format!("{}@{}", self.name, self.version)
    }
}
