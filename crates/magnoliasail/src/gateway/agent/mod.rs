//! The agent: the authority over the one model engine beside it.

mod engine;
mod entry_link;
mod operator_observer;
mod state;

use {
    self::{
        engine::watch_engine, entry_link::serve_entries, operator_observer::watch_operator_keys,
        state::AgentState,
    },
    super::{metrics::serve_metrics, sockets::listen},
    magnoliasail_platform::settings::NodeSettings,
    std::{rc::Rc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Time between looks whether the last request has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Serves entries until `draining` holds true and what is in progress is finished.
pub(super) async fn run(
    settings: Rc<NodeSettings>,
    mut draining: watch::Receiver<bool>,
) -> Result<(), String> {
    let backend = settings.backend_address.ok_or_else(|| {
        "the settings name no backend server; run the agent beside one".to_owned()
    })?;
    let address = format!("{}:{}", settings.ip, settings.first_internal_port);
    let listener = listen(&address).map_err(|error| error.to_string())?;
    let metrics = format!("{}:{}", settings.ip, settings.last_internal_port);
    let metrics = listen(&metrics).map_err(|error| error.to_string())?;
    let state = AgentState::new(settings, backend);
    tokio::task::spawn_local(serve_metrics(Rc::clone(&state.metrics), metrics));
    watch_operator_keys(&state);
    tokio::task::spawn_local(watch_engine(Rc::clone(&state)));
    let serving = tokio::task::spawn_local(serve_entries(Rc::clone(&state), listener));
    let _ = draining.wait_for(|&is_draining| is_draining).await;
    state.drain();
    while state.load() > 0 {
        sleep(DRAIN_POLL).await;
    }
    // The links carry the last answers.
    sleep(DRAIN_POLL).await;
    serving.abort();
    Ok(())
}
