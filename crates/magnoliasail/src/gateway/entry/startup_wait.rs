//! Waits for entries and agents that have just started.
//!
//! A process receives the state that it needs within moments of its start. Requests wait for it
//! rather than being refused, since a caller that is refused may have no retry left.

use {
    super::state::EntryState,
    crate::events::{EventId, emit},
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// Longest wait of a request for an entry that has just started; callers abandon a request that is
/// not read within a second.
const MAX_INITIALIZATION_WAIT: Duration = Duration::from_millis(800);
/// Longest time between checks whether a request may still wait.
pub(super) const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until an entry that has just started is initialized, as long as the store can be read;
/// returns whether it is.
pub(super) async fn wait_until_initialized(state: &EntryState, id: Option<&str>) -> bool {
    let started_at = Instant::now();
    while !state.is_initialized()
        && !state.is_store_lost.get()
        && started_at.elapsed() < MAX_INITIALIZATION_WAIT
    {
        let _ = timeout(WAIT_POLL_INTERVAL, state.changes.notified()).await;
    }
    let is_initialized = state.is_initialized();
    log_wait(id, "entry", started_at, is_initialized);
    is_initialized
}

/// Waits until an entry that has just started knows what is quarantined, if the service has plain servers.
/// Engines have agents that refuse it.
pub(super) async fn wait_for_quarantines(state: &EntryState, service: &str, id: &str) {
    if !state.awaits_quarantines() || state.table.borrow().engine(service).is_some() {
        return;
    }
    let started_at = Instant::now();
    while state.awaits_quarantines() {
        let _ = timeout(WAIT_POLL_INTERVAL, state.changes.notified()).await;
    }
    let is_known = state.has_quarantines.get();
    log_wait(Some(id), "quarantines", started_at, is_known);
}

/// Logs how long a request waited, for what, and whether that became available.
pub(super) fn log_wait(
    id: Option<&str>,
    waited_for: &str,
    started_at: Instant,
    is_available: bool,
) {
    let id = id.unwrap_or("-");
    let waited_ms = started_at.elapsed().as_millis();
    emit(
        EventId::RequestWaited,
        format_args!("request={id} for={waited_for} waited_ms={waited_ms} come={is_available}"),
    );
}
