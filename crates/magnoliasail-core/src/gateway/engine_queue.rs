//! The requests that wait for an engine or run on it.

use {
    super::{EngineLimits, EngineRefusal, EngineRequest},
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Weight of the newest run in the running average of their times.
const NEWEST_RUN: f64 = 0.05;
/// What a request that can only be late counts among those that wait for an adapter.
const LATE_WEIGHT: f64 = 0.05;
/// Waiting time that counts as much as one request more for the same adapter, in milliseconds.
const AGE_WEIGHT_MS: f64 = 2_000.0;

#[derive(Clone, Debug)]
struct Running {
    request: EngineRequest,
    started_ms: TimeMs,
}

/// The requests that wait for an engine or run on it.
#[derive(Clone, Debug)]
pub(super) struct EngineQueue {
    waiting: Vec<EngineRequest>,
    running: HashMap<u64, Running>,
    mean_run_ms: f64,
}

impl EngineQueue {
    /// Creates an empty queue, with a run's time before any has been seen.
    pub(super) fn new(initial_run_ms: f64) -> Self {
        Self {
            waiting: Vec::new(),
            running: HashMap::new(),
            mean_run_ms: initial_run_ms,
        }
    }

    /// Returns the number of requests that run or wait.
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the number of requests that wait.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the usual time of a run, in milliseconds.
    pub(super) const fn mean_run_ms(&self) -> f64 {
        self.mean_run_ms
    }

    /// Adds a request.
    pub(super) fn push(&mut self, request: EngineRequest) {
        self.waiting.push(request);
    }

    /// Forgets a request; returns it if it had started.
    pub(super) fn finish(
        &mut self,
        key: u64,
        is_complete: bool,
        now_ms: TimeMs,
    ) -> Option<EngineRequest> {
        let Some(running) = self.running.remove(&key) else {
            self.waiting.retain(|request| request.key != key);
            return None;
        };
        if is_complete {
            let run_ms = now_ms.saturating_sub(running.started_ms) as f64;
            self.mean_run_ms += NEWEST_RUN * (run_ms - self.mean_run_ms);
        }
        Some(running.request)
    }

    /// Removes the waiting requests for which `judge` gives a reason; returns their keys.
    pub(super) fn give_back<F>(&mut self, judge: F) -> Vec<(u64, EngineRefusal)>
    where
        F: Fn(&EngineRequest) -> Option<EngineRefusal>,
    {
        let mut given_back = Vec::new();
        self.waiting.retain(|request| match judge(request) {
            Some(reason) => {
                given_back.push((request.key, reason));
                false
            }
            None => true,
        });
        given_back
    }

    /// Starts the waiting requests that `can_serve` allows and for which the batch and the memory
    /// have room: those that can still meet their objective first, then by rank.
    pub(super) fn start<F>(
        &mut self,
        limits: &EngineLimits,
        now_ms: TimeMs,
        can_serve: F,
    ) -> Vec<EngineRequest>
    where
        F: Fn(&EngineRequest) -> bool,
    {
        self.waiting.sort_by_key(|request| {
            let is_late = now_ms > request.objective_ms;
            (is_late, request.rank, request.objective_ms)
        });
        let mut kv_tokens: u64 = self.running.values().map(|run| run.request.kv_tokens).sum();
        let mut started = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() && self.running.len() < limits.batch_slots as usize {
            let request = &self.waiting[index];
            let fits = self.running.is_empty() || kv_tokens + request.kv_tokens <= limits.kv_tokens;
            if !fits {
                break;
            }
            if !can_serve(request) {
                index += 1;
                continue;
            }
            let request = self.waiting.remove(index);
            kv_tokens += request.kv_tokens;
            started.push(request.clone());
            let running = Running {
                request,
                started_ms: now_ms,
            };
            self.running.insert(running.request.key, running);
        }
        started
    }

    /// Returns how long a request of this rank is expected to wait for a place in the batch.
    pub(super) fn expected_wait_ms(&self, rank: u32, batch_slots: u32) -> u64 {
        let slots = batch_slots.max(1) as usize;
        let ahead = self
            .waiting
            .iter()
            .filter(|other| other.rank <= rank)
            .count();
        let free = slots.saturating_sub(self.running.len());
        let queued = (ahead + 1).saturating_sub(free);
        (queued as f64 * self.mean_run_ms / slots as f64) as u64
    }

    /// Returns the adapters that requests wait for and that are missing, with what the requests
    /// weigh together.
    pub(super) fn missing_adapters<F>(
        &self,
        now_ms: TimeMs,
        is_missing: F,
    ) -> HashMap<&Arc<str>, f64>
    where
        F: Fn(&EngineRequest, &Arc<str>) -> bool,
    {
        let mut missing = HashMap::new();
        for request in &self.waiting {
            let Some(adapter) = &request.adapter else {
                continue;
            };
            if !is_missing(request, adapter) {
                continue;
            }
            let is_late = now_ms > request.objective_ms;
            let weight = if is_late { LATE_WEIGHT } else { 1.0 };
            let age_ms = now_ms.saturating_sub(request.arrived_ms) as f64;
            *missing.entry(adapter).or_insert(0.0) += weight + age_ms / AGE_WEIGHT_MS;
        }
        missing
    }

    /// Tells whether a waiting request wants an adapter.
    pub(super) fn wants(&self, adapter: &str) -> bool {
        self.waiting
            .iter()
            .any(|request| request.adapter.as_deref() == Some(adapter))
    }

    /// Returns the requests that run.
    pub(super) fn running(&self) -> impl Iterator<Item = &EngineRequest> {
        self.running.values().map(|running| &running.request)
    }
}
