//! Reports and orders of a stand-in for a model engine.

use {
    super::{
        answers::text_response,
        backend_server::{ADAPTER_SLOTS, BackendServer, Body, MODEL},
        statements::VmKey,
    },
    http_body_util::BodyExt,
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::sleep,
};

/// The version that a load without one brings.
const FIRST_VERSION: u64 = 1;
const MODEL_LOAD_TIME: Duration = Duration::from_millis(200);

impl BackendServer {
    pub(super) fn report(&self) -> Response<Body> {
        let report = self.with(|state| {
            let resident: Vec<String> = state.adapters.names(true).collect();
            let coming = state.adapters.names(false);
            let loading: Vec<String> = coming.map(|name| format!("{MODEL}/{name}")).collect();
            let models = if state.has_model {
                json!([{"name": MODEL, "version": 1, "adapters": resident}])
            } else {
                json!([])
            };
            let status = if state.draining_since.is_some() {
                "draining"
            } else {
                "ready"
            };
            json!({"models": models, "coming": loading, "busy": false, "sequence": state.sequence,
                "waiting": 0, "running": 0, "kv_used": 0, "state": status,
                "born": state.incarnation})
        });
        text_response(StatusCode::OK, report.to_string())
    }

    pub(super) async fn handle_order(
        &self,
        request: Request<Incoming>,
        vm: VmKey,
    ) -> Response<Body> {
        self.check_statements(vm, "an order");
        if let Some(refusal) = self.pause_refusal(vm) {
            return refusal;
        }
        let Ok(body) = request.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, String::new());
        };
        let order: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        let status = self.with(|state| {
            let first_holder = state.holder.get_or_insert_with(|| holder.clone());
            if *first_holder != holder {
                let detail = format!(
                    "{} received orders from {first_holder} and from {holder}",
                    state.id
                );
                self.ledger.record_violation("one holder", detail);
            }
            if state.is_busy || order["precondition"].as_u64() != Some(state.sequence) {
                return StatusCode::CONFLICT;
            }
            state.sequence += 1;
            let Some(adapter) = order["adapter"].as_str() else {
                state.has_model = true;
                return StatusCode::ACCEPTED;
            };
            if order["operation"] == "unload" {
                return state.adapters.unload(adapter);
            }
            let version = order["version"].as_u64().unwrap_or(FIRST_VERSION);
            let held = state.adapters.load(adapter, version);
            if held > ADAPTER_SLOTS {
                let detail = format!("{} was ordered to hold {held} adapters", state.id);
                self.ledger.record_violation("adapter slots", detail);
            }
            StatusCode::ACCEPTED
        });
        if order["adapter"].is_null() {
            sleep(MODEL_LOAD_TIME).await;
        }
        text_response(status, "{}".to_owned())
    }
}
