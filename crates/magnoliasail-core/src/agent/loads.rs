//! Loads of adapters.
//!
//! All runs that need an adapter share one load. A failed load is retried with backoff and
//! abandoned after the configured number of attempts.

use {
    super::{Agent, AgentAction, RunId, run::Stage},
    crate::{AdapterRef, RefusalReason, TimeMs},
};

/// Bound on the backoff after refusals of the weight store, in doublings of the first pause.
const MAX_STORE_REFUSAL_DOUBLINGS: u32 = 3;

/// A load that was ordered and has not completed yet.
#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    generation: u64,
    attempts: u32,
    store_refusals: u32,
    retry_at_ms: Option<TimeMs>,
}

impl Agent {
    /// Starts a load into `slot` in place of `evicted`.
    pub(super) fn order_load(
        &mut self,
        slot: usize,
        adapter: &AdapterRef,
        evicted: Option<AdapterRef>,
        actions: &mut Vec<AgentAction>,
    ) {
        let generation = self.slots.generation(slot);
        let pending = PendingLoad {
            generation,
            attempts: 1,
            store_refusals: 0,
            retry_at_ms: None,
        };
        self.pending_loads.insert(slot, pending);
        actions.push(AgentAction::Load {
            slot,
            generation,
            adapter: adapter.clone(),
            evicted,
        });
    }

    /// Returns `true` if a load for this generation of the slot has not completed.
    fn is_pending(&self, slot: usize, generation: u64) -> bool {
        self.pending_loads
            .get(&slot)
            .is_some_and(|pending| pending.generation == generation)
    }

    pub(super) fn handle_loaded(
        &mut self,
        slot: usize,
        generation: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        if !self.is_pending(slot, generation) {
            return;
        }
        self.pending_loads.remove(&slot);
        self.slots.mark_loaded(slot);
        self.report.record_load();
        actions.push(AgentAction::Loaded);
    }

    pub(super) fn handle_load_failed(
        &mut self,
        now_ms: TimeMs,
        slot: usize,
        generation: u64,
        is_store_refusal: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        if !self.is_pending(slot, generation) {
            return;
        }
        if is_store_refusal {
            self.report.record_store_refusal();
            self.postpone_load(now_ms, slot);
            return;
        }
        let backoff_ms = self.settings.load_backoff_ms;
        let max_attempts = self.settings.max_load_attempts;
        let Some(pending) = self.pending_loads.get_mut(&slot) else {
            return;
        };
        if pending.attempts >= max_attempts {
            self.abandon_load(slot, generation, actions);
            return;
        }
        let doublings = (pending.attempts - 1).min(16);
        pending.retry_at_ms = Some(now_ms + (backoff_ms << doublings));
    }

    /// Schedules a retry of a load that the weight store refused because of its rate limit.
    ///
    /// The load itself is not at fault, so the refusal does not count as an attempt.
    fn postpone_load(&mut self, now_ms: TimeMs, slot: usize) {
        let backoff_ms = self.settings.load_backoff_ms;
        if let Some(pending) = self.pending_loads.get_mut(&slot) {
            let doublings = pending.store_refusals.min(MAX_STORE_REFUSAL_DOUBLINGS);
            pending.attempts -= 1;
            pending.store_refusals += 1;
            pending.retry_at_ms = Some(now_ms + (backoff_ms << doublings));
        }
    }

    /// Abandons a load: refuses every run that waits for it and clears the slot.
    fn abandon_load(&mut self, slot: usize, generation: u64, actions: &mut Vec<AgentAction>) {
        self.pending_loads.remove(&slot);
        for id in self.runs_waiting_for(slot, generation) {
            self.refuse_run(id, RefusalReason::LoadFailed, actions);
        }
        self.slots.clear(slot);
    }

    fn runs_waiting_for(&self, slot: usize, generation: u64) -> Vec<RunId> {
        self.runs
            .values()
            .filter(|run| {
                run.stage == Stage::Waiting && run.pinned_slot() == Some((slot, generation))
            })
            .map(|run| run.id)
            .collect()
    }

    /// Retries the loads whose backoff has expired; drops those that no run waits for any longer.
    pub(super) fn retry_loads(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let mut abandoned = Vec::new();
        for (&slot, pending) in &mut self.pending_loads {
            let is_due = pending.retry_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if !is_due {
                continue;
            }
            if self.slots.pins(slot) == 0 {
                abandoned.push(slot);
                continue;
            }
            pending.retry_at_ms = None;
            pending.attempts += 1;
            if let Some(adapter) = self.slots.adapter(slot) {
                actions.push(AgentAction::Load {
                    slot,
                    generation: pending.generation,
                    adapter: adapter.clone(),
                    evicted: None,
                });
            }
        }
        for slot in abandoned {
            self.pending_loads.remove(&slot);
            self.slots.clear(slot);
        }
    }

    /// Reloads an adapter that the engine no longer has, although its slot was ready.
    pub(super) fn reload(&mut self, slot: usize, generation: u64, actions: &mut Vec<AgentAction>) {
        if self.slots.generation(slot) != generation || self.is_pending(slot, generation) {
            return;
        }
        let Some(adapter) = self.slots.adapter(slot).cloned() else {
            return;
        };
        self.slots.mark_unloaded(slot);
        self.order_load(slot, &adapter, None, actions);
    }
}
