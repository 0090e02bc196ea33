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
    /// The requests with the suspect that were running.
    pub(super) requests: u32,
    pub(super) at_ms: TimeMs,
}

impl Crash {
    /// Returns whether both are the same crash, at which different suspects were running.
    fn is_same_as(&self, other: &Self) -> bool {
        self.server_start == other.server_start && self.at_ms == other.at_ms
    }

    /// Returns whether this is another crash than an earlier one, far enough from it to count.
    pub(super) fn is_other_than(&self, earlier: &Self, has_completed: bool) -> bool {
        let age_ms = self.at_ms.saturating_sub(earlier.at_ms);
        let is_same = self.server_start == earlier.server_start && age_ms < SAME_CRASH_MS;
        let is_at_once = has_completed && age_ms < SEPARATE_CRASHES_MS;
        !is_same && !is_at_once
    }

    /// Returns whether this crash is further evidence beside an earlier one.
    fn is_separate_from(&self, earlier: &Self, has_completed: bool) -> bool {
        let is_same_request = self.request.is_some() && self.request == earlier.request;
        self.is_other_than(earlier, has_completed) && !is_same_request
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

/// Returns whether a suspect that has not completed explains the crashes of one that has: it was at two of
/// them or more, and at half of them or more.
pub(super) fn explains(crashes: &[Crash], crashes_of_other: &[Crash]) -> bool {
    let shared = shared_if_narrower(crashes, crashes_of_other);
    shared >= 2 && 2 * shared >= crashes_of_other.len()
}

/// Returns whether a suspect explains the crashes of another better, of which neither has completed: it was
/// at all of them and at further ones, or there with fewer different requests, so that it is found later.
pub(super) fn explains_better(crashes: &[Crash], crashes_of_other: &[Crash]) -> bool {
    let is_better = crashes.len() > crashes_of_other.len()
        || count_separate(crashes, false) < count_separate(crashes_of_other, false);
    is_better && shared_if_narrower(crashes, crashes_of_other) == crashes_of_other.len()
}

/// Returns the number of crashes that a suspect shares with another, or 0 if it was in twice as many requests
/// there: what many requests have is more likely to be there by chance.
fn shared_if_narrower(crashes: &[Crash], crashes_of_other: &[Crash]) -> usize {
    let mut shared = 0;
    let (mut requests, mut requests_of_other) = (0, 0);
    for other in crashes_of_other {
        if let Some(crash) = crashes.iter().find(|crash| crash.is_same_as(other)) {
            shared += 1;
            requests += crash.requests;
            requests_of_other += other.requests;
        }
    }
    if requests < 2 * requests_of_other {
        shared
    } else {
        0
    }
}
