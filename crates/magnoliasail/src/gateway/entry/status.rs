//! What an entry reports of its accounts and servers.

use {
    super::state::EntryState,
    serde_json::{Value, json},
};

impl EntryState {
    /// Returns the active configuration, the accounts that sent requests, and the servers, as JSON.
    pub(super) fn status(&self) -> Value {
        let now_ms = self.clock.now_ms();
        json!({
            "configuration_version": self.table.borrow().version(),
            "store_age_ms": self.store_freshness.get().age_ms(now_ms),
            "held_bytes": self.buffered.held_bytes(),
            "accounts": self.quotas.borrow().status(now_ms),
            "fetches": self.fetch_status(),
            "servers": self.server_status(now_ms),
        })
    }

    /// Returns the fetches from the weight store, which only the entry that permits them knows.
    fn fetch_status(&self) -> Value {
        let queue = self.fetch_queue.borrow();
        json!({
            "in_transit": queue.in_transit(),
            "limit": queue.limit(),
            "waiting": queue.waiting(),
            "needs_permits": !queue.is_unrestricted(),
        })
    }

    fn server_status(&self, now_ms: u64) -> Vec<Value> {
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let row = |server: &magnoliasail_core::gateway::ServerView| {
            let link = links.get(&server.entry.address.ip());
            let engine = link.and_then(|link| Some((link.usable_state()?, link.state_age_ms())));
            json!({
                "server": server.entry.id,
                "service": server.entry.service,
                "load": engine.map_or_else(|| server.load(), |(state, _)| state.load),
                "slots": server.entry.slots,
                "work_percent": server.work_time.percent(now_ms),
                "prompt_tokens_per_s": engine.map(|(state, _)| state.prompt_tokens_per_s),
                "age_ms": engine.map(|(_, age_ms)| age_ms),
            })
        };
        directory.all().map(row).collect()
    }
}
