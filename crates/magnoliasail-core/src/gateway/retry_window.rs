//! One entry's share of the retry budget of a service.
//!
//! All entries share the budget without exchanging messages. Over a sliding window, each counts
//! its own first attempts and retries, and spends at most the given ratio of its requests plus its
//! share of the floor. A retry counts even if the server refuses it.

use {crate::TimeMs, std::collections::VecDeque};

/// Width of the buckets into which the window is divided.
const BUCKET_MS: u64 = 500;
/// Share of the budget that is spent, which leaves room for entries that restart and lose their
/// counts.
const USED_SHARE: f64 = 0.7;

/// First attempts and retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    /// Retries allowed per request.
    ratio: f64,
    /// Retries allowed in a window regardless of requests, over all entries.
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
    /// Creates a window of `window_ms` milliseconds that allows `ratio` retries per request, plus
    /// `floor` retries regardless of requests, over all entries together.
    #[must_use]
    pub const fn new(ratio: f64, floor: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            floor,
            window_ms,
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
        let share = self.floor / f64::from(entries.max(1));
        let allowed = USED_SHARE * (self.ratio * f64::from(requests) + share);
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

    /// Returns the bucket of the current time, and drops those that have left the window.
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
