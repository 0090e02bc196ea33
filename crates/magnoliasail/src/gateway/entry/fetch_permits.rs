//! Permits the fetches of all engines from the weight store, if this entry is the one that agents ask.

use {
    super::state::EntryState,
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::message::{
        EngineFetches, FetchPermits, PermitsFetches, ToAgentKind,
    },
    std::{collections::BTreeMap, net::IpAddr},
};

impl EntryState {
    /// Tells an agent whose link is up that this entry permits fetches.
    pub(super) fn offer_fetch_permits(&self, vm: IpAddr) {
        let entry = self.settings.vm_name.as_ref().to_owned();
        if !self.send_to_agent(vm, ToAgentKind::PermitsFetches(PermitsFetches { entry })) {
            emit(EventId::RingFull, format_args!("permits agent={vm}"));
        }
    }

    /// Applies what an agent fetches and waits for, and permits what can be fetched now.
    pub(super) fn apply_fetches(&self, vm: IpAddr, fetches: &EngineFetches) {
        let now_ms = self.clock.now_ms();
        self.fetch_queue.borrow_mut().update(vm, fetches, now_ms);
        self.permit_fetches(Some((vm, fetches.number)));
    }

    /// Forgets the fetches of an agent whose link has ended.
    pub(super) fn remove_fetches(&self, vm: IpAddr) {
        self.fetch_queue.borrow_mut().remove(vm);
        self.permit_fetches(None);
    }

    /// Sends the permits that can be given, and acknowledges the message of an agent with this number.
    fn permit_fetches(&self, received: Option<(IpAddr, u64)>) {
        let now_ms = self.clock.now_ms();
        let permits = self.fetch_queue.borrow_mut().permit(now_ms);
        let has_changed = self.fetch_queue.borrow_mut().update_restriction();
        let is_unrestricted = self.fetch_queue.borrow().is_unrestricted();
        let mut by_vm: BTreeMap<IpAddr, FetchPermits> = BTreeMap::new();
        if let Some((vm, number)) = received {
            by_vm.entry(vm).or_default().received = number;
        }
        if has_changed {
            for vm in self.fetch_queue.borrow().engines() {
                by_vm.entry(vm).or_default();
            }
        }
        self.log_permits(&permits);
        for (vm, adapter) in permits {
            by_vm.entry(vm).or_default().adapters.push(adapter);
        }
        for (vm, permits) in by_vm {
            let permits = FetchPermits {
                is_unrestricted,
                ..permits
            };
            if !self.send_to_agent(vm, ToAgentKind::FetchPermits(permits)) {
                emit(EventId::RingFull, format_args!("permits agent={vm}"));
                // The agent's next message brings its whole state again.
                self.fetch_queue.borrow_mut().remove(vm);
            }
        }
    }

    /// Logs permits, and updates the metrics of the queue.
    fn log_permits(&self, permits: &[(IpAddr, u64)]) {
        let queue = self.fetch_queue.borrow();
        let (in_transit, limit, waiting) = (queue.in_transit(), queue.limit(), queue.waiting());
        self.metrics.fetches_in_transit.set(in_transit.into());
        self.metrics.fetch_limit.set(limit.into());
        self.metrics.fetches_waiting.set(waiting as i64);
        for (vm, adapter) in permits {
            emit(
                EventId::FetchPermitted,
                format_args!(
                    "agent={vm} adapter_key={adapter:016x} in_transit={in_transit} limit={limit} waiting={waiting}"
                ),
            );
        }
    }
}
