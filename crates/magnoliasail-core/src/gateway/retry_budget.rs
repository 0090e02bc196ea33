//! Settings that bound the retries of a service.

/// The retry budget of a service, which all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window regardless of requests.
    pub floor: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}
