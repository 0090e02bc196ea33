//! The exact adapter and version that a request runs on.
//!
//! An entry resolves the caller's model name once, and every attempt of the request carries the
//! result:
//!
//! ```
//! use magnoliasail_core::AdapterRef;
//!
//! let adapter = AdapterRef::new("breeds", "v3", "d1");
//! assert_eq!(adapter.model(), "breeds@v3");
//! ```

use std::sync::Arc;

/// A version of an adapter, identified by the adapter's name, the version and the weights' digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterRef {
    /// Name of the adapter, from the operators' table.
    pub name: Arc<str>,
    /// Version of the adapter, from the operators' table.
    pub version: Arc<str>,
    /// Digest of the weights, from the operators' table.
    pub digest: Arc<str>,
}

impl AdapterRef {
    /// Creates a reference from a name, a version and a digest.
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

    /// Returns the model name reported in answers, `name@version`.
    #[must_use]
    pub fn model(&self) -> String {
        format!("{}@{}", self.name, self.version)
    }
}
