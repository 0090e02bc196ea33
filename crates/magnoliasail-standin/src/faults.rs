//! The ways in which a stand-in can be told to fail.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Faults of a stand-in; each is off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers each call with an error.
    pub refuse: bool,
    /// Waits before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Accepts calls and never answers them.
    pub lose: bool,
    /// Crashes when a request contains this text; empty for never.
    pub crash_marker: String,
    /// Time for which a crashed server stays down, in milliseconds.
    pub restart_ms: u64,
    /// Answers under another model name.
    pub wrong_model: bool,
    /// Cuts streams off after their first part.
    pub truncate: bool,
    /// Refuses one load in this many; zero for none.
    pub fail_one_load_in: u64,
    /// Serves what it knew when the fault was set.
    pub stale: bool,
    /// Serves what it knew this long ago, in milliseconds.
    pub lag_ms: u64,
    /// Refuses orders with a fencing number below the highest seen.
    pub check_fencing: bool,
}

impl Faults {
    /// Tells whether a request carries the text that makes the server crash.
    #[must_use]
    pub fn is_crash_triggered_by(&self, body: &[u8]) -> bool {
        let marker = self.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|part| part == marker)
    }
}

/// The faults in force, which an admin call may change at any time.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    faults: Mutex<Faults>,
}

impl ActiveFaults {
    /// Creates a switch with the faults that settings ask for.
    #[must_use]
    pub const fn new(faults: Faults) -> Self {
        Self {
            faults: Mutex::new(faults),
        }
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
