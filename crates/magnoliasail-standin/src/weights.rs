//! Stand-in for the weight store, which limits its rate with a token bucket.
//!
//! A load takes `load_ms` while at most `full_speed` loads and at most `transit` loads are in
//! flight; beyond either limit it takes proportionally longer. Paths under `/v1/weights/` load;
//! every other path returns the numbers of loads and of rate-limited loads.

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
    /// Loads that the store allows per second on average; bursts reach up to `full_speed`.
    pub loads_per_s: f64,
    /// Number of concurrent loads that the store serves at full speed.
    pub full_speed: u64,
    /// Time that one load takes at full speed, in milliseconds.
    pub load_ms: u64,
    /// Number of loads in flight beyond which all of them slow down.
    pub transit: u64,
    /// Faults that are active at start-up.
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
struct TokenBucket {
    tokens: f64,
    updated_ms: u64,
}

/// A weight store that serves no content, only the time and the failures of loads.
#[derive(Debug)]
pub struct WeightsStandin {
    settings: WeightsSettings,
    faults: ActiveFaults,
    bucket: Mutex<TokenBucket>,
    in_flight: AtomicU64,
    loads: AtomicU64,
    refusals: AtomicU64,
}

impl WeightsStandin {
    /// Creates a store with a full token bucket.
    #[must_use]
    pub fn new(settings: WeightsSettings) -> Self {
        let bucket = TokenBucket {
            tokens: settings.full_speed as f64,
            updated_ms: now_ms(),
        };
        Self {
            faults: ActiveFaults::new(settings.faults.clone()),
            bucket: Mutex::new(bucket),
            in_flight: AtomicU64::new(0),
            loads: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            settings,
        }
    }

    /// Takes a token from the bucket; returns `false` if the rate limit is reached.
    fn take_token(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = now_ms();
        let elapsed_ms = now_ms.saturating_sub(bucket.updated_ms) as f64;
        let burst = self.settings.full_speed as f64;
        bucket.updated_ms = now_ms;
        bucket.tokens =
            (bucket.tokens + elapsed_ms / 1_000.0 * self.settings.loads_per_s).min(burst);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    async fn load(&self) -> Response<Body> {
        let number = self.loads.fetch_add(1, Ordering::SeqCst) + 1;
        let faults = self.faults.get();
        let failure_interval = faults.fail_one_load_in;
        let is_injected_failure = failure_interval > 0 && number.is_multiple_of(failure_interval);
        if faults.refuse || is_injected_failure {
            return json_response(StatusCode::INTERNAL_SERVER_ERROR, &"load failed");
        }
        if !self.take_token() {
            self.refusals.fetch_add(1, Ordering::SeqCst);
            return json_response(StatusCode::TOO_MANY_REQUESTS, &"rate limited");
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let store_slowdown = in_flight as f64 / self.settings.full_speed as f64;
        let transit_slowdown = in_flight as f64 / self.settings.transit as f64;
        let slowdown = store_slowdown.max(transit_slowdown).max(1.0);
        let load_ms = (self.settings.load_ms as f64 * slowdown) as u64;
        sleep(Duration::from_millis(load_ms)).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
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
