//! The share of a service's retry budget that one entry may spend.
//!
//! All entries share the budget and tell each other nothing: each counts its own first attempts
//! and retries over the window and spends no more than its share of the floor. Retries that the
//! server refuses count too.

use {crate::TimeMs, std::collections::VecDeque};

const BUCKET_MS: u64 = 500;
/// Leaves room for entries that restart and forget what they spent.
const SAFETY: f64 = 0.7;

/// First attempts and retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    floor: f64,
    window_ms: u64,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: TimeMs,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Creates a window with a ratio of retries to requests, and retries allowed beyond it.
    #[must_use]
    pub const fn new(ratio: f64, floor: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            floor,
            window_ms,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request's first attempt.
    pub fn count_request(&mut self, now_ms: TimeMs) {
        self.bucket(now_ms).requests += 1;
    }

    /// Spends one retry if `entries` processes that share the budget leave room for it.
    #[must_use]
    pub fn try_retry(&mut self, entries: u32, now_ms: TimeMs) -> bool {
        let _ = self.bucket(now_ms);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let share = self.floor / f64::from(entries.max(1));
        let allowed = SAFETY * (self.ratio * f64::from(requests) + share);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    fn bucket(&mut self, now_ms: TimeMs) -> &mut Bucket {
        let start_ms = now_ms - now_ms % BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start_ms + self.window_ms < now_ms)
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
