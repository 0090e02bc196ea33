//! The worker `server` of an agent: sends requests and adapter loads to the local backend server.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        http::{HttpClient, HttpError, ResponseModel},
        queue::QueueSender,
        settings::AgentFile,
        supervisor::{Supervisor, run_async},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
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
/// Delay before an event is sent again to a full queue.
const QUEUE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Largest answer that is not a stream; the agent keeps no longer one for resumption either.
const MAX_ANSWER_BYTES: usize = 4 << 20;
const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// A command to the worker `server`.
#[derive(Debug)]
pub(super) enum ServerCommand {
    /// Sends a request to the server.
    Run { run: RunId, request: ServerRequest },
    /// Cancels a run, which then fails as cancelled.
    Cancel { run: RunId },
    /// Cancels every run without an event to the core.
    CancelAll,
    /// Loads an adapter, after unloading the one that it replaces.
    Load {
        slot: usize,
        generation: u64,
        adapter: AdapterRef,
        evicted: Option<AdapterRef>,
        fencing_token: u64,
    },
}

type CommandReceiver = Arc<Mutex<mpsc::Receiver<ServerCommand>>>;

/// Starts the worker `server`.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &AgentFile,
    queue: &QueueSender<Input>,
    commands: CommandReceiver,
) {
    let settings = settings.clone();
    let queue = queue.clone();
    supervisor.start("server", move || {
        let worker = ServerWorker {
            url: settings.server_url.clone().into(),
            load_timeout: Duration::from_millis(settings.load_timeout_ms),
            server_timeout: Duration::from_millis(settings.server_timeout_ms),
            health_interval: Duration::from_millis(settings.health_interval_ms),
            control_client: HttpClient::new(),
            request_client: Client::builder(TokioExecutor::new()).build_http(),
            queue: queue.clone(),
            epoch: Rc::default(),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(async {
            tokio::join!(worker.clone().watch_health(), worker.run_commands(commands));
        }));
    });
}

/// The health document of the backend server; the epoch changes when the server restarts.
#[derive(Debug, Deserialize)]
struct Health {
    epoch: u64,
}

#[derive(Clone)]
struct ServerWorker {
    url: Arc<str>,
    load_timeout: Duration,
    server_timeout: Duration,
    health_interval: Duration,
    control_client: HttpClient,
    request_client: Client<HttpConnector, Full<Bytes>>,
    queue: QueueSender<Input>,
    epoch: Rc<RefCell<Option<u64>>>,
}

impl ServerWorker {
    async fn run_commands(self, commands: CommandReceiver) {
        let mut runs: HashMap<RunId, JoinHandle<()>> = HashMap::new();
        let mut commands = commands.lock().await;
        while let Some(command) = commands.recv().await {
            runs.retain(|_, task| !task.is_finished());
            match command {
                ServerCommand::Run { run, request } => {
                    let task = spawn_local(self.clone().run_request(run, request));
                    runs.insert(run, task);
                }
                ServerCommand::Cancel { run } => {
                    if let Some(task) = runs.remove(&run) {
                        // Aborting the task drops the connection, which cancels the request at the
                        // server.
                        task.abort();
                    }
                    let failure = RunFailure::Cancelled;
                    self.send_event(AgentEvent::RunFailed { run, failure })
                        .await;
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
                    fencing_token,
                } => {
                    let worker = self.clone();
                    spawn_local(async move {
                        let event = worker
                            .load_adapter(slot, generation, &adapter, evicted, fencing_token)
                            .await;
                        worker.send_event(event).await;
                    });
                }
            }
        }
    }

    /// Sends an event to the core.
    ///
    /// Retries while the queue is full, because the core must not miss an event of the server.
    async fn send_event(&self, event: AgentEvent) {
        let mut input = Input::Event(event);
        while let Err(rejected) = self.queue.try_send(input) {
            input = rejected;
            sleep(QUEUE_RETRY_DELAY).await;
        }
    }

    async fn run_request(self, run: RunId, request: ServerRequest) {
        let Some(http_request) = self.build_request(&request) else {
            let failure = RunFailure::ServerError;
            self.send_event(AgentEvent::RunFailed { run, failure })
                .await;
            return;
        };
        let is_model = matches!(request.target, RequestTarget::Model { .. });
        let response = timeout(
            self.server_timeout,
            self.request_client.request(http_request),
        )
        .await;
        let result = match response {
            Ok(Ok(response)) => self.relay_response(run, is_model, response).await,
            // Only a failure to connect proves that nothing was sent.
            Ok(Err(error)) if error.is_connect() => Err(RunFailure::NotSent),
            Ok(Err(_)) | Err(_) => Err(RunFailure::ConnectionLost),
        };
        if let Err(failure) = result {
            if matches!(failure, RunFailure::ConnectionLost | RunFailure::NotSent) {
                self.check_health().await;
            }
            self.send_event(AgentEvent::RunFailed { run, failure })
                .await;
        }
    }

    /// Builds the HTTP request; returns `None` if its body, target or headers are invalid.
    fn build_request(&self, request: &ServerRequest) -> Option<Request<Full<Bytes>>> {
        let builder = Request::builder();
        match &request.target {
            RequestTarget::Model { adapter } => {
                let body = with_model(&request.body, &adapter.model())?;
                builder
                    .method("POST")
                    .uri(format!("{}/v1/chat/completions", self.url))
                    .header(CONTENT_TYPE, "application/json")
                    .header("x-priority", request.priority)
                    .body(Full::new(body))
                    .ok()
            }
            RequestTarget::Service {
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
                builder.body(Full::new(request.body.clone())).ok()
            }
        }
    }

    async fn relay_response(
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
            let body = self.read_body(response.into_body()).await?;
            return Err(model_run_failure(status, &body));
        }
        if is_model && content_type.starts_with(EVENT_STREAM_TYPE) {
            return self
                .relay_stream(run, content_type, response.into_body())
                .await;
        }
        let body = self.read_body(response.into_body()).await?;
        let model = if is_model {
            serde_json::from_slice::<ResponseModel>(&body)
                .map_err(|_| RunFailure::ServerError)?
                .model
        } else {
            String::new()
        };
        self.send_head(run, status, content_type, &model).await;
        self.send_event(AgentEvent::Chunk { run, data: body }).await;
        self.send_event(AgentEvent::End { run }).await;
        Ok(())
    }

    /// Relays a stream of events.
    ///
    /// The first event names the model; a stream is complete only if its last event is `[DONE]`.
    async fn relay_stream(
        &self,
        run: RunId,
        content_type: Arc<str>,
        mut body: Incoming,
    ) -> Result<(), RunFailure> {
        let mut has_started = false;
        let mut tail = Vec::new();
        while let Some(data) = self.next_chunk(&mut body).await? {
            if !has_started {
                let model = first_model(&data).ok_or(RunFailure::ServerError)?;
                self.send_head(run, StatusCode::OK, Arc::clone(&content_type), &model)
                    .await;
                has_started = true;
            }
            update_tail(&mut tail, &data);
            self.send_event(AgentEvent::Chunk { run, data }).await;
        }
        if !has_started || !tail.trim_ascii_end().ends_with(DONE_EVENT) {
            return Err(RunFailure::ConnectionLost);
        }
        self.send_event(AgentEvent::End { run }).await;
        Ok(())
    }

    async fn send_head(&self, run: RunId, status: StatusCode, content_type: Arc<str>, model: &str) {
        self.send_event(AgentEvent::Head {
            run,
            status: u32::from(status.as_u16()),
            content_type,
            model: model.into(),
        })
        .await;
    }

    async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, RunFailure> {
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

    async fn read_body(&self, body: Incoming) -> Result<Bytes, RunFailure> {
        let body = Limited::new(body, MAX_ANSWER_BYTES);
        let collected = timeout(self.server_timeout, body.collect()).await;
        match collected {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(_)) | Err(_) => Err(RunFailure::ConnectionLost),
        }
    }

    async fn load_adapter(
        &self,
        slot: usize,
        generation: u64,
        adapter: &AdapterRef,
        evicted: Option<AdapterRef>,
        fencing_token: u64,
    ) -> AgentEvent {
        if let Some(evicted) = evicted {
            let parameters = json!({ "lora_name": evicted.model(), "fencing": fencing_token });
            if let Err(error) = self.call_server("unload_lora_adapter", &parameters).await {
                return load_failed(slot, generation, &error);
            }
        }
        let parameters = json!({
            "lora_name": adapter.model(),
            "lora_path": adapter.digest,
            "fencing": fencing_token,
        });
        match self.call_server("load_lora_adapter", &parameters).await {
            Ok(_) => AgentEvent::Loaded { slot, generation },
            Err(error) => load_failed(slot, generation, &error),
        }
    }

    /// Calls a control endpoint of the server with JSON parameters.
    async fn call_server(&self, path: &str, parameters: &Value) -> Result<Bytes, HttpError> {
        let url = format!("{}/v1/{path}", self.url);
        let body = Bytes::from(parameters.to_string());
        self.control_client
            .post(&url, body, self.load_timeout)
            .await
    }

    async fn watch_health(self) {
        loop {
            self.check_health().await;
            sleep(self.health_interval).await;
        }
    }

    /// Reports to the core if the server has crashed or restarted since the last check.
    async fn check_health(&self) {
        let url = format!("{}/health", self.url);
        let epoch = match self
            .control_client
            .get::<Health>(&url, HEALTH_TIMEOUT)
            .await
        {
            Ok(health) => Some(health.epoch),
            Err(HttpError::Unreachable { .. }) => None,
            // A timeout or an unexpected response does not prove a restart.
            Err(_) => return,
        };
        let previous_epoch = self.epoch.replace(epoch);
        if previous_epoch.is_some() && previous_epoch != epoch {
            emit(EventId::ServerCrashed, format_args!("url={}", self.url));
            self.send_event(AgentEvent::ServerCrashed).await;
        }
    }
}

/// Returns a chat body with its `model` set to the exact name and version.
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
    let echo: ResponseModel = serde_json::from_str(event).ok()?;
    Some(echo.model)
}

/// Appends data to the tail of a stream and keeps its last bytes.
fn update_tail(tail: &mut Vec<u8>, data: &[u8]) {
    const TAIL_BYTES: usize = 32;
    tail.extend_from_slice(data);
    if tail.len() > TAIL_BYTES {
        tail.drain(..tail.len() - TAIL_BYTES);
    }
}

fn model_run_failure(status: StatusCode, body: &[u8]) -> RunFailure {
    let is_absent =
        status == StatusCode::NOT_FOUND && body.windows(12).any(|window| window == b"not_resident");
    if is_absent {
        RunFailure::NotResident
    } else {
        RunFailure::ServerError
    }
}

/// Logs a failed load and returns its event.
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
