//! Which versions of adapters an engine serves.
//!
//! A loaded adapter of which a newer version was announced is replaced after a delay that differs between
//! engines, because it cannot serve meanwhile. The delay counts from the first newer version, so that further
//! ones don't put the replacement off.

use {
    super::{AdapterVersion, EngineScheduler, Order},
    crate::TimeMs,
    std::sync::Arc,
};

impl EngineScheduler {
    /// Records a version of an adapter that was announced just now.
    pub fn announce(&mut self, announced: &AdapterVersion, now_ms: TimeMs) {
        let expired_ms = now_ms.saturating_sub(self.replacement_delay_ms());
        self.replacements.announce(announced, now_ms, expired_ms);
        self.replacements.update(&self.adapters);
    }

    /// Returns this engine's delay within the spread.
    fn replacement_delay_ms(&self) -> u64 {
        self.settings.engine_seed % self.settings.replacement_spread_ms.max(1)
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
}
