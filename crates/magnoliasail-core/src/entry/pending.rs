//! Requests that wait for a server or for the load budget.
//!
//! They are found by priority when the budget has a load to give, and by adapter when a server
//! reports it, so that neither costs a walk over all that wait.

use {
    crate::AdapterRef,
    std::collections::{BTreeSet, HashMap},
};

/// The requests that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    /// Requests for models: the complement of the priority, then the request.
    by_priority: BTreeSet<(u32, u64)>,
    by_adapter: HashMap<AdapterRef, BTreeSet<u64>>,
    /// Requests for plain services.
    service_requests: BTreeSet<u64>,
}

impl PendingRequests {
    /// Adds a request for a model.
    pub(super) fn insert_model(&mut self, id: u64, priority: u32, adapter: &AdapterRef) {
        self.by_priority.insert((u32::MAX - priority, id));
        self.by_adapter
            .entry(adapter.clone())
            .or_default()
            .insert(id);
    }

    /// Adds a call of a plain service.
    pub(super) fn insert_service(&mut self, id: u64) {
        self.service_requests.insert(id);
    }

    /// Removes a request for a model.
    pub(super) fn remove_model(&mut self, id: u64, priority: u32, adapter: &AdapterRef) {
        if !self.by_priority.remove(&(u32::MAX - priority, id)) {
            return;
        }
        if let Some(ids) = self.by_adapter.get_mut(adapter) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_adapter.remove(adapter);
            }
        }
    }

    /// Removes a call of a plain service.
    pub(super) fn remove_service(&mut self, id: u64) {
        self.service_requests.remove(&id);
    }

    /// Returns the requests that wait for an adapter, the oldest first.
    pub(super) fn for_adapter(&self, adapter: &AdapterRef) -> Vec<u64> {
        self.by_adapter
            .get(adapter)
            .map(|ids| ids.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Returns the first `count` requests for models by priority, then by age.
    pub(super) fn highest_priority(&self, count: usize) -> Vec<u64> {
        self.by_priority
            .iter()
            .take(count)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Returns the calls of plain services.
    pub(super) fn service_requests(&self) -> Vec<u64> {
        self.service_requests.iter().copied().collect()
    }
}
