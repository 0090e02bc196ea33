//! Counts of the requests in flight at each server.

use {
    super::state::{EntryState, PickedServer},
    std::{rc::Rc, sync::Arc},
};

/// Counts a request as in flight at a server until it is dropped.
pub(super) struct InFlightGuard {
    state: Rc<EntryState>,
    server: Arc<str>,
    software_version: Option<Arc<str>>,
}

impl InFlightGuard {
    pub(super) fn new(state: &Rc<EntryState>, pick: &PickedServer) -> Self {
        if let Some(server) = state.directory.borrow_mut().get_mut(&pick.id) {
            server.in_flight += 1;
        }
        Self {
            state: Rc::clone(state),
            server: Arc::clone(&pick.id),
            software_version: pick.software_version.clone(),
        }
    }
}

impl InFlightGuard {
    pub(super) const fn server(&self) -> &Arc<str> {
        &self.server
    }

    /// Returns the software version of the server, if it publishes one.
    pub(super) fn software_version(&self) -> Option<&str> {
        self.software_version.as_deref()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(server) = self.state.directory.borrow_mut().get_mut(&self.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }
}
