//! One entry's share of the retry budget of a service.
//!
//! All entries share the budget without exchanging messages. Over a sliding window, each counts
//! its own first attempts and retries, and spends at most the given ratio of its requests plus its
//! share of the floor. A retry counts even if the server refuses it.
//!
//! A process that starts doesn't know what its predecessor has spent. Until it is as old as the
//! window, it spends only the part of the floor that older processes leave.

use {super::retry_budget::RetryBudget, crate::TimeMs, std::collections::VecDeque};

/// Width of the buckets into which the window is divided.
const BUCKET_MS: u64 = 500;
/// Part of the budget's ratio that an entry spends, and of its share of the floor once it is older than
/// the window.
const USED_SHARE: f64 = 0.7;
/// Part of its share of the floor that an entry spends until then: what its predecessor may have left
/// in the same window.
const FIRST_WINDOW_SHARE: f64 = 1.0 - USED_SHARE;

/// First attempts and retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    budget: RetryBudget,
    /// When the process started.
    started_ms: TimeMs,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: TimeMs,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Creates the window of a process that started at `started_ms`, for its share of `budget`.
    #[must_use]
    pub const fn new(budget: RetryBudget, started_ms: TimeMs) -> Self {
        Self {
            budget,
            started_ms,
            buckets: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now_ms: TimeMs) {
        self.bucket(now_ms).requests += 1;
    }

    /// Spends one retry if this entry's share of the budget, which is divided among `entries`
    /// processes, has room for it; returns whether it does.
    #[must_use]
    pub fn try_retry(&mut self, entries: u32, now_ms: TimeMs) -> bool {
        let _ = self.bucket(now_ms);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let floor_share = self.budget.floor / f64::from(entries.max(1));
        let allowed = USED_SHARE * self.budget.ratio * f64::from(requests)
            + self.used_floor_share(now_ms) * floor_share;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Returns a retry that was spent and not sent to any server.
    pub fn refund(&mut self, now_ms: TimeMs) {
        let _ = self.bucket(now_ms);
        let spent = self
            .buckets
            .iter_mut()
            .rev()
            .find(|bucket| bucket.retries > 0);
        if let Some(bucket) = spent {
            bucket.retries -= 1;
        }
    }

    /// Returns which part of its share of the floor this process may spend at its age.
    fn used_floor_share(&self, now_ms: TimeMs) -> f64 {
        let age_ms = now_ms.saturating_sub(self.started_ms);
        if age_ms < self.budget.window_ms {
            FIRST_WINDOW_SHARE
        } else {
            USED_SHARE
        }
    }

    /// Returns the bucket of the current time, and drops those that have left the window.
    fn bucket(&mut self, now_ms: TimeMs) -> &mut Bucket {
        let start_ms = now_ms - now_ms % BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start_ms + self.budget.window_ms < now_ms)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.start_ms < start_ms)
        {
            self.buckets.push_back(Bucket {
                start_ms,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
