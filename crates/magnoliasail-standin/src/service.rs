//! Stand-in for a plain HTTP service, which counts how often each idempotency key has run.
//!
//! `GET /health` returns the epoch, which changes at each simulated crash, and `GET /admin/runs`
//! returns the counts. Every other path is answered with a description of the request.

use {
    crate::{ActiveFaults, Body, Faults, Server, json_response, now_ms},
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// Settings of a [`ServiceStandin`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: String,
    /// Time that one request takes, in milliseconds.
    pub service_ms: u64,
    /// Faults that are active at start-up.
    pub faults: Faults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            service_ms: 5,
            faults: Faults::default(),
        }
    }
}

/// A plain HTTP service that runs every request it accepts.
#[derive(Debug)]
pub struct ServiceStandin {
    settings: ServiceSettings,
    faults: ActiveFaults,
    runs: Mutex<BTreeMap<String, u64>>,
    highest_fencing_token: AtomicU64,
    epoch: watch::Sender<u64>,
    down_until_ms: AtomicU64,
}

impl ServiceStandin {
    /// Creates a service that has run nothing yet.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        Self {
            faults: ActiveFaults::new(settings.faults.clone()),
            runs: Mutex::new(BTreeMap::new()),
            highest_fencing_token: AtomicU64::new(0),
            epoch: watch::Sender::new(now_ms()),
            down_until_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns how often each idempotency key has run; requests without a key count under `""`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts a run of an idempotency key and returns the new count.
    fn count_run(&self, key: &str) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns `true` if the fault `check_fencing` is set and the request's token is outdated.
    fn is_fenced(&self, request: &Request<Bytes>) -> bool {
        let Some(token) = header_text(request, "x-fencing-token").parse::<u64>().ok() else {
            return false;
        };
        let highest = self
            .highest_fencing_token
            .fetch_max(token, Ordering::SeqCst);
        self.faults.get().check_fencing && token < highest
    }

    /// Simulates a crash: closes all connections and stays down for `restart_ms`.
    fn crash(&self, restart_ms: u64) {
        self.down_until_ms
            .store(now_ms() + restart_ms, Ordering::SeqCst);
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

/// Returns the value of a header, or an empty text if it is missing or not valid ASCII.
fn header_text<'r>(request: &'r Request<Bytes>, name: &str) -> &'r str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

impl Server for ServiceStandin {
    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    fn is_down(&self) -> bool {
        now_ms() < self.down_until_ms.load(Ordering::SeqCst)
    }

    async fn crashed(&self) {
        let _ = self.epoch.subscribe().changed().await;
    }

    async fn call(
        self: Arc<Self>,
        method: String,
        path: String,
        request: Request<Bytes>,
    ) -> Response<Body> {
        match path.as_str() {
            "/health" => {
                let epoch = *self.epoch.borrow();
                return json_response(StatusCode::OK, &json!({ "epoch": epoch }));
            }
            "/admin/runs" => return json_response(StatusCode::OK, &self.runs()),
            _ => {}
        }
        let faults = self.faults.get();
        if faults.refuse {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &"down");
        }
        if self.is_fenced(&request) {
            return json_response(StatusCode::CONFLICT, &"fenced");
        }
        let key = header_text(&request, "idempotency-key").to_owned();
        let run_count = self.count_run(&key);
        if faults.is_crash_triggered_by(request.body()) {
            self.crash(faults.restart_ms);
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(self.settings.service_ms)).await;
        let answer = json!({
            "method": method,
            "path": path,
            "key": key,
            "run": run_count,
            "bytes": request.body().len(),
        });
        json_response(StatusCode::OK, &answer)
    }
}
