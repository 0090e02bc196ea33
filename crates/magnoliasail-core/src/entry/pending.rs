//! Requests that wait for a server or for the load budget.
//!
//! They are indexed by priority, for when the budget allows another load, and by adapter, for when
//! a server reports it as resident, so that neither event scans all pending requests.

use {
    crate::AdapterRef,
    std::collections::{BTreeSet, HashMap},
};

/// Indexes of the requests that wait for a server or for the load budget.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    /// Requests for models, as the complement of the priority and the request's number.
    ///
    /// The complement sorts the highest priority first.
    by_priority: BTreeSet<(u32, u64)>,
    /// Requests for models, by adapter.
    by_adapter: HashMap<AdapterRef, BTreeSet<u64>>,
    /// Calls of services.
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

    /// Adds a call of a service.
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

    /// Removes a call of a service.
    pub(super) fn remove_service(&mut self, id: u64) {
        self.service_requests.remove(&id);
    }

    /// Returns the requests that wait for an adapter, oldest first.
    pub(super) fn for_adapter(&self, adapter: &AdapterRef) -> Vec<u64> {
        self.by_adapter
            .get(adapter)
            .map(|ids| ids.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Returns the first `count` requests for models, by descending priority and then by age.
    pub(super) fn highest_priority(&self, count: usize) -> Vec<u64> {
        self.by_priority
            .iter()
            .take(count)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Returns the calls of services, oldest first.
    pub(super) fn service_requests(&self) -> Vec<u64> {
        self.service_requests.iter().copied().collect()
    }
}
