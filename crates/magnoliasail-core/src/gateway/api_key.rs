//! A key by which a caller proves which client account it belongs to.

use std::{borrow::Borrow, fmt, sync::Arc};

/// A key of a client account. Its text never appears in logs: [`fmt::Debug`] leaves it out.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}
