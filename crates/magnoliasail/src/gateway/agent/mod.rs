//! Agent, which controls the model engine on its VM.
//!
//! It queues requests from entries, sends them to the engine, orders the engine to load and unload
//! models and adapters, and reports the engine's state to the entries.

mod active_request;
mod crashes;
mod engine;
mod entry_link;
mod fetches;
mod operator_observer;
mod origins;
mod outgoing;
mod pauses;
mod questions;
mod rates;
mod report_mark;
mod state;

use {
    self::{
        engine::{poll_engine_reports, report_engine_state},
        entry_link::serve_entries,
        operator_observer::watch_operator_keys,
        state::AgentState,
    },
    super::{metrics::serve_metrics, phase::Phase, sockets::listen},
    magnoliasail_platform::settings::NodeSettings,
    std::{rc::Rc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Time between checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves entries until the process drains and all requests have ended.
///
/// # Errors
///
/// Returns a message if the settings name no backend server, or if listening on an address fails.
pub(super) async fn run(
    settings: Rc<NodeSettings>,
    mut phase: watch::Receiver<Phase>,
) -> Result<(), String> {
    let backend = settings.backend_address.ok_or_else(|| {
        "the settings name no backend server; run the agent on a VM that has one".to_owned()
    })?;
    let address = format!("{}:{}", settings.ip, settings.first_internal_port);
    let listener = listen(&address).map_err(|error| error.to_string())?;
    let metrics = format!("{}:{}", settings.ip, settings.last_internal_port);
    let metrics = listen(&metrics).map_err(|error| error.to_string())?;
    let state = AgentState::new(settings, backend);
    tokio::task::spawn_local(serve_metrics(
        Rc::clone(&state.metrics),
        {
            let state = Rc::clone(&state);
            move || state.status()
        },
        metrics,
    ));
    watch_operator_keys(&state);
    tokio::task::spawn_local(poll_engine_reports(Rc::clone(&state)));
    tokio::task::spawn_local(report_engine_state(Rc::clone(&state)));
    let serving = tokio::task::spawn_local(serve_entries(Rc::clone(&state), listener));
    Phase::Draining.reached(&mut phase).await;
    state.drain();
    while state.load() > 0 {
        if *phase.borrow() == Phase::Stopping {
            state.refuse_waiting();
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Gives the links time to send the last responses.
    sleep(DRAIN_POLL_INTERVAL).await;
    serving.abort();
    Ok(())
}
