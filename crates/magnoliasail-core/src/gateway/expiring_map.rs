//! A map that keeps each value for a limited time, and a limited number of values.

use {
    crate::TimeMs,
    std::collections::{HashMap, VecDeque},
};

/// Values by 64-bit keys. Each is kept for a limited time, and the oldest is dropped for a new one when
/// the map is full.
#[derive(Clone, Debug)]
pub(super) struct ExpiringMap<V> {
    retention_ms: u64,
    capacity: usize,
    by_key: HashMap<u64, Recorded<V>>,
    /// The keys in the order of their records, with repetitions.
    queue: VecDeque<QueuedKey>,
}

#[derive(Clone, Debug)]
struct Recorded<V> {
    value: V,
    recorded_ms: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct QueuedKey {
    key: u64,
    recorded_ms: TimeMs,
}

impl<V> ExpiringMap<V> {
    /// Creates an empty map that keeps values for `retention_ms` milliseconds.
    pub(super) fn new(retention_ms: u64, capacity: usize) -> Self {
        Self {
            retention_ms,
            capacity,
            by_key: HashMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Records a value, which replaces an earlier one with the same key.
    pub(super) fn record(&mut self, key: u64, value: V, now_ms: TimeMs) {
        self.drop_expired(now_ms);
        if self.queue.len() >= self.capacity {
            self.drop_oldest();
        }
        self.queue.push_back(QueuedKey {
            key,
            recorded_ms: now_ms,
        });
        let recorded = Recorded {
            value,
            recorded_ms: now_ms,
        };
        self.by_key.insert(key, recorded);
    }

    /// Returns the value with this key, or `None` if there is none or it has expired.
    pub(super) fn get(&self, key: u64, now_ms: TimeMs) -> Option<&V> {
        Some(self.get_with_age(key, now_ms)?.0)
    }

    /// Returns the value with this key and the time since it was recorded, in milliseconds, or `None` if there
    /// is none or it has expired.
    pub(super) fn get_with_age(&self, key: u64, now_ms: TimeMs) -> Option<(&V, u64)> {
        let recorded = self.by_key.get(&key)?;
        let age_ms = now_ms.saturating_sub(recorded.recorded_ms);
        (!self.is_expired(recorded.recorded_ms, now_ms)).then_some((&recorded.value, age_ms))
    }

    /// Removes a value and returns it.
    pub(super) fn remove(&mut self, key: u64) -> Option<V> {
        self.by_key.remove(&key).map(|recorded| recorded.value)
    }

    /// Returns the values that have not expired.
    pub(super) fn iter(&self, now_ms: TimeMs) -> impl Iterator<Item = (u64, &V)> {
        self.by_key
            .iter()
            .filter(move |(_, recorded)| !self.is_expired(recorded.recorded_ms, now_ms))
            .map(|(&key, recorded)| (key, &recorded.value))
    }

    /// Returns the number of values, with those that have expired since the last record.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    fn drop_expired(&mut self, now_ms: TimeMs) {
        while self
            .queue
            .front()
            .is_some_and(|queued| self.is_expired(queued.recorded_ms, now_ms))
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest queued key, and its value unless it was recorded again later.
    fn drop_oldest(&mut self) {
        let Some(queued) = self.queue.pop_front() else {
            return;
        };
        let recorded = self.by_key.get(&queued.key);
        if recorded.is_some_and(|recorded| recorded.recorded_ms <= queued.recorded_ms) {
            self.by_key.remove(&queued.key);
        }
    }

    const fn is_expired(&self, recorded_ms: TimeMs, now_ms: TimeMs) -> bool {
        now_ms.saturating_sub(recorded_ms) >= self.retention_ms
    }
}
