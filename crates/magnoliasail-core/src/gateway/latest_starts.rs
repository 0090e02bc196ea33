//! Until when requests may start on adapters of which newer versions are announced.

use {
    super::EngineRequest,
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Until when requests may start on outdated adapters, so that they begin on them in time.
///
/// A request begins with its first token, for which the engine reads the prompts before it and its own.
#[derive(Clone, Debug, Default)]
pub(super) struct LatestStarts {
    /// The time by which a request has to begin, by the full name of its adapter.
    pub(super) begin_by_ms: HashMap<Arc<str>, TimeMs>,
    /// The expected time at which a request without a prompt begins if it starts now.
    pub(super) next_begin_ms: TimeMs,
    pub(super) prompt_tokens_per_ms: f64,
}

impl LatestStarts {
    /// Returns whether a request that starts now begins in time.
    pub(super) fn allows(&self, request: &EngineRequest) -> bool {
        let adapter = request.adapter.as_ref();
        let Some(&begin_by_ms) = adapter.and_then(|adapter| self.begin_by_ms.get(adapter)) else {
            return true;
        };
        let prompt_ms = request.prompt_tokens as f64 / self.prompt_tokens_per_ms;
        self.next_begin_ms.saturating_add(prompt_ms as u64) <= begin_by_ms
    }
}
