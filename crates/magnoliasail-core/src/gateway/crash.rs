//! A crash of a server at which something was running, as evidence against it.

use crate::TimeMs;

/// Time after which a second report about the same start of a server stands for another crash. A list
/// that lags may name the start before.
const SAME_CRASH_MS: u64 = 2_000;
/// Time between crashes that count separately for what has completed recently.
const SEPARATE_CRASHES_MS: u64 = 1_000;

/// A crash at which a suspect was running.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) server_start: u64,
    /// The request that had the part; absent if the suspect is a request itself.
    pub(super) request: Option<u64>,
    pub(super) at_ms: TimeMs,
}

impl Crash {
    /// Returns whether this crash is further evidence beside an earlier one.
    pub(super) fn is_separate_from(&self, earlier: &Self, has_completed: bool) -> bool {
        let age_ms = self.at_ms.saturating_sub(earlier.at_ms);
        let is_same = self.server_start == earlier.server_start && age_ms < SAME_CRASH_MS;
        let is_same_request = self.request.is_some() && self.request == earlier.request;
        let is_at_once = has_completed && age_ms < SEPARATE_CRASHES_MS;
        !is_same && !is_same_request && !is_at_once
    }
}

/// Counts the crashes that are separate evidence, in the order in which they were recorded.
pub(super) fn count_separate(crashes: &[Crash], has_completed: bool) -> usize {
    let mut counted: Vec<&Crash> = Vec::new();
    for crash in crashes {
        let is_separate = counted
            .iter()
            .all(|earlier| crash.is_separate_from(earlier, has_completed));
        if is_separate {
            counted.push(crash);
        }
    }
    counted.len()
}
