//! Messages from an agent to the entries.

use {
    super::state::{AgentState, LinkId},
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::{
        EngineRefusal, adapter_key,
        message::{EngineState, Part, Refused, ToEntry, ToEntryKind},
    },
    std::time::Duration,
    tokio::time::sleep,
};

impl AgentState {
    /// Refuses an attempt, and sends the engine's state to its entry.
    pub(super) fn refuse(
        &self,
        link: LinkId,
        attempt: u64,
        reason: EngineRefusal,
        retry_after_ms: u64,
    ) {
        self.metrics.count_refusal(reason.into());
        let refused = Refused {
            attempt,
            reason: reason as u32,
            retry_after_ms,
        };
        self.send(link, ToEntryKind::Refused(refused));
        self.send_engine_state(link);
    }

    /// Sends a message on a link. If the queue of the link is full, the link is dropped, which
    /// cancels its requests.
    pub(super) fn send(&self, link: LinkId, kind: ToEntryKind) {
        let message = ToEntry { kind: Some(kind) };
        let is_sent = match self.links.borrow().get(&link) {
            Some(outbox) => outbox.try_send(message).is_ok(),
            None => return,
        };
        if !is_sent {
            emit(EventId::RingFull, format_args!("link={link}"));
            self.links.borrow_mut().remove(&link);
        }
    }

    /// Sends a part of a response on a link, once few messages wait there. An engine that sends faster
    /// than the link would otherwise fill its queue, which ends the link.
    pub(super) async fn send_part(&self, link: LinkId, part: Part) {
        /// Messages that may wait on a link.
        const MAX_WAITING: usize = 256;
        /// Time between checks whether the link has sent enough.
        const POLL_INTERVAL: Duration = Duration::from_millis(1);
        let waiting = || {
            let links = self.links.borrow();
            let outbox = links.get(&link)?;
            Some(outbox.max_capacity() - outbox.capacity())
        };
        while waiting().is_some_and(|waiting| waiting >= MAX_WAITING) {
            sleep(POLL_INTERVAL).await;
        }
        self.send(link, ToEntryKind::Part(part));
    }

    /// Sends the engine's state on a link.
    pub(super) fn send_engine_state(&self, link: LinkId) {
        self.send(link, ToEntryKind::State(self.engine_state()));
    }

    pub(super) fn broadcast_engine_state(&self) {
        let state = self.engine_state();
        self.last_broadcast.set(state);
        self.broadcast(&ToEntryKind::State(state));
    }

    /// Sends the engine's state to all entries if it differs from the one that they have.
    pub(super) fn broadcast_changed_engine_state(&self) {
        if self.engine_state().differs_from(&self.last_broadcast.get()) {
            self.broadcast_engine_state();
        }
    }

    pub(super) fn broadcast(&self, kind: &ToEntryKind) {
        let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
        for link in links {
            self.send(link, kind.clone());
        }
    }

    /// Sends a message to all entries but that of one link.
    pub(super) fn broadcast_except(&self, excepted: LinkId, kind: &ToEntryKind) {
        let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
        for link in links.into_iter().filter(|&link| link != excepted) {
            self.send(link, kind.clone());
        }
    }

    /// Sends all entries the changes since the last update of what the engine has loaded.
    pub(super) fn broadcast_holdings_update(&self) {
        let scheduler = self.scheduler.borrow();
        let resident = scheduler
            .loaded_names(self.clock.now_ms())
            .map(|(name, uses)| (adapter_key(name), uses as u32))
            .collect();
        let update = self
            .holdings
            .borrow_mut()
            .update(&resident, scheduler.copied_keys());
        drop(scheduler);
        let Some(update) = update else {
            return;
        };
        self.broadcast(&ToEntryKind::Holdings(update));
    }

    pub(super) fn is_serving(&self) -> bool {
        let now_ms = self.clock.now_ms();
        !self.is_draining.get() && self.scheduler.borrow().is_serving(now_ms)
    }

    fn engine_state(&self) -> EngineState {
        let scheduler = self.scheduler.borrow();
        let now_ms = self.clock.now_ms();
        let clamped = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        EngineState {
            load: scheduler.load(),
            is_serving: !self.is_draining.get() && scheduler.is_serving(now_ms),
            entries: self.links.borrow().len() as u32,
            slots: scheduler.limits().batch_slots,
            ready_in_ms: scheduler.ready_in_ms(now_ms).unwrap_or(0),
            urgent_wait_ms: clamped(scheduler.expected_first_event_ms(0)),
            normal_wait_ms: clamped(scheduler.expected_first_event_ms(1)),
            bulk_wait_ms: clamped(scheduler.expected_first_event_ms(u32::MAX)),
            copy_load_ms: clamped(scheduler.expected_copy_load_ms(now_ms)),
            fetch_ms: clamped(scheduler.expected_fetch_ms(now_ms)),
            prompt_tokens_per_s: (scheduler.prompt_tokens_per_ms() * 1_000.0) as u32,
            batch_turnover_us: (scheduler.batch_turnover_ms() * 1_000.0) as u32,
            is_ending: self.is_draining.get() || scheduler.is_ending(),
            rate_wait_ms: clamped(scheduler.rate_wait_ms(u32::MAX, now_ms)),
            rate_interval_us: scheduler
                .rate()
                .map_or(0, |rate| clamped(rate.interval_us())),
            started_ms: scheduler.started_ms(),
        }
    }
}
