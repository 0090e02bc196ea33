//! Which software versions of backend servers may run a request.

use {super::message::StreamOrigin, std::sync::Arc};

/// The software versions of backend servers that may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionConstraint {
    /// Any version.
    #[default]
    Any,
    /// One version only. Servers that publish none count as one version.
    Only(Option<Arc<str>>),
}

impl VersionConstraint {
    /// Returns whether a server of this software version may run the request.
    #[must_use]
    pub fn allows(&self, software_version: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only.as_deref() == software_version,
        }
    }
}

impl From<&StreamOrigin> for VersionConstraint {
    /// Returns the constraint of a request that resumes the stream.
    fn from(origin: &StreamOrigin) -> Self {
        Self::Only(origin.software_version.as_deref().map(Arc::from))
    }
}
