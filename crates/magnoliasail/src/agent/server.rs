//! The server duty of an agent: hands requests and loads to the backend server beside it.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        http::{HttpClient, HttpError, ModelEcho},
        queue::QueueSender,
        settings::AgentFile,
        supervisor::{Supervisor, run_async},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    magnoliasail_core::{
        AdapterRef, AgentEvent,
        agent::{RequestTarget, RunFailure, RunId, ServerRequest},
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, mpsc},
        task::{JoinHandle, LocalSet, spawn_local},
        time::{sleep, timeout},
    },
};

const HEALTH_TIMEOUT: Duration = Duration::from_millis(1_000);
const RING_PAUSE: Duration = Duration::from_millis(1);
const EVENT_STREAM: &str = "text/event-stream";
const LAST_EVENT: &[u8] = b"data: [DONE]";

/// A command to the server duty.
#[derive(Debug)]
pub(super) enum ServerCommand {
    /// Hands a request to the server.
    Run { run: RunId, order: ServerRequest },
    /// Cancels a request.
    Cancel { run: RunId },
    /// Cancels every request.
    CancelAll,
    /// Loads an adapter.
    Load {
        slot: usize,
        generation: u64,
        adapter: AdapterRef,
        evicted: Option<AdapterRef>,
        fencing: u64,
    },
}

type CommandReader = Arc<Mutex<mpsc::Receiver<ServerCommand>>>;

/// Starts the server duty.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &AgentFile,
    ring: &QueueSender<Input>,
    commands: CommandReader,
) {
    let settings = settings.clone();
    let ring = ring.clone();
    supervisor.start("server", move || {
        let server = Server {
            url: settings.server_url.clone().into(),
            load_timeout: Duration::from_millis(settings.load_timeout_ms),
            server_timeout: Duration::from_millis(settings.server_timeout_ms),
            health_interval: Duration::from_millis(settings.health_interval_ms),
            http: HttpClient::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            ring: ring.clone(),
            epoch: Rc::default(),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(async {
            tokio::join!(server.clone().watch_health(), server.run(commands));
        }));
    });
}

#[derive(Debug, Deserialize)]
struct Health {
    epoch: u64,
}

#[derive(Clone)]
struct Server {
    url: Arc<str>,
    load_timeout: Duration,
    server_timeout: Duration,
    health_interval: Duration,
    http: HttpClient,
    client: Client<HttpConnector, Full<Bytes>>,
    ring: QueueSender<Input>,
    epoch: Rc<RefCell<Option<u64>>>,
}

impl Server {
    async fn run(self, commands: CommandReader) {
        let mut runs: HashMap<RunId, JoinHandle<()>> = HashMap::new();
        let mut commands = commands.lock().await;
        while let Some(command) = commands.recv().await {
            runs.retain(|_, task| !task.is_finished());
            match command {
                ServerCommand::Run { run, order } => {
                    let task = spawn_local(self.clone().run_order(run, order));
                    runs.insert(run, task);
                }
                ServerCommand::Cancel { run } => {
                    if let Some(task) = runs.remove(&run) {
                        // Dropping the connection is how the server learns of it.
                        task.abort();
                    }
                    let failure = RunFailure::Cancelled;
                    self.tell(AgentEvent::RunFailed { run, failure }).await;
                }
                ServerCommand::CancelAll => {
                    for (_, task) in runs.drain() {
                        task.abort();
                    }
                }
                ServerCommand::Load {
                    slot,
                    generation,
                    adapter,
                    evicted,
                    fencing,
                } => {
                    let server = self.clone();
                    spawn_local(async move {
                        let event = server
                            .load(slot, generation, &adapter, evicted, fencing)
                            .await;
                        server.tell(event).await;
                    });
                }
            }
        }
    }

    /// Tells the deciding duty; an event of the server must not be lost.
    async fn tell(&self, event: AgentEvent) {
        let mut input = Input::Event(event);
        while let Err(rejected) = self.ring.try_send(input) {
            input = rejected;
            sleep(RING_PAUSE).await;
        }
    }

    async fn run_order(self, run: RunId, order: ServerRequest) {
        let Some(request) = self.request(&order) else {
            let failure = RunFailure::ServerError;
            self.tell(AgentEvent::RunFailed { run, failure }).await;
            return;
        };
        let is_model = matches!(order.target, RequestTarget::Model { .. });
        let sent = timeout(self.server_timeout, self.client.request(request)).await;
        let result = match sent {
            Ok(Ok(response)) => self.relay(run, is_model, response).await,
            // Only a connection that was never made proves that nothing was sent.
            Ok(Err(error)) if error.is_connect() => Err(RunFailure::NotSent),
            Ok(Err(_)) | Err(_) => Err(RunFailure::ConnectionLost),
        };
        if let Err(failure) = result {
            if matches!(failure, RunFailure::ConnectionLost | RunFailure::NotSent) {
                self.check_health().await;
            }
            self.tell(AgentEvent::RunFailed { run, failure }).await;
        }
    }

    fn request(&self, order: &ServerRequest) -> Option<Request<Full<Bytes>>> {
        let builder = Request::builder();
        match &order.target {
            RequestTarget::Model { adapter } => {
                let body = with_model(&order.body, &adapter.model())?;
                builder
                    .method("POST")
                    .uri(format!("{}/v1/chat/completions", self.url))
                    .header(CONTENT_TYPE, "application/json")
                    .header("x-priority", order.priority)
                    .body(Full::new(body))
                    .ok()
            }
            RequestTarget::Call {
                method,
                path,
                content_type,
                key,
                fencing_token,
            } => {
                let mut builder = builder
                    .method(&**method)
                    .uri(format!("{}{path}", self.url))
                    .header(CONTENT_TYPE, &**content_type);
                if !key.is_empty() {
                    builder = builder
                        .header("idempotency-key", &**key)
                        .header("x-fencing-token", *fencing_token);
                }
                builder.body(Full::new(order.body.clone())).ok()
            }
        }
    }

    async fn relay(
        &self,
        run: RunId,
        is_model: bool,
        response: Response<Incoming>,
    ) -> Result<(), RunFailure> {
        let status = response.status();
        let content_type: Arc<str> = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .into();
        if is_model && !status.is_success() {
            let body = self.rest(response.into_body()).await?;
            return Err(model_failure(status, &body));
        }
        if is_model && content_type.starts_with(EVENT_STREAM) {
            return self
                .relay_stream(run, content_type, response.into_body())
                .await;
        }
        let body = self.rest(response.into_body()).await?;
        let model = if is_model {
            serde_json::from_slice::<ModelEcho>(&body)
                .map_err(|_| RunFailure::ServerError)?
                .model
        } else {
            String::new()
        };
        self.head(run, status, content_type, &model).await;
        self.tell(AgentEvent::Chunk { run, data: body }).await;
        self.tell(AgentEvent::End { run }).await;
        Ok(())
    }

    /// Relays a stream; the first event names the model, the last says that it is whole.
    async fn relay_stream(
        &self,
        run: RunId,
        content_type: Arc<str>,
        mut body: Incoming,
    ) -> Result<(), RunFailure> {
        let mut is_started = false;
        let mut tail = Vec::new();
        while let Some(data) = self.next_part(&mut body).await? {
            if !is_started {
                let model = first_model(&data).ok_or(RunFailure::ServerError)?;
                self.head(run, StatusCode::OK, Arc::clone(&content_type), &model)
                    .await;
                is_started = true;
            }
            keep_tail(&mut tail, &data);
            self.tell(AgentEvent::Chunk { run, data }).await;
        }
        if !is_started || !tail.trim_ascii_end().ends_with(LAST_EVENT) {
            return Err(RunFailure::ConnectionLost);
        }
        self.tell(AgentEvent::End { run }).await;
        Ok(())
    }

    async fn head(&self, run: RunId, status: StatusCode, content_type: Arc<str>, model: &str) {
        self.tell(AgentEvent::Head {
            run,
            status: u32::from(status.as_u16()),
            content_type,
            model: model.into(),
        })
        .await;
    }

    async fn next_part(&self, body: &mut Incoming) -> Result<Option<Bytes>, RunFailure> {
        loop {
            let frame = timeout(self.server_timeout, body.frame())
                .await
                .map_err(|_| RunFailure::ConnectionLost)?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|_| RunFailure::ConnectionLost)?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    async fn rest(&self, body: Incoming) -> Result<Bytes, RunFailure> {
        let collected = timeout(self.server_timeout, body.collect()).await;
        match collected {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(_)) | Err(_) => Err(RunFailure::ConnectionLost),
        }
    }

    async fn load(
        &self,
        slot: usize,
        generation: u64,
        adapter: &AdapterRef,
        evicted: Option<AdapterRef>,
        fencing: u64,
    ) -> AgentEvent {
        if let Some(evicted) = evicted {
            let order = json!({ "lora_name": evicted.model(), "fencing": fencing });
            if let Err(error) = self.order("unload_lora_adapter", &order).await {
                return load_failed(slot, generation, &error);
            }
        }
        let order = json!({
            "lora_name": adapter.model(),
            "lora_path": adapter.digest,
            "fencing": fencing,
        });
        match self.order("load_lora_adapter", &order).await {
            Ok(_) => AgentEvent::Loaded { slot, generation },
            Err(error) => load_failed(slot, generation, &error),
        }
    }

    async fn order(&self, path: &str, order: &Value) -> Result<Bytes, HttpError> {
        let url = format!("{}/v1/{path}", self.url);
        let body = Bytes::from(order.to_string());
        self.http.post(&url, body, self.load_timeout).await
    }

    async fn watch_health(self) {
        loop {
            self.check_health().await;
            sleep(self.health_interval).await;
        }
    }

    /// Tells the deciding duty when the server has crashed or restarted.
    async fn check_health(&self) {
        let url = format!("{}/health", self.url);
        let epoch = match self.http.get::<Health>(&url, HEALTH_TIMEOUT).await {
            Ok(health) => Some(health.epoch),
            Err(HttpError::Unreachable { .. }) => None,
            // A server that is slow or answers otherwise is not known to have restarted.
            Err(_) => return,
        };
        let known = self.epoch.replace(epoch);
        if known.is_some() && known != epoch {
            emit(EventId::ServerCrashed, format_args!("url={}", self.url));
            self.tell(AgentEvent::ServerCrashed).await;
        }
    }
}

/// Returns a chat body that names the exact model.
fn with_model(body: &[u8], model: &str) -> Option<Bytes> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    value
        .as_object_mut()?
        .insert("model".to_owned(), Value::from(model));
    Some(value.to_string().into())
}

/// Returns the model that the first event of a stream names.
fn first_model(data: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(data).ok()?;
    let event = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    let echo: ModelEcho = serde_json::from_str(event).ok()?;
    Some(echo.model)
}

fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    const TAIL_BYTES: usize = 32;
    tail.extend_from_slice(data);
    if tail.len() > TAIL_BYTES {
        tail.drain(..tail.len() - TAIL_BYTES);
    }
}

fn model_failure(status: StatusCode, body: &[u8]) -> RunFailure {
    let is_absent =
        status == StatusCode::NOT_FOUND && body.windows(12).any(|part| part == b"not_resident");
    if is_absent {
        RunFailure::NotResident
    } else {
        RunFailure::ServerError
    }
}

fn load_failed(slot: usize, generation: u64, error: &HttpError) -> AgentEvent {
    let (mut is_store_refusal, mut is_fenced) = (false, false);
    if let HttpError::Status { body, .. } = error {
        is_store_refusal = body.contains("store_refused");
        is_fenced = body.contains("fenced");
    }
    let event = if is_fenced {
        EventId::OrderFenced
    } else {
        EventId::LoadFailed
    };
    emit(event, error);
    AgentEvent::LoadFailed {
        slot,
        generation,
        is_store_refusal,
    }
}
