//! What happens on a connection of a caller, as far as it decides when the connection may be closed.

use std::{cell::Cell, rc::Rc};

/// The state of a connection, shared by its stream and its responses.
#[derive(Debug, Default)]
pub(super) struct ConnectionActivity {
    /// Requests whose response has not been handed over to the connection completely.
    in_progress: Cell<u32>,
    has_requests: Cell<bool>,
    /// Whether bytes have arrived since the last response, which are no whole request head.
    has_partial_request: Cell<bool>,
    /// Whether bytes of a response wait because the caller reads slowly.
    is_write_blocked: Cell<bool>,
}

impl ConnectionActivity {
    /// Records that a whole request head has arrived. The request is in progress until the result is dropped.
    pub(super) fn start_request(self: &Rc<Self>) -> RequestInProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        self.has_requests.set(true);
        self.has_partial_request.set(false);
        RequestInProgress(Rc::clone(self))
    }

    /// Returns whether neither a request nor a response is under way, as far as the entry can know.
    pub(super) fn is_idle(&self) -> bool {
        self.has_requests.get() && !self.has_partial_request.get() && self.is_answered()
    }

    /// Returns whether each request of which the head has arrived has its whole response.
    pub(super) fn is_answered(&self) -> bool {
        self.in_progress.get() == 0 && !self.is_write_blocked.get()
    }

    /// Records that bytes have arrived. They are a part of a request head, or of the body of a request in progress.
    pub(super) fn record_read(&self) {
        self.has_partial_request.set(true);
    }

    /// Records whether a write waits for the caller to read.
    pub(super) fn record_write(&self, is_blocked: bool) {
        self.is_write_blocked.set(is_blocked);
    }

    /// Returns whether nothing has arrived on the connection.
    pub(super) fn is_unused(&self) -> bool {
        !self.has_requests.get() && !self.has_partial_request.get()
    }
}

/// A request until its response ends.
#[derive(Debug)]
pub(super) struct RequestInProgress(Rc<ConnectionActivity>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let activity = &self.0;
        activity.in_progress.set(activity.in_progress.get() - 1);
        // What has arrived meanwhile was the body.
        activity.has_partial_request.set(false);
    }
}
