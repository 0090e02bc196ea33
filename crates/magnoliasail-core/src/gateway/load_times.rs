//! Times of adapter loads at one engine, and the number of concurrent loads that they allow.

/// Weight of the newest load in the moving averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// Assumed load time until a load has completed.
const INITIAL_LOAD_MS: f64 = 100.0;
/// Load time from which on a load counts as a fetch from the weight store: copies on the host load
/// ten times as fast.
pub(super) const MIN_FETCH_MS: u64 = 120;
/// Assumed time of a load from a copy on the host until one has completed.
const INITIAL_COPY_LOAD_MS: f64 = 30.0;
/// Assumed time of a fetch until one has completed.
const INITIAL_FETCH_MS: f64 = 250.0;
/// Assumed time of a fetch from an idle weight store until a shorter one is observed.
const INITIAL_SHORTEST_FETCH_MS: f64 = 400.0;

/// Moving averages of load times, and the shortest fetch from the weight store.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimes {
    mean_load_ms: f64,
    mean_copy_load_ms: f64,
    mean_fetch_ms: f64,
    shortest_fetch_ms: f64,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            mean_load_ms: INITIAL_LOAD_MS,
            mean_copy_load_ms: INITIAL_COPY_LOAD_MS,
            mean_fetch_ms: INITIAL_FETCH_MS,
            shortest_fetch_ms: INITIAL_SHORTEST_FETCH_MS,
        }
    }
}

impl LoadTimes {
    /// Records the time of a completed load, in milliseconds; returns whether it counts as a fetch.
    pub(super) fn record(&mut self, load_ms: u64) -> bool {
        let is_fetch = load_ms >= MIN_FETCH_MS;
        let load_ms = load_ms as f64;
        self.mean_load_ms += NEWEST_WEIGHT * (load_ms - self.mean_load_ms);
        if !is_fetch {
            self.mean_copy_load_ms += NEWEST_WEIGHT * (load_ms - self.mean_copy_load_ms);
            return false;
        }
        self.mean_fetch_ms += NEWEST_WEIGHT * (load_ms - self.mean_fetch_ms);
        self.shortest_fetch_ms = self.shortest_fetch_ms.min(load_ms);
        true
    }

    /// Returns the average time of recent loads, in milliseconds.
    pub(super) const fn mean_ms(&self) -> f64 {
        self.mean_load_ms
    }

    /// Returns the average time of recent loads from copies on the host, in milliseconds.
    pub(super) const fn mean_copy_load_ms(&self) -> f64 {
        self.mean_copy_load_ms
    }

    /// Returns the average time of recent fetches from the weight store, in milliseconds.
    pub(super) const fn mean_fetch_ms(&self) -> f64 {
        self.mean_fetch_ms
    }

    /// Returns the number of loads that may be in progress at once, from 1 to `max_loads`.
    ///
    /// The limit falls as fetches take longer than the shortest one: beyond the capacity of the
    /// shared weight store, concurrent fetches of the engines only delay each other.
    pub(super) fn load_limit(&self, max_loads: usize) -> usize {
        let max_loads = max_loads as f64;
        let share = self.shortest_fetch_ms / self.mean_fetch_ms.max(1.0);
        (max_loads * share).round().clamp(1.0, max_loads) as usize
    }
}
