//! A row of the services page.

use std::sync::Arc;

/// A group of calls of a plain service, defined by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// HTTP method, or `*` for any.
    pub method: Arc<str>,
    /// Path prefix of the calls, starting with a slash.
    pub path_prefix: Arc<str>,
    /// Whether the call is idempotent, so that it may run more than once.
    pub repeatable: bool,
}

impl ServiceRow {
    /// Returns whether the row covers a call.
    #[must_use]
    pub fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let is_method = &*self.method == "*" || self.method.eq_ignore_ascii_case(method);
        &*self.service == service && is_method && path.starts_with(&*self.path_prefix)
    }
}
