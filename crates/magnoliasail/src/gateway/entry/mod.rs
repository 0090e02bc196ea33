//! The entry: takes requests from callers and sees each to its answer.

mod answer_body;
mod attempt;
mod callers;
mod dispatch;
mod engine_link;
mod in_flight;
mod refusal;
mod relay;
mod request;
mod state;
mod views;
mod waits;

use {
    self::{callers::serve_callers, state::EntryState, views::start_views},
    super::{metrics::serve_metrics, sockets::listen},
    magnoliasail_platform::settings::NodeSettings,
    std::rc::Rc,
    tokio::sync::watch,
};

/// Serves callers until `draining` holds true and what is in progress is finished.
pub(super) async fn run(
    settings: Rc<NodeSettings>,
    draining: watch::Receiver<bool>,
) -> Result<(), String> {
    let missing = || "the settings name no address for callers; give the role `serves`".to_owned();
    let callers = settings.caller_address.as_deref().ok_or_else(missing)?;
    let readiness = settings.readiness_address.as_deref().ok_or_else(missing)?;
    let callers = listen(callers).map_err(|error| error.to_string())?;
    let readiness = listen(readiness).map_err(|error| error.to_string())?;
    let metrics = format!("{}:{}", settings.ip, settings.last_internal_port);
    let metrics = listen(&metrics).map_err(|error| error.to_string())?;
    let state = EntryState::new(settings, draining.clone());
    tokio::task::spawn_local(serve_metrics(Rc::clone(&state.metrics), metrics));
    start_views(&state);
    tokio::task::spawn_local(callers::serve_readiness(Rc::clone(&state), readiness));
    serve_callers(state, callers, draining).await;
    Ok(())
}
