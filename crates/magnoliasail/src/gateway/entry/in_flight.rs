//! Requests that are under way at a server.

use {
    super::state::EntryState,
    std::{rc::Rc, sync::Arc},
};

/// Counts a request as under way at a server for as long as it lives.
pub(super) struct InFlight {
    state: Rc<EntryState>,
    server: Arc<str>,
}

impl InFlight {
    pub(super) fn new(state: &Rc<EntryState>, server: &Arc<str>) -> Self {
        if let Some(server) = state.directory.borrow_mut().get_mut(server) {
            server.in_flight += 1;
        }
        Self {
            state: Rc::clone(state),
            server: Arc::clone(server),
        }
    }
}

impl InFlight {
    pub(super) const fn server(&self) -> &Arc<str> {
        &self.server
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(server) = self.state.directory.borrow_mut().get_mut(&self.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }
}
