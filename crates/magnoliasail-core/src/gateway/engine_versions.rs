//! Which versions of adapters an engine serves.
//!
//! A loaded adapter of which a newer version was announced is replaced after a delay that differs between
//! engines, because it cannot serve meanwhile. It counts from the first newer version, so that further ones
//! don't put the replacement off. What is not replaced in time serves no more requests until it is.

use {
    super::{
        AdapterVersion, EngineRequest, EngineScheduler, Order, SlotState,
        latest_starts::LatestStarts,
    },
    crate::TimeMs,
    std::sync::Arc,
};

/// Time for a request to reach the engine and its batch, beside that to read prompts.
const BEGIN_MARGIN_MS: u64 = 300;

impl EngineScheduler {
    /// Records a version of an adapter. `announced_ms` is the earliest time at which it can have been announced, or 0 if
    /// that is unknown; older versions then serve no further requests.
    pub fn announce(&mut self, announced: &AdapterVersion, announced_ms: TimeMs, now_ms: TimeMs) {
        let max_age_ms = self
            .settings
            .max_outdated_ms
            .unwrap_or(0)
            .max(self.settings.replacement_spread_ms);
        let expired_ms = now_ms.saturating_sub(max_age_ms);
        self.replacements
            .announce(announced, announced_ms, expired_ms);
        self.replacements.update(&self.adapters);
    }

    /// Returns this engine's delay within the spread. At least half of the time in which older versions may
    /// serve is left for the replacements.
    fn replacement_delay_ms(&self) -> u64 {
        let spread_ms = self.settings.replacement_spread_ms;
        let max_delay_ms = self
            .settings
            .max_outdated_ms
            .map_or(spread_ms, |max_ms| spread_ms.min(max_ms / 2));
        self.settings.engine_seed % max_delay_ms.max(1)
    }

    /// Issues the order to replace the adapter that is due and has been outdated for longest, of those for
    /// which requests wait if there are any.
    pub(super) fn order_replacement(&mut self, now_ms: TimeMs) -> Option<Order> {
        let delay_ms = self.replacement_delay_ms();
        let due = self
            .replacements
            .outdated(&self.adapters)
            .filter(|adapter| adapter.since_ms + delay_ms <= now_ms)
            .min_by_key(|adapter| !self.queue.needs_adapter(&adapter.name))?;
        let name = Arc::clone(&due.name);
        Some(self.order_adapter(&name, now_ms))
    }

    /// Returns until when requests may start on the adapters that are outdated.
    pub(super) fn latest_starts(&self, now_ms: TimeMs) -> LatestStarts {
        let Some(max_outdated_ms) = self.settings.max_outdated_ms else {
            return LatestStarts::default();
        };
        let outdated = self.replacements.outdated(&self.adapters);
        let begin_by_ms = outdated
            .map(|adapter| {
                (
                    Arc::clone(&adapter.name),
                    adapter.since_ms + max_outdated_ms,
                )
            })
            .collect();
        let prompt_tokens_per_ms = self.prompt_tokens_per_ms() / self.slowdown(now_ms);
        let reading_ms = self.queue.reading_tokens() as f64 / prompt_tokens_per_ms;
        LatestStarts {
            begin_by_ms,
            next_begin_ms: now_ms + BEGIN_MARGIN_MS + reading_ms as u64,
            prompt_tokens_per_ms,
        }
    }

    /// Returns the expected time until the adapter of a request is replaced, in milliseconds; 0 if the request
    /// may start on the loaded version.
    pub(super) fn replacement_wait_ms(&self, request: &EngineRequest, now_ms: TimeMs) -> u64 {
        let Some(name) = &request.adapter else {
            return 0;
        };
        if self.adapters.state(name) != Some(SlotState::Resident)
            || self.latest_starts(now_ms).allows(request)
        {
            return 0;
        }
        let needed_ahead = self
            .replacements
            .outdated(&self.adapters)
            .take_while(|adapter| adapter.name != *name)
            .filter(|adapter| self.queue.needs_adapter(&adapter.name))
            .count();
        let ahead = self.adapters.loading() + needed_ahead;
        let rounds = 1 + ahead / self.settings.max_concurrent_loads.max(1);
        (rounds as f64 * self.load_times.mean_fetch_ms()) as u64
    }
}
