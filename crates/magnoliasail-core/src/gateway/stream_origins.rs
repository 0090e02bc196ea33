//! Which software version began each of the recent streams.

use {
    super::message::StreamOrigin,
    crate::TimeMs,
    std::collections::{HashMap, VecDeque},
};

/// The origins of recent streams, by their keys. Each is kept for a limited time.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_key: HashMap<u64, RecordedOrigin>,
    /// The keys in the order of their records, with repetitions.
    queue: VecDeque<QueuedKey>,
}

#[derive(Clone, Debug)]
struct RecordedOrigin {
    origin: StreamOrigin,
    recorded_ms: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct QueuedKey {
    key: u64,
    recorded_ms: TimeMs,
}

impl StreamOrigins {
    /// Time for which an origin is kept. Callers resume a broken stream within seconds.
    pub const RETENTION_MS: u64 = 60_000;
    /// Maximum number of origins; the oldest is dropped for a new one.
    pub const CAPACITY: usize = 16_384;

    /// Records the origin of a stream, which replaces an earlier record of the same stream.
    pub fn record(&mut self, origin: StreamOrigin, now_ms: TimeMs) {
        self.drop_expired(now_ms);
        if self.queue.len() >= Self::CAPACITY {
            self.drop_oldest();
        }
        let key = origin.key;
        self.queue.push_back(QueuedKey {
            key,
            recorded_ms: now_ms,
        });
        let recorded = RecordedOrigin {
            origin,
            recorded_ms: now_ms,
        };
        self.by_key.insert(key, recorded);
    }

    /// Returns the origin of the stream with this key, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, key: u64, now_ms: TimeMs) -> Option<&StreamOrigin> {
        let recorded = self.by_key.get(&key)?;
        (!is_expired(recorded.recorded_ms, now_ms)).then_some(&recorded.origin)
    }

    fn drop_expired(&mut self, now_ms: TimeMs) {
        while self
            .queue
            .front()
            .is_some_and(|queued| is_expired(queued.recorded_ms, now_ms))
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest queued key, and its origin unless it was recorded again later.
    fn drop_oldest(&mut self) {
        let Some(queued) = self.queue.pop_front() else {
            return;
        };
        let recorded = self.by_key.get(&queued.key);
        if recorded.is_some_and(|recorded| recorded.recorded_ms <= queued.recorded_ms) {
            self.by_key.remove(&queued.key);
        }
    }
}

const fn is_expired(recorded_ms: TimeMs, now_ms: TimeMs) -> bool {
    now_ms.saturating_sub(recorded_ms) >= StreamOrigins::RETENTION_MS
}
