//! How many adapters an engine holds: its places for them, and its memory for weights.
//!
//! An engine crashes if it is ordered to load more than either holds. Adapters count from the load order on.

use {super::EngineScheduler, std::sync::Arc};

impl EngineScheduler {
    /// Returns the number of adapter slots that are taken, also by adapters that are being loaded or unloaded.
    #[must_use]
    pub fn taken_slots(&self) -> usize {
        self.adapters.taken()
    }

    /// Returns whether an adapter that has no place fits beside those that have one.
    pub(super) fn has_room(&self, adapter: &str) -> bool {
        let is_place_free = self.adapters.taken() < self.limits.adapter_slots as usize;
        let adapter_mb = self.limits.adapter_mb(adapter);
        is_place_free && adapter_mb <= self.free_mb()
    }

    /// Returns whether an adapter fits if all others are evicted.
    pub(super) fn can_hold(&self, adapter: &str) -> bool {
        self.limits.adapter_mb(adapter) <= self.adapters_mb()
    }

    /// Returns the number of the largest adapters that fit beside those that have a place.
    pub(super) fn free_places(&self) -> usize {
        let free_slots = (self.limits.adapter_slots as usize).saturating_sub(self.adapters.taken());
        free_slots.min(self.places_in(self.free_mb()))
    }

    /// Returns the number of the largest adapters that the engine holds.
    pub(super) fn places(&self) -> usize {
        (self.limits.adapter_slots as usize).min(self.places_in(self.adapters_mb()))
    }

    /// Returns the number of the largest adapters that fit into a part of the memory.
    fn places_in(&self, memory_mb: f64) -> usize {
        let loaded = |name: &Arc<str>| self.models.is_loaded(name);
        let models = self.limits.models.iter();
        let largest_mb = models
            .filter(|model| loaded(&model.name))
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        if largest_mb > 0.0 {
            (memory_mb / largest_mb).max(0.0) as usize
        } else {
            usize::MAX
        }
    }

    /// Returns the memory that adapters don't take, in megabytes.
    fn free_mb(&self) -> f64 {
        // A product for each model rounds less than a sum over its adapters.
        let models = self.limits.models.iter();
        let used_mb: f64 = models
            .map(|model| self.adapters.taken_of(&model.name) as f64 * model.adapter_mb)
            .sum();
        self.adapters_mb() - used_mb
    }

    /// Returns the memory that the loaded base models leave for adapters, in megabytes.
    fn adapters_mb(&self) -> f64 {
        if self.limits.weights_mb <= 0.0 {
            return f64::INFINITY;
        }
        let models = self.limits.models.iter();
        let models_mb: f64 = models
            .filter(|model| self.models.is_loaded(&model.name))
            .map(|model| model.weights_mb)
            .sum();
        self.limits.weights_mb - models_mb
    }
}
