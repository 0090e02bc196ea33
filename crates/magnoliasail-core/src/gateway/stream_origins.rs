//! Which software version began each of the recent streams.

use {
    super::{OriginRecord, expiring_map::ExpiringMap, message::StreamOrigin},
    crate::TimeMs,
    std::sync::Arc,
};

/// The origins of recent streams, by their keys. Each is kept for a limited time.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    by_key: ExpiringMap<KnownOrigin>,
}

#[derive(Clone, Debug)]
struct KnownOrigin {
    software_version: Option<Arc<str>>,
    is_forwarded: bool,
}

impl StreamOrigins {
    /// Time for which an origin is kept. Callers resume a broken stream within seconds.
    pub const RETENTION_MS: u64 = 60_000;
    /// Maximum number of origins; the oldest is dropped for a new one.
    pub const CAPACITY: usize = 16_384;

    /// Records that an entry forwards the first event of a stream from a server of this version. This
    /// replaces an earlier record of the same stream.
    pub fn record(&mut self, origin: &StreamOrigin, now_ms: TimeMs) {
        self.insert(origin, true, now_ms);
    }

    /// Records that an engine of this version has made the first event of a stream.
    ///
    /// The event may never reach the caller, who then gets another one from another engine. So it does not
    /// replace a record of an event that an entry has forwarded.
    pub fn record_begun(&mut self, origin: &StreamOrigin, now_ms: TimeMs) {
        let is_forwarded = self
            .by_key
            .get(origin.key, now_ms)
            .is_some_and(|known| known.is_forwarded);
        if !is_forwarded {
            self.insert(origin, false, now_ms);
        }
    }

    /// Returns what is known of the stream with this key, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, key: u64, now_ms: TimeMs) -> Option<OriginRecord> {
        let (known, age_ms) = self.by_key.get_with_age(key, now_ms)?;
        Some(OriginRecord {
            software_version: known.software_version.clone(),
            is_forwarded: known.is_forwarded,
            age_ms,
        })
    }

    fn insert(&mut self, origin: &StreamOrigin, is_forwarded: bool, now_ms: TimeMs) {
        let known = KnownOrigin {
            software_version: origin.software_version.as_deref().map(Arc::from),
            is_forwarded,
        };
        self.by_key.record(origin.key, known, now_ms);
    }
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            by_key: ExpiringMap::new(Self::RETENTION_MS, Self::CAPACITY),
        }
    }
}
