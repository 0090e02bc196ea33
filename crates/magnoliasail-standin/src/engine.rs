//! Stand-in for a model engine with continuous batching and a few slots for LoRA adapters.
//!
//! Clients can check its responses: each token contains the model name, which gives the adapter and
//! the version that produced it, a hash of the request's messages and the token's index. The time
//! of a step grows with the number of running requests. `GET /health` and `GET /admin/state` return
//! the engine's state, and `POST /admin/restart` simulates a crash with an immediate restart.

use {
    crate::{ActiveFaults, Body, Faults, Server, json_response, now_ms},
    bytes::Bytes,
    http_body_util::{BodyExt, Empty, channel::Channel},
    hyper::{Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of tokens of a response to a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
const MAX_TOKENS: u64 = 4_096;

/// Settings of an [`EngineStandin`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: String,
    /// Base URL of the weight store; empty to load adapters without one.
    pub weights_url: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Time of one decoding step of a batch with a single request, in milliseconds.
    pub step_ms: f64,
    /// Time that each further request adds to a step, in milliseconds.
    pub step_per_request_ms: f64,
    /// Faults that are active at start-up.
    pub faults: Faults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            weights_url: String::new(),
            slots: 8,
            step_ms: 2.0,
            step_per_request_ms: 0.1,
            faults: Faults::default(),
        }
    }
}

/// An adapter that occupies a slot.
#[derive(Clone, Debug)]
struct ResidentAdapter {
    digest: String,
}

/// A model engine that loses its resident adapters at each simulated crash.
#[derive(Debug)]
pub struct EngineStandin {
    settings: EngineSettings,
    faults: ActiveFaults,
    residents: Mutex<BTreeMap<String, ResidentAdapter>>,
    running: AtomicU64,
    served: AtomicU64,
    crashes: AtomicU64,
    highest_fencing_token: AtomicU64,
    epoch: watch::Sender<u64>,
    down_until_ms: AtomicU64,
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// A parsed chat completion request.
struct CompletionRequest {
    model: String,
    is_stream: bool,
    token_count: u64,
    prompt_hash: u64,
}

impl CompletionRequest {
    fn parse(body: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let messages = value.get("messages")?.to_string();
        Some(Self {
            model: value.get("model")?.as_str()?.to_owned(),
            is_stream: value.get("stream").and_then(Value::as_bool) == Some(true),
            token_count: value
                .get("max_tokens")
                .and_then(Value::as_u64)
                .unwrap_or(DEFAULT_TOKENS)
                .min(MAX_TOKENS),
            prompt_hash: xxh3_64(messages.as_bytes()),
        })
    }

    fn token(&self, index: u64) -> String {
        format!("{}/{:016x}/{index} ", self.model, self.prompt_hash)
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<EngineStandin>);

impl RunningGuard {
    fn new(engine: &Arc<EngineStandin>) -> Self {
        engine.running.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(engine))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EngineStandin {
    /// Creates an engine without resident adapters.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            faults: ActiveFaults::new(settings.faults.clone()),
            residents: Mutex::new(BTreeMap::new()),
            running: AtomicU64::new(0),
            served: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            highest_fencing_token: AtomicU64::new(0),
            epoch: watch::Sender::new(now_ms()),
            down_until_ms: AtomicU64::new(0),
            client: Client::builder(TokioExecutor::new()).build_http(),
            settings,
        }
    }

    fn lock_residents(&self) -> MutexGuard<'_, BTreeMap<String, ResidentAdapter>> {
        self.residents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of one decoding step of the current batch.
    fn step_time(&self) -> Duration {
        let running = self.running.load(Ordering::SeqCst).saturating_sub(1) as f64;
        let step_ms = self.settings.step_ms + self.settings.step_per_request_ms * running;
        Duration::from_secs_f64(step_ms / 1_000.0)
    }

    /// Simulates a crash: unloads all adapters, closes all connections and stays down for
    /// `restart_ms`.
    fn crash(&self, restart_ms: u64) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.lock_residents().clear();
        self.down_until_ms
            .store(now_ms() + restart_ms, Ordering::SeqCst);
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    async fn complete(self: Arc<Self>, request: &Request<Bytes>) -> Response<Body> {
        let faults = self.faults.get();
        let Some(mut completion) = CompletionRequest::parse(request.body()) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request");
        };
        if !self.lock_residents().contains_key(&completion.model) {
            return error_response(StatusCode::NOT_FOUND, "not_resident");
        }
        let running = RunningGuard::new(&self);
        self.served.fetch_add(1, Ordering::SeqCst);
        if faults.is_crash_triggered_by(request.body()) {
            self.crash(faults.restart_ms);
            std::future::pending::<()>().await;
        }
        if faults.wrong_model {
            completion.model = "another@v0".to_owned();
        }
        if completion.is_stream {
            self.stream_response(running, completion, faults.truncate)
        } else {
            self.complete_response(running, &completion).await
        }
    }

    /// Answers a completion that is not streamed.
    async fn complete_response(
        &self,
        running: RunningGuard,
        completion: &CompletionRequest,
    ) -> Response<Body> {
        let mut content = String::new();
        for index in 0..completion.token_count {
            sleep(self.step_time()).await;
            content.push_str(&completion.token(index));
        }
        drop(running);
        let answer = json!({
            "id": "chatcmpl-standin",
            "object": "chat.completion",
            "created": now_ms() / 1_000,
            "model": completion.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": 1,
                "completion_tokens": completion.token_count,
                "total_tokens": completion.token_count + 1,
            },
        });
        json_response(StatusCode::OK, &answer)
    }

    fn stream_response(
        self: Arc<Self>,
        running: RunningGuard,
        completion: CompletionRequest,
        is_truncated: bool,
    ) -> Response<Body> {
        let (mut sender, body) = Channel::<Bytes, io::Error>::new(16);
        tokio::spawn(async move {
            for index in 0..completion.token_count {
                sleep(self.step_time()).await;
                let event = stream_event(&completion, Some(index));
                if sender.send_data(event).await.is_err() {
                    return;
                }
                if is_truncated {
                    sender.abort(io::Error::other("truncated"));
                    return;
                }
            }
            drop(running);
            let _ = sender.send_data(stream_event(&completion, None)).await;
            let _ = sender
                .send_data(Bytes::from_static(b"data: [DONE]\n\n"))
                .await;
        });
        let mut response = Response::new(body.boxed_unsync());
        response.headers_mut().insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    async fn load(&self, request: &Request<Bytes>) -> Response<Body> {
        let order: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let (Some(name), Some(digest)) = (
            order.get("lora_name").and_then(Value::as_str),
            order.get("lora_path").and_then(Value::as_str),
        ) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request");
        };
        if self.is_fenced(&order) {
            return error_response(StatusCode::CONFLICT, "fenced");
        }
        if self.faults.get().refuse {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        if let Err(response) = self.fetch_weights(name, digest).await {
            return response;
        }
        let mut residents = self.lock_residents();
        if !residents.contains_key(name) && residents.len() >= self.settings.slots {
            return error_response(StatusCode::CONFLICT, "slots_full");
        }
        let digest = digest.to_owned();
        residents.insert(name.to_owned(), ResidentAdapter { digest });
        json_response(StatusCode::OK, &"loaded")
    }

    /// Requests an adapter's weights from the weight store.
    async fn fetch_weights(&self, name: &str, digest: &str) -> Result<(), Response<Body>> {
        if self.settings.weights_url.is_empty() {
            return Ok(());
        }
        let url = format!("{}/v1/weights/{name}/{digest}", self.settings.weights_url);
        let uri = url
            .parse()
            .map_err(|_| error_response(StatusCode::BAD_REQUEST, "bad_request"))?;
        match self.client.get(uri).await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status() == StatusCode::TOO_MANY_REQUESTS => Err(
                error_response(StatusCode::SERVICE_UNAVAILABLE, "store_refused"),
            ),
            _ => Err(error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "load_failed",
            )),
        }
    }

    fn unload(&self, request: &Request<Bytes>) -> Response<Body> {
        let order: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        if self.is_fenced(&order) {
            return error_response(StatusCode::CONFLICT, "fenced");
        }
        if let Some(name) = order.get("lora_name").and_then(Value::as_str) {
            self.lock_residents().remove(name);
        }
        json_response(StatusCode::OK, &"unloaded")
    }

    /// Returns `true` if the fault `check_fencing` is set and the order's token is outdated.
    fn is_fenced(&self, order: &Value) -> bool {
        let Some(fencing_token) = order.get("fencing").and_then(Value::as_u64) else {
            return false;
        };
        let highest = self
            .highest_fencing_token
            .fetch_max(fencing_token, Ordering::SeqCst);
        self.faults.get().check_fencing && fencing_token < highest
    }

    fn state(&self) -> Response<Body> {
        let residents: BTreeMap<String, String> = self
            .lock_residents()
            .iter()
            .map(|(name, resident)| (name.clone(), resident.digest.clone()))
            .collect();
        let state = json!({
            "epoch": *self.epoch.borrow(),
            "running": self.running.load(Ordering::SeqCst),
            "served": self.served.load(Ordering::SeqCst),
            "crashes": self.crashes.load(Ordering::SeqCst),
            "highest_fencing": self.highest_fencing_token.load(Ordering::SeqCst),
            "residents": residents,
        });
        json_response(StatusCode::OK, &state)
    }
}

/// Returns a server-sent event with the token at `index`, or the final event for `None`.
fn stream_event(completion: &CompletionRequest, index: Option<u64>) -> Bytes {
    let delta = match index {
        Some(index) => json!({ "role": "assistant", "content": completion.token(index) }),
        None => json!({}),
    };
    let event = json!({
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "created": now_ms() / 1_000,
        "model": completion.model,
        "choices": [{
            "index": 0,
            "delta": delta,
            "finish_reason": index.map_or(json!("stop"), |_| Value::Null),
        }],
    });
    Bytes::from(format!("data: {event}\n\n"))
}

fn error_response(status: StatusCode, code: &str) -> Response<Body> {
    json_response(status, &json!({ "error": { "code": code } }))
}

impl Server for EngineStandin {
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
        _method: String,
        path: String,
        request: Request<Bytes>,
    ) -> Response<Body> {
        match path.as_str() {
            "/health" | "/admin/state" => self.state(),
            "/admin/restart" => {
                self.crash(0);
                json_response(StatusCode::OK, &"restarted")
            }
            "/v1/load_lora_adapter" => self.load(&request).await,
            "/v1/unload_lora_adapter" => self.unload(&request),
            "/v1/chat/completions" => self.complete(&request).await,
            _ => error_response(StatusCode::NOT_FOUND, "no_such_path"),
        }
    }
}
