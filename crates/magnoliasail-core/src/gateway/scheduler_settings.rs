//! Settings of the scheduler of an engine.

/// Settings of the [`EngineScheduler`](super::EngineScheduler).
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// The maximum number of adapter loads in progress at once.
    pub max_concurrent_loads: usize,
    /// The minimum time between base model loads of this engine, in milliseconds.
    pub model_load_gap_ms: u64,
    /// The assumed run time of a request until runs have completed, in milliseconds.
    pub initial_run_ms: f64,
    /// The time over which the engines spread the replacement of an adapter, in milliseconds.
    pub replacement_spread_ms: u64,
    /// The time after the announcement of a version in which requests may begin on older ones, in
    /// milliseconds; unlimited if absent.
    pub max_outdated_ms: Option<u64>,
    /// A hash that differs between engines. It picks this engine's delay within the spread, and the
    /// base model to load.
    pub engine_seed: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 4,
            model_load_gap_ms: 2_500,
            initial_run_ms: 450.0,
            replacement_spread_ms: 2_000,
            max_outdated_ms: None,
            engine_seed: 0,
        }
    }
}
