//! A row of the services page.

use std::sync::Arc;

/// One kind of call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// HTTP method, or `*` for any.
    pub method: Arc<str>,
    /// Prefix of the path, starting with a slash.
    pub path_prefix: Arc<str>,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
}

impl ServiceRow {
    /// Tells whether the row is for this call.
    #[must_use]
    pub fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let is_method = &*self.method == "*" || self.method.eq_ignore_ascii_case(method);
        &*self.service == service && is_method && path.starts_with(&*self.path_prefix)
    }
}
