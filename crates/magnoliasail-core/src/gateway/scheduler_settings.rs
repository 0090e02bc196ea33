//! Settings of the scheduler of an engine.

/// Settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Loads of adapters that may be under way at one engine.
    pub max_concurrent_loads: usize,
    /// Time between loads of base models that this engine may order, in milliseconds.
    pub model_load_gap_ms: u64,
    /// A run's time before any has been seen, in milliseconds.
    pub initial_run_ms: f64,
    /// Time over which engines take up a new version of an adapter in turn, in milliseconds.
    pub replacement_spread_ms: u64,
    /// Picks this engine's turn within that time.
    pub engine_seed: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 4,
            model_load_gap_ms: 2_500,
            initial_run_ms: 450.0,
            replacement_spread_ms: 2_000,
            engine_seed: 0,
        }
    }
}
