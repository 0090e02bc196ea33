//! Stand-in for the platform's list of VMs, which is served with a configurable lag.
//!
//! `POST /admin/vms` replaces the list. Every other path returns it with the time of its state,
//! which the fault `lag_ms` moves into the past.

use {
    crate::{ActiveFaults, Body, Faults, Server, json_response, now_ms},
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Number of lists, the current one included, that are kept for the fault `lag_ms`.
const MAX_SNAPSHOTS: usize = 256;

/// Settings of a [`VmsStandin`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsSettings {
    /// Address to listen on.
    pub listen: String,
    /// The VMs that are listed at start-up, as JSON objects of the platform's list.
    pub vms: Vec<Value>,
    /// Faults that are active at start-up.
    pub faults: Faults,
}

impl Default for VmsSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            vms: Vec::new(),
            faults: Faults::default(),
        }
    }
}

/// The list as it was from a point in time on.
#[derive(Debug)]
struct Snapshot {
    valid_from_ms: u64,
    vms: Vec<Value>,
}

/// A list of VMs that is set by `POST /admin/vms` and read by `GET /v1/vms`.
#[derive(Debug)]
pub struct VmsStandin {
    faults: ActiveFaults,
    history: Mutex<VecDeque<Snapshot>>,
}

impl VmsStandin {
    /// Creates a list of the VMs in the settings.
    #[must_use]
    pub fn new(settings: VmsSettings) -> Self {
        let first = Snapshot {
            valid_from_ms: 0,
            vms: settings.vms,
        };
        Self {
            faults: ActiveFaults::new(settings.faults),
            history: Mutex::new(VecDeque::from([first])),
        }
    }

    /// Replaces the list from now on.
    pub fn set(&self, vms: Vec<Value>) {
        let mut history = self.lock_history();
        history.push_back(Snapshot {
            valid_from_ms: now_ms(),
            vms,
        });
        if history.len() > MAX_SNAPSHOTS {
            history.pop_front();
        }
    }

    fn lock_history(&self) -> MutexGuard<'_, VecDeque<Snapshot>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> Value {
        let as_of_ms = now_ms().saturating_sub(self.faults.get().lag_ms);
        let history = self.lock_history();
        let snapshot = history
            .iter()
            .rev()
            .find(|snapshot| snapshot.valid_from_ms <= as_of_ms)
            .or_else(|| history.front());
        json!({
            "as_of_ms": as_of_ms,
            "vms": snapshot.map(|snapshot| snapshot.vms.clone()).unwrap_or_default(),
        })
    }
}

impl Server for VmsStandin {
    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    async fn call(
        self: Arc<Self>,
        _method: String,
        path: String,
        request: Request<Bytes>,
    ) -> Response<Body> {
        if path == "/admin/vms" {
            return match serde_json::from_slice::<Vec<Value>>(request.body()) {
                Ok(vms) => {
                    self.set(vms);
                    json_response(StatusCode::OK, &"set")
                }
                Err(error) => json_response(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if self.faults.get().refuse {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &"down");
        }
        json_response(StatusCode::OK, &self.list())
    }
}
