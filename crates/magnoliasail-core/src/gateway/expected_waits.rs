//! The times that a request is expected to wait at an engine.

use {
    super::{EngineRequest, EngineScheduler, Ineligibility, SlotState},
    crate::TimeMs,
};

impl EngineScheduler {
    /// Returns the expected time until new requests can start, in milliseconds: until the base model
    /// is loaded and the pause that the engine asked for has ended. Returns `None` if nothing is
    /// known to make them start.
    #[must_use]
    pub fn ready_in_ms(&self, now_ms: TimeMs) -> Option<u64> {
        let pause_left_ms = match self.eligibility.check(now_ms) {
            Ok(()) => 0,
            Err(Ineligibility::Paused { left_ms }) => left_ms,
            Err(Ineligibility::Unreachable) => return self.models.ready_in_ms(now_ms),
            Err(_) => return None,
        };
        match self.models.ready_in_ms(now_ms) {
            Some(model_ms) => Some(model_ms.max(pause_left_ms)),
            None => (pause_left_ms > 0 && !self.models.is_empty()).then_some(pause_left_ms),
        }
    }

    /// Returns the number of adapter slots that are free or whose adapter is not in use.
    pub(super) fn slots_available(&self) -> u32 {
        (self.free_places() + self.adapters.unused()) as u32
    }

    /// Returns the expected time until the first event of a request that arrives now, in
    /// milliseconds, if its prompt is short and its adapter is loaded.
    #[must_use]
    pub fn expected_first_event_ms(&self, rank: u32) -> u64 {
        self.queue
            .expected_first_event_ms(rank, self.limits.batch_slots)
    }

    /// Returns the expected time to load an adapter of which the host has a copy, in milliseconds:
    /// the wait for a slot, and the load itself.
    #[must_use]
    pub fn expected_copy_load_ms(&self, now_ms: TimeMs) -> u64 {
        let adapters_ahead = self.missing_adapters(now_ms).len();
        let wait_ms = self.expected_slot_wait_ms(adapters_ahead);
        (wait_ms + self.load_times.mean_copy_load_ms()) as u64
    }

    /// Returns the expected time to fetch an adapter from the weight store, in milliseconds: the wait
    /// for a slot, for the loads ahead, and the fetch itself.
    #[must_use]
    pub fn expected_fetch_ms(&self, now_ms: TimeMs) -> u64 {
        (self.local_fetch_ms(now_ms) + self.fetches.expected_wait_ms(now_ms)) as u64
    }

    /// Returns the same without the wait for a permit, which is the same at all engines.
    fn local_fetch_ms(&self, now_ms: TimeMs) -> f64 {
        let adapters_ahead = self.missing_adapters(now_ms).len();
        let wait_ms = self.expected_slot_wait_ms(adapters_ahead);
        let load_limit = self.max_loads(now_ms);
        let ahead_ms = adapters_ahead as f64 / load_limit as f64 * self.load_times.mean_ms();
        wait_ms + ahead_ms + self.load_times.mean_fetch_ms()
    }

    /// Returns the rate at which the engine reads prompts, in tokens per millisecond.
    #[must_use]
    pub fn prompt_tokens_per_ms(&self) -> f64 {
        self.queue.prompt_tokens_per_ms()
    }

    /// Returns the average time between two places in a full batch becoming free, in milliseconds.
    #[must_use]
    pub fn batch_turnover_ms(&self) -> f64 {
        self.queue.mean_run_ms() / f64::from(self.limits.batch_slots.max(1))
    }

    /// Returns the expected wait for a slot of an adapter after `adapters_ahead` others, in
    /// milliseconds.
    pub(super) fn expected_slot_wait_ms(&self, adapters_ahead: usize) -> f64 {
        let slots = self.places().max(1) as f64;
        let missing_slots = adapters_ahead as f64 + 1.0 - f64::from(self.slots_available());
        missing_slots.max(0.0) * self.queue.mean_run_ms() / slots
    }

    /// Returns the expected time of a load of an adapter, in milliseconds.
    pub(super) fn load_ms(&self, adapter: &str) -> f64 {
        if self.is_copied(adapter) {
            self.load_times.mean_copy_load_ms()
        } else {
            self.load_times.mean_fetch_ms()
        }
    }

    /// Returns the expected wait of a request until its adapter is loaded, in milliseconds, without that for a
    /// permit.
    pub(super) fn expected_load_ms(&self, request: &EngineRequest) -> u64 {
        let Some(adapter) = &request.adapter else {
            return 0;
        };
        match self.adapters.state(adapter) {
            Some(SlotState::Resident) => 0,
            Some(SlotState::Loading) => self.load_times.mean_ms() as u64,
            Some(SlotState::Unloading { .. }) | None if self.is_copied(adapter) => {
                self.expected_copy_load_ms(request.arrived_ms)
            }
            Some(SlotState::Unloading { .. }) | None => {
                self.local_fetch_ms(request.arrived_ms) as u64
            }
        }
    }
}
