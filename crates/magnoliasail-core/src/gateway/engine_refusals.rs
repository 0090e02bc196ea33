//! Which requests an engine's agent refuses, or hands back so that another engine may serve them sooner.
//!
//! A request that its entry may still place elsewhere is handed back if what waits ahead of it here makes it
//! late. No server has seen it, so that handing it back spends no retry.

use {
    super::{
        AdapterSlots, EngineAction, EngineRefusal, EngineRequest, EngineScheduler, Ineligibility,
        SlotState, base_models::BaseModels, latest_starts::LatestStarts,
    },
    crate::TimeMs,
};

/// How long a request may wait for an adapter slot, as a multiple of its latency objective.
const MAX_SLOT_WAIT_OBJECTIVES: u64 = 1;
/// How long a request may wait for an adapter slot even if its latency objective is short.
const MIN_SLOT_WAIT_MS: u64 = 400;

impl EngineScheduler {
    /// Returns the reason to refuse a new request and the time after which to retry it, in
    /// milliseconds.
    pub(super) fn refusal(
        &self,
        request: &EngineRequest,
        now_ms: TimeMs,
    ) -> Option<(EngineRefusal, u64)> {
        /// Retry delay if it is unknown when the engine will be ready.
        const UNKNOWN_READY_RETRY_MS: u64 = 1_000;
        let ready_in_ms = self.ready_in_ms(now_ms);
        let eligibility = self.eligibility.check(now_ms);
        if let Some(reason) = refusal_reason(eligibility, request, now_ms) {
            let retry_after_ms = match reason {
                EngineRefusal::EngineDown => UNKNOWN_READY_RETRY_MS,
                EngineRefusal::Paused => self.eligibility.pause_left_ms(now_ms),
                _ => 0,
            };
            return Some((reason, retry_after_ms));
        }
        let rate_wait_ms = self.rate_wait_ms(request.rank, now_ms);
        if rate_wait_ms > max_wait_ms(request, now_ms) {
            return Some((EngineRefusal::RateLimited, rate_wait_ms));
        }
        if !self.may_serve(&request.model) {
            let ready_in_ms = ready_in_ms.unwrap_or(UNKNOWN_READY_RETRY_MS);
            return Some((EngineRefusal::ModelAbsent, ready_in_ms));
        }
        if let Some(adapter) = &request.adapter
            && self.adapters.state(adapter).is_none()
            && !self.can_hold(adapter)
        {
            return Some((EngineRefusal::NoSlot, 0));
        }
        let model_ms = ready_in_ms.unwrap_or(0);
        let replacement_ms = self.replacement_wait_ms(request, now_ms);
        if replacement_ms > 0 && now_ms + replacement_ms > request.objective_ms {
            return Some((EngineRefusal::OutdatedAdapter, replacement_ms));
        }
        let load_ms = self.expected_load_ms(request).max(replacement_ms);
        let own_load_ms = request
            .adapter
            .as_ref()
            .map_or(0, |adapter| self.load_ms(adapter) as u64);
        if now_ms + model_ms + load_ms > request.objective_ms && load_ms > own_load_ms * 2 {
            // The request would miss its objective and take the slot of one that could meet it.
            return Some((EngineRefusal::Overloaded, model_ms + load_ms));
        }
        let batch_wait_ms = self
            .queue
            .expected_wait_of(request, self.limits.batch_slots);
        let wait_ms = model_ms + batch_wait_ms.max(load_ms);
        if now_ms + wait_ms > request.deadline_ms {
            return Some((EngineRefusal::Overloaded, wait_ms));
        }
        let is_late_here = request.may_move && self.is_late_here(request, wait_ms, now_ms);
        is_late_here.then_some((EngineRefusal::LateHere, wait_ms))
    }

    /// Returns whether a request that would start after `wait_ms` milliseconds misses its objective because of
    /// what is ahead of it here, and not because of its own load and prompt.
    fn is_late_here(&self, request: &EngineRequest, wait_ms: u64, now_ms: TimeMs) -> bool {
        let prompt_ms = (request.prompt_tokens as f64 / self.prompt_tokens_per_ms()) as u64;
        let own_load_ms =
            request
                .adapter
                .as_ref()
                .map_or(0, |adapter| match self.adapters.state(adapter) {
                    Some(SlotState::Resident) => 0,
                    _ => self.load_ms(adapter) as u64,
                });
        let slowdown = self.work_time.slowdown(now_ms);
        let reading_ms = (self.queue.reading_ms(request.rank) as f64 * slowdown) as u64;
        let ahead_ms = wait_ms.max(reading_ms);
        let own_ms = own_load_ms + prompt_ms;
        let left_ms = request.objective_ms.saturating_sub(now_ms);
        own_ms <= left_ms && ahead_ms.max(own_load_ms) + prompt_ms > left_ms
    }

    /// Returns the tokens of the prompts that the engine may read at once.
    ///
    /// An engine reads prompts between the tokens of its streams. While others on its VM slow it down, what it
    /// reads within one event of a stream must leave the pause well within the objective.
    pub(super) fn max_reading_tokens(&self, now_ms: TimeMs) -> u64 {
        /// Slow-down from which prompts are held back.
        const MIN_SLOWDOWN: f64 = 1.3;
        /// Part of the pause objective in which prompts may be read.
        const READING_SHARE: f64 = 0.5;
        let limits = &self.limits;
        let slowdown = self.work_time.slowdown(now_ms);
        if slowdown < MIN_SLOWDOWN || limits.pause_objective_ms == 0 || limits.tokens_per_event == 0
        {
            return u64::MAX;
        }
        let step_ms =
            limits.pause_objective_ms as f64 * READING_SHARE / f64::from(limits.tokens_per_event);
        (step_ms * self.prompt_tokens_per_ms() / slowdown) as u64
    }

    /// Returns how many times longer than usual work takes at the engine now.
    #[must_use]
    pub fn slowdown(&self, now_ms: TimeMs) -> f64 {
        self.work_time.slowdown(now_ms)
    }

    /// Records what the engine said about the time that work takes.
    pub fn record_work_time(&mut self, percent: u32, now_ms: TimeMs) {
        self.work_time.record(percent, now_ms);
    }

    /// Refuses waiting requests: all of them if the engine is down, draining or leaving, otherwise
    /// those that can no longer be served in time or that a pause would make late.
    pub(super) fn refuse_waiting(&mut self, now_ms: TimeMs, actions: &mut Vec<EngineAction>) {
        /// Minimum time before the deadline in which an answer could still be of use.
        const MIN_RUN_MS: u64 = 30;
        let eligibility = self.eligibility.check(now_ms);
        let pause_left_ms = self.eligibility.pause_left_ms(now_ms);
        let rate_wait_ms = self.eligibility.limit().wait_ms(0, now_ms);
        let adapters = &self.adapters;
        // Another engine would wait for the same permits.
        let waits_for_permits = self.fetches.needs_permit(now_ms)
            && self.slots_available() > 0
            && self.adapters.loading() < self.max_loads(now_ms);
        let is_slowed = self.max_reading_tokens(now_ms) < u64::MAX;
        let ready_ms = self.models.ready_ms();
        let latest_starts = self.latest_starts(now_ms);
        let without_room = self
            .queue
            .without_room(self.limits.batch_slots, now_ms, |request| {
                is_loaded(&self.models, &self.adapters, request) && latest_starts.allows(request)
            });
        let replacement_ms = self.load_times.mean_fetch_ms() as u64;
        let rejected = self.queue.reject_where(|request| {
            let is_expired = now_ms + MIN_RUN_MS >= request.deadline_ms;
            let objective_ms = request.objective_ms.saturating_sub(request.arrived_ms);
            let max_wait_ms = (MAX_SLOT_WAIT_OBJECTIVES * objective_ms).max(MIN_SLOT_WAIT_MS);
            let has_slot = request
                .adapter
                .as_ref()
                .is_none_or(|adapter| adapters.is_held(adapter));
            let since_ms = request.arrived_ms.max(ready_ms);
            let is_overdue = now_ms > since_ms + max_wait_ms;
            let is_outdated = has_slot && is_held_back(adapters, &latest_starts, request);
            // More urgent requests may have taken the times for which it has waited.
            let is_rate_overdue = rate_wait_ms > 0 && now_ms > request.objective_ms;
            let is_stuck = request.may_move
                && is_held_up(request, now_ms)
                && (!(has_slot || waits_for_permits) || is_outdated || is_slowed);
            refusal_reason(eligibility, request, now_ms)
                .or_else(|| is_rate_overdue.then_some(EngineRefusal::RateLimited))
                .or_else(|| is_expired.then_some(EngineRefusal::Expired))
                .or_else(|| (!has_slot && is_overdue).then_some(EngineRefusal::NoSlot))
                .or_else(|| (is_outdated && is_overdue).then_some(EngineRefusal::OutdatedAdapter))
                .or_else(|| is_stuck.then_some(EngineRefusal::LateHere))
                .or_else(|| {
                    let is_without_room = without_room.contains_key(&request.key);
                    is_without_room.then_some(EngineRefusal::Overloaded)
                })
        });
        let refusals = rejected
            .into_iter()
            .map(|(key, reason)| EngineAction::Refuse {
                key,
                reason,
                retry_after_ms: match reason {
                    EngineRefusal::Paused => pause_left_ms,
                    EngineRefusal::RateLimited => rate_wait_ms,
                    EngineRefusal::OutdatedAdapter => replacement_ms,
                    EngineRefusal::Overloaded => without_room.get(&key).copied().unwrap_or(0),
                    _ => 0,
                },
            });
        actions.extend(refusals);
    }
}

/// Returns whether the adapter of a request is loaded in a version on which the request may not begin any more.
fn is_held_back(
    adapters: &AdapterSlots,
    latest_starts: &LatestStarts,
    request: &EngineRequest,
) -> bool {
    let state = request
        .adapter
        .as_ref()
        .and_then(|adapter| adapters.state(adapter));
    state == Some(SlotState::Resident) && !latest_starts.allows(request)
}

/// Returns whether the engine has what a request needs, so that the request can start.
pub(super) fn is_loaded(
    models: &BaseModels,
    adapters: &AdapterSlots,
    request: &EngineRequest,
) -> bool {
    match &request.adapter {
        Some(adapter) => adapters.state(adapter) == Some(SlotState::Resident),
        None => models.is_loaded(&request.model),
    }
}

/// Returns whether a request has waited so long that it should go elsewhere while it can still be in time.
const fn is_held_up(request: &EngineRequest, now_ms: TimeMs) -> bool {
    /// Divides the objective; a request may wait for the quotient before it is handed back.
    const HAND_BACK_DIVISOR: u64 = 4;
    let objective_ms = request.objective_ms.saturating_sub(request.arrived_ms);
    let waited_ms = now_ms.saturating_sub(request.arrived_ms);
    waited_ms >= objective_ms / HAND_BACK_DIVISOR && now_ms < request.objective_ms
}

/// Returns the reason to refuse a request that arrives or waits while the engine may get no new work.
///
/// A request waits for the end of a pause only if the pause ends well before its objective; otherwise
/// another engine may serve it sooner.
fn refusal_reason(
    eligibility: Result<(), Ineligibility>,
    request: &EngineRequest,
    now_ms: TimeMs,
) -> Option<EngineRefusal> {
    match eligibility.err()? {
        // An agent's own engine is never `Removed`, and has no other version than itself.
        Ineligibility::Unreachable | Ineligibility::Removed => Some(EngineRefusal::EngineDown),
        Ineligibility::OtherVersion => Some(EngineRefusal::WrongServer),
        Ineligibility::Draining => Some(EngineRefusal::Draining),
        Ineligibility::Leaving => Some(EngineRefusal::Leaving),
        Ineligibility::Paused { left_ms } => {
            (left_ms > max_wait_ms(request, now_ms)).then_some(EngineRefusal::Paused)
        }
        Ineligibility::Limited { left_ms } => {
            (left_ms > max_wait_ms(request, now_ms)).then_some(EngineRefusal::RateLimited)
        }
    }
}

/// Returns how long a request may wait for what its engine has asked for, in milliseconds.
const fn max_wait_ms(request: &EngineRequest, now_ms: TimeMs) -> u64 {
    /// Divides the time left to the objective; a request may wait for the quotient.
    const MAX_WAIT_DIVISOR: u64 = 2;
    request.objective_ms.saturating_sub(now_ms) / MAX_WAIT_DIVISOR
}
