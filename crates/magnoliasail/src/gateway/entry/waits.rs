//! Waits for processes that have only just started.
//!
//! What an entry or an agent learns within moments of its start is worth waiting for: a caller that
//! is refused may have no retry left.

use {
    super::state::EntryState,
    crate::events::{EventId, emit},
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// The longest time for which a request waits for what an entry that has started learns: callers give
/// up on a request that is not read within a second.
const LEARNING: Duration = Duration::from_millis(800);
/// Time between looks whether a request may still wait.
pub(super) const WAIT_POLL: Duration = Duration::from_millis(50);

/// Waits for an entry that has just started to learn its work, while the store answers; returns
/// whether it knows it.
pub(super) async fn learned(state: &EntryState, id: Option<&str>) -> bool {
    let begun_at = Instant::now();
    while !state.knows_its_work() && !state.is_store_lost.get() && begun_at.elapsed() < LEARNING {
        let _ = timeout(WAIT_POLL, state.changes.notified()).await;
    }
    let is_learned = state.knows_its_work();
    log_wait(id, "entry", begun_at, is_learned);
    is_learned
}

/// Logs how long a request waited, for what, and whether it came.
pub(super) fn log_wait(id: Option<&str>, waited_for: &str, begun_at: Instant, has_come: bool) {
    let id = id.unwrap_or("-");
    let waited_ms = begun_at.elapsed().as_millis();
    emit(
        EventId::RequestWaited,
        format_args!("request={id} for={waited_for} waited_ms={waited_ms} come={has_come}"),
    );
}
