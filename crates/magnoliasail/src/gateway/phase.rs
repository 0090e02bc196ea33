//! The phases of a process from its start to its exit.

use tokio::sync::watch;

/// A phase of a process; each lasts until the next one begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The process accepts requests.
    Serving,
    /// A signal has asked the process to stop: it completes the requests that it has.
    Draining,
    /// The process exits in a moment: it responds to the requests that it can't complete.
    Stopping,
}

impl Phase {
    /// Waits until this phase or a later one has begun.
    pub(super) async fn reached(self, current: &mut watch::Receiver<Self>) {
        // The sender lives as long as the process.
        let _ = current.wait_for(|&phase| phase >= self).await;
    }
}
