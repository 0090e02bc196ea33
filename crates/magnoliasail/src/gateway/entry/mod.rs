//! The entry: accepts requests from callers and relays them to backend servers.
//!
//! A request is matched to a route and sent to a server of the route's service: to a model engine
//! over the link to its agent, or to a plain server over a pooled connection. An attempt that fails
//! is repeated at another server where that is safe, within the service's retry budget. A response
//! that is not a stream is read completely before the caller gets it, so that it can be replaced by
//! that of another attempt; a stream is relayed event by event, and a resumable one continues at
//! another server if its server fails.

mod attempt;
mod buffered_body;
mod caller_connection;
mod callers;
mod collected_response;
mod configuration_copies;
mod connection_activity;
mod dispatch;
mod dispatch_log;
mod end_check;
mod engine_link;
mod fetch_permits;
mod grant_view;
mod in_flight;
mod link_notice;
mod observed_body;
mod observed_stream;
mod origin_lookup;
mod past_versions;
mod quarantine;
mod questions;
mod quota;
mod quota_charge;
mod refusal;
mod relay;
mod request;
mod response_body;
mod retries;
mod send_permit;
mod startup_wait;
mod state;
mod status;
mod store_observer;
mod stream_origin;
mod takeover;
mod version_reports;

use {
    self::{
        callers::serve_callers,
        configuration_copies::ask_for_configurations,
        link_notice::{NOTICE_QUEUE_CAPACITY, follow_link_notices},
        state::EntryState,
        store_observer::follow_store,
    },
    super::{metrics::serve_metrics, phase::Phase, sockets::listen},
    magnoliasail_platform::settings::NodeSettings,
    std::rc::Rc,
    tokio::sync::{mpsc, watch},
};

/// Serves callers until the process drains and the requests in progress have finished.
///
/// # Errors
///
/// Returns a message if the settings lack an address or one cannot be listened on.
pub(super) async fn run(
    settings: Rc<NodeSettings>,
    phase: watch::Receiver<Phase>,
) -> Result<(), String> {
    let missing =
        || "the settings name no address for callers; set `serves` for this role".to_owned();
    let callers = settings.caller_address.as_deref().ok_or_else(missing)?;
    let readiness = settings.readiness_address.as_deref().ok_or_else(missing)?;
    let callers = listen(callers).map_err(|error| error.to_string())?;
    let readiness = listen(readiness).map_err(|error| error.to_string())?;
    let metrics = format!("{}:{}", settings.ip, settings.last_internal_port);
    let metrics = listen(&metrics).map_err(|error| error.to_string())?;
    let (link_notices, received_notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let state = EntryState::new(settings, phase.clone(), link_notices);
    tokio::task::spawn_local(follow_link_notices(Rc::clone(&state), received_notices));
    tokio::task::spawn_local(ask_for_configurations(Rc::clone(&state)));
    tokio::task::spawn_local(serve_metrics(
        Rc::clone(&state.metrics),
        {
            let state = Rc::clone(&state);
            move || state.status()
        },
        metrics,
    ));
    follow_store(&state);
    tokio::task::spawn_local(callers::serve_readiness(Rc::clone(&state), readiness));
    serve_callers(state, callers, phase).await;
    Ok(())
}
