//! A rate-limited weight store.
//!
//! A load takes `load_ms` while at most `full_speed` are served at once and at most `transit` are
//! under way; it takes proportionally longer beyond either.

use {
    crate::{ActiveFaults, Body, Faults, Server, json_response, now_ms},
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    serde::Deserialize,
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Settings of a [`WeightsStandin`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Address to listen on.
    pub listen: String,
    /// Loads that the store allows per second.
    pub loads_per_s: f64,
    /// Loads that it serves at full speed at once.
    pub full_speed: u64,
    /// Time of one load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Loads under way beyond which all slow down.
    pub transit: u64,
    /// Faults from the start.
    pub faults: Faults,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            loads_per_s: 7.0,
            full_speed: 3,
            load_ms: 250,
            transit: 25,
            faults: Faults::default(),
        }
    }
}

#[derive(Debug)]
struct Allowance {
    tokens: f64,
    updated_ms: u64,
}

/// A weight store.
#[derive(Debug)]
pub struct WeightsStandin {
    settings: WeightsSettings,
    faults: ActiveFaults,
    allowance: Mutex<Allowance>,
    under_way: AtomicU64,
    loads: AtomicU64,
    refusals: AtomicU64,
}

impl WeightsStandin {
    /// Creates a store.
    #[must_use]
    pub fn new(settings: WeightsSettings) -> Self {
        let allowance = Allowance {
            tokens: settings.full_speed as f64,
            updated_ms: now_ms(),
        };
        Self {
            faults: ActiveFaults::new(settings.faults.clone()),
            allowance: Mutex::new(allowance),
            under_way: AtomicU64::new(0),
            loads: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            settings,
        }
    }

    fn take(&self) -> bool {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now_ms = now_ms();
        let elapsed_ms = now_ms.saturating_sub(allowance.updated_ms) as f64;
        let burst = self.settings.full_speed as f64;
        allowance.updated_ms = now_ms;
        allowance.tokens =
            (allowance.tokens + elapsed_ms / 1_000.0 * self.settings.loads_per_s).min(burst);
        if allowance.tokens < 1.0 {
            return false;
        }
        allowance.tokens -= 1.0;
        true
    }

    async fn load(&self) -> Response<Body> {
        let number = self.loads.fetch_add(1, Ordering::SeqCst) + 1;
        let faults = self.faults.get();
        let fail_one_in = faults.fail_one_load_in;
        let is_unlucky = fail_one_in > 0 && number.is_multiple_of(fail_one_in);
        if faults.refuse || is_unlucky {
            return json_response(StatusCode::INTERNAL_SERVER_ERROR, &"load failed");
        }
        if !self.take() {
            self.refusals.fetch_add(1, Ordering::SeqCst);
            return json_response(StatusCode::TOO_MANY_REQUESTS, &"rate limited");
        }
        let under_way = self.under_way.fetch_add(1, Ordering::SeqCst) + 1;
        let by_store = under_way as f64 / self.settings.full_speed as f64;
        let by_transit = under_way as f64 / self.settings.transit as f64;
        let slowdown = by_store.max(by_transit).max(1.0);
        let load_ms = (self.settings.load_ms as f64 * slowdown) as u64;
        sleep(Duration::from_millis(load_ms)).await;
        self.under_way.fetch_sub(1, Ordering::SeqCst);
        json_response(StatusCode::OK, &"weights")
    }
}

impl Server for WeightsStandin {
    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    async fn call(
        self: Arc<Self>,
        _method: String,
        path: String,
        _request: Request<Bytes>,
    ) -> Response<Body> {
        if path.starts_with("/v1/weights/") {
            return self.load().await;
        }
        let counts = serde_json::json!({
            "loads": self.loads.load(Ordering::SeqCst),
            "refusals": self.refusals.load(Ordering::SeqCst),
        });
        json_response(StatusCode::OK, &counts)
    }
}
