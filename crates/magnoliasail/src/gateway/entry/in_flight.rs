//! The requests in flight at each server, and those that are cancelled there.

use {
    super::{
        attempt::OutgoingRequest,
        state::{EntryState, PickedServer},
    },
    std::{cell::Cell, rc::Rc, sync::Arc},
};

/// Counts a request as in flight at a server until it is dropped. If it has not ended by then, it is
/// cancelled there.
pub(super) struct InFlightGuard {
    state: Rc<EntryState>,
    pick: PickedServer,
    outgoing: Rc<OutgoingRequest>,
    has_ended: Cell<bool>,
}

impl InFlightGuard {
    pub(super) fn new(
        state: &Rc<EntryState>,
        pick: &PickedServer,
        outgoing: &Rc<OutgoingRequest>,
    ) -> Self {
        if let Some(server) = state.directory.borrow_mut().get_mut(&pick.id) {
            server.in_flight += 1;
        }
        Self {
            state: Rc::clone(state),
            pick: pick.clone(),
            outgoing: Rc::clone(outgoing),
            has_ended: Cell::new(false),
        }
    }

    /// Records that the server does not run the request any more, as its response is complete or it broke
    /// the request off.
    pub(super) fn end(&self) {
        self.has_ended.set(true);
    }

    /// Returns the server as it was picked.
    pub(super) const fn pick(&self) -> &PickedServer {
        &self.pick
    }

    pub(super) const fn server(&self) -> &Arc<str> {
        &self.pick.id
    }

    /// Returns the software version of the server, if it publishes one.
    pub(super) fn software_version(&self) -> Option<&str> {
        self.pick.software_version.as_deref()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(server) = self.state.directory.borrow_mut().get_mut(&self.pick.id) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        if !self.has_ended.get() {
            self.state.record_cancelled(&self.pick, &self.outgoing);
        }
    }
}
