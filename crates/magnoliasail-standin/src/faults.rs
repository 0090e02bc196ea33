//! The faults that a stand-in can inject.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Faults to inject, each off by default.
///
/// A stand-in ignores the faults that don't apply to it. Requests to `/admin/` are neither delayed
/// nor lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers requests with an error; the engine does so for adapter loads only.
    pub refuse: bool,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Accepts requests and never answers them.
    pub lose: bool,
    /// Crashes the server when a request body contains this text; empty for never.
    pub crash_marker: String,
    /// Time for which a server that crashed by `crash_marker` stays down, in milliseconds.
    pub restart_ms: u64,
    /// Answers completions under the name of another model.
    pub wrong_model: bool,
    /// Aborts streamed responses after their first event.
    pub truncate: bool,
    /// Fails every n-th load; zero for none.
    pub fail_one_load_in: u64,
    /// Serves the configuration as it was at the first read after this fault was set.
    pub stale: bool,
    /// Serves the VM list as it was this long ago, in milliseconds.
    pub lag_ms: u64,
    /// Rejects requests whose fencing token is below the highest received.
    pub check_fencing: bool,
}

impl Faults {
    /// Returns `true` if a request body contains the text that makes the server crash.
    #[must_use]
    pub fn is_crash_triggered_by(&self, body: &[u8]) -> bool {
        let marker = self.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
    }
}

/// The faults of a running stand-in, which `POST /admin/faults` may replace at any time.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    faults: Mutex<Faults>,
}

impl ActiveFaults {
    /// Starts with the faults from the settings.
    #[must_use]
    pub const fn new(faults: Faults) -> Self {
        Self {
            faults: Mutex::new(faults),
        }
    }

    /// Returns a copy of the current faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
