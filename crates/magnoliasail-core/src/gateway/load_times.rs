//! How long loads of adapters take at one engine, and how many may be under way.

/// Weight of the newest load in the running averages.
const NEWEST: f64 = 0.2;
/// The time of a load before any has been seen, in milliseconds.
const FIRST_LOAD_MS: f64 = 100.0;
/// The time from which on a load counts as a fetch from the store, in milliseconds: copies on the
/// host load ten times as fast.
const LEAST_FETCH_MS: f64 = 120.0;
/// The time of a fetch while the store is not busy, until a shorter one is seen, in milliseconds.
const MOST_FETCH_MS: f64 = 400.0;

/// Running averages of the times of loads.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimes {
    mean_load_ms: f64,
    mean_fetch_ms: f64,
    least_fetch_ms: f64,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            mean_load_ms: FIRST_LOAD_MS,
            mean_fetch_ms: MOST_FETCH_MS,
            least_fetch_ms: MOST_FETCH_MS,
        }
    }
}

impl LoadTimes {
    /// Counts the time of a load.
    pub(super) fn count(&mut self, load_ms: f64) {
        self.mean_load_ms += NEWEST * (load_ms - self.mean_load_ms);
        if load_ms < LEAST_FETCH_MS {
            return;
        }
        self.mean_fetch_ms += NEWEST * (load_ms - self.mean_fetch_ms);
        self.least_fetch_ms = self.least_fetch_ms.min(load_ms);
    }

    /// Returns the usual time of a load, in milliseconds.
    pub(super) const fn mean_ms(&self) -> f64 {
        self.mean_load_ms
    }

    /// Returns how many of `most` loads may be under way: fewer when fetches take longer than they
    /// should, as engines that share the store only delay each other beyond what it carries.
    pub(super) fn allowed(&self, most: usize) -> usize {
        let most = most as f64;
        let share = self.least_fetch_ms / self.mean_fetch_ms.max(1.0);
        (most * share).round().clamp(1.0, most) as usize
    }
}
