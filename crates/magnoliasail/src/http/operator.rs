//! The HTTP interface for operators: state, metrics, health and readiness of a process.

use {
    super::{
        failure::text_response,
        listener::to_tokio_listener,
        server::{ServerLimits, serve},
    },
    crate::supervisor::{Supervisor, run_async},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{new_pipeline, single_pipeline},
        router::{
            Router,
            builder::{DefineSingleRoute, DrawRoutes, build_router},
        },
        state::{FromState, State, StateData},
    },
    hyper::{StatusCode, Uri},
    std::{net::TcpListener, panic::AssertUnwindSafe, sync::Arc},
    tokio::sync::{oneshot, watch},
};

const NO_ANSWER: &str = "the `decide` worker did not answer; check the logs for its restarts";

/// The functions of a process that the operators' interface calls.
pub(crate) trait OperatorApi: Send + Sync + 'static {
    /// Requests the state of the process, as JSON, from the `decide` worker.
    ///
    /// Returns `None` if the worker's queue is full.
    fn status(&self) -> Option<oneshot::Receiver<String>>;

    /// Requests an explanation, as JSON, of where a request for a model would be routed.
    ///
    /// Returns `None` if the worker's queue is full or the process routes no requests.
    fn explain(&self, model: &str) -> Option<oneshot::Receiver<String>>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;
}

struct Shared<A: OperatorApi>(AssertUnwindSafe<Arc<A>>);

impl<A: OperatorApi> StateData for Shared<A> {}

impl<A: OperatorApi> Clone for Shared<A> {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

/// Starts the worker that serves the interface until the process ends.
pub(crate) fn start_operator_server<A: OperatorApi>(
    supervisor: &Supervisor,
    api: A,
    listener: TcpListener,
) {
    let api = Arc::new(api);
    let (_, never_shutdown) = watch::channel(false);
    supervisor.start("operator", move || {
        let router = operator_router(Arc::clone(&api));
        run_async(async {
            let listener = to_tokio_listener(&listener);
            let limits = ServerLimits::default();
            serve(listener, router, limits, never_shutdown.clone(), || {}).await;
        });
    });
}

fn operator_router<A: OperatorApi>(api: Arc<A>) -> Router {
    let middleware = StateMiddleware::new(Shared(AssertUnwindSafe(api)));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
    build_router(chain, pipelines, |route| {
        route.get("/status").to_async(status::<A>);
        route.get("/explain").to_async(explain::<A>);
        route.get("/metrics").to_async(metrics::<A>);
        route.get("/healthz").to_async(health::<A>);
        route.get("/readyz").to_async(ready::<A>);
    })
}

fn api<A: OperatorApi>(state: &State) -> Arc<A> {
    Arc::clone(&Shared::<A>::borrow_from(state).0)
}

async fn json_response(state: State, answer: Option<oneshot::Receiver<String>>) -> HandlerResult {
    let text = match answer {
        Some(receiver) => receiver.await.ok(),
        None => None,
    };
    let response = match text {
        Some(text) => text_response(StatusCode::OK, "application/json", text),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", NO_ANSWER),
    };
    Ok((state, response))
}

async fn status<A: OperatorApi>(state: State) -> HandlerResult {
    let answer = api::<A>(&state).status();
    json_response(state, answer).await
}

async fn explain<A: OperatorApi>(state: State) -> HandlerResult {
    let query = Uri::borrow_from(&state).query().unwrap_or_default();
    let model = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("model="))
        .unwrap_or_default()
        .replace("%40", "@");
    let answer = api::<A>(&state).explain(&model);
    json_response(state, answer).await
}

async fn metrics<A: OperatorApi>(state: State) -> HandlerResult {
    let text = api::<A>(&state).metrics();
    let response = text_response(StatusCode::OK, "text/plain; version=0.0.4", text);
    Ok((state, response))
}

async fn health<A: OperatorApi>(state: State) -> HandlerResult {
    let is_alive = match api::<A>(&state).status() {
        Some(receiver) => receiver.await.is_ok(),
        None => false,
    };
    let response = if is_alive {
        text_response(StatusCode::OK, "text/plain", "ok\n")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", NO_ANSWER)
    };
    Ok((state, response))
}

async fn ready<A: OperatorApi>(state: State) -> HandlerResult {
    let response = if api::<A>(&state).is_ready() {
        text_response(StatusCode::OK, "text/plain", "ready\n")
    } else {
        text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "not ready: draining, or no table has been applied yet\n",
        )
    };
    Ok((state, response))
}
