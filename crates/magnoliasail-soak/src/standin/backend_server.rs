//! A stand-in of a backend server: a model engine or a plain server, with faults.

use {
    crate::ledger::Ledger,
    bytes::Bytes,
    http_body_util::{BodyExt, combinators::BoxBody},
    hyper::{
        HeaderMap, Request, Response, StatusCode, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    magnoliasail_wire::stream_body,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::AbortHandle, time::sleep},
};

/// The base model of the stand-ins.
const MODEL: &str = "base";
const ADAPTER_SLOTS: usize = 4;
const LOAD_TIME: Duration = Duration::from_millis(30);
const MODEL_LOAD_TIME: Duration = Duration::from_millis(200);
const EVENT_GAP: Duration = Duration::from_millis(8);
/// Events that may wait to be sent.
const WAITING_EVENTS: usize = 4;
const PLAIN_TIME: Duration = Duration::from_millis(10);
/// Time for which a leaving server may still get new work.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine, whose answers are streams.
    Engine,
    /// A plain server.
    Plain,
}

/// Shares of requests that a server treats badly.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Answered 500 after they ran.
    pub error_share: f64,
    /// Broken off in the middle of an answer.
    pub aborted_share: f64,
    /// Run, and never answered.
    pub unanswered_share: f64,
    /// Refused with proof that they have not run.
    pub refused_share: f64,
    /// Time by which every plain answer is late, in milliseconds.
    pub delay_ms: u64,
    /// Idle time after which a connection is forgotten, in milliseconds; 0 for never.
    pub idle_timeout_ms: u64,
}

#[derive(Debug)]
struct State {
    id: String,
    born: u64,
    has_model: bool,
    sequence: u64,
    adapters: BTreeMap<String, Instant>,
    faults: ServerFaults,
    draining_since: Option<Instant>,
    holder: Option<String>,
    random: SmallRng,
}

/// A stand-in of a backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    kind: ServerKind,
    address: SocketAddr,
    ledger: Ledger,
    state: Arc<Mutex<State>>,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

type Body = BoxBody<Bytes, io::Error>;

impl BackendServer {
    /// Creates a server that does not listen yet.
    #[must_use]
    pub fn new(kind: ServerKind, address: SocketAddr, seed: u64, ledger: Ledger) -> Self {
        let state = State {
            id: format!("i-{seed:x}-1"),
            born: 1,
            has_model: true,
            sequence: 0,
            adapters: BTreeMap::new(),
            faults: ServerFaults::default(),
            draining_since: None,
            holder: None,
            random: SmallRng::seed_from_u64(seed),
        };
        Self {
            kind,
            address,
            ledger,
            state: Arc::new(Mutex::new(state)),
            tasks: Arc::default(),
        }
    }

    /// Listens and serves.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(&self) -> io::Result<()> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(256)?;
        let server = self.clone();
        let accepting = tokio::spawn(async move { server.accept(listener).await });
        self.keep(accepting.abort_handle());
        Ok(())
    }

    /// Ends the server at once, with all that it runs; it holds nothing when it starts again.
    pub fn crash(&self) {
        for task in self
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain(..)
        {
            task.abort();
        }
        self.with(|state| {
            state.born += 1;
            let name = state
                .id
                .rsplit_once('-')
                .map_or("i", |(name, _)| name)
                .to_owned();
            state.id = format!("{name}-{}", state.born);
            state.has_model = false;
            state.sequence = 0;
            state.adapters.clear();
            state.draining_since = None;
            state.holder = None;
        });
    }

    /// Sets what the server treats badly.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.with(|state| state.faults = faults);
    }

    /// Marks the server as leaving, or as staying.
    pub fn set_draining(&self, is_draining: bool) {
        self.with(|state| state.draining_since = is_draining.then(Instant::now));
    }

    /// Returns the key and the value of the server's entry in the store.
    #[must_use]
    pub fn store_entry(
        &self,
        address: SocketAddr,
        service: &str,
        data_centre: &str,
    ) -> (String, Value) {
        self.with(|state| {
            let models = if self.kind == ServerKind::Engine {
                json!([{"name": MODEL, "version": 1, "adapters": []}])
            } else {
                json!([])
            };
            let status = if state.draining_since.is_some() { "draining" } else { "ready" };
            let value = json!({"service": service, "address": address.to_string(), "zone": data_centre,
                "version": "v1", "slots": 8, "state": status, "cold_remaining_ms": 0,
                "models": models, "sequence": state.sequence, "born": state.born});
            (format!("servers/{}", state.id), value)
        })
    }

    /// Returns the engine's part of a service in the configuration.
    #[must_use]
    pub fn engine_limits() -> Value {
        json!({"slots": 8, "kv_capacity_tokens": 100_000, "weights_mb": 1_000.0, "adapter_slots": ADAPTER_SLOTS,
            "loads_per_s": 10.0, "models": [{"name": MODEL, "weights_mb": 900.0, "load_time_s": 0.2,
            "adapters": 100, "adapter_mb": 1.0}]})
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn keep(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let used_at = Arc::new(Mutex::new(Instant::now()));
            let service = service_fn(move |request| {
                let is_forgotten = server.is_forgotten(&used_at);
                let server = server.clone();
                let used_at = Arc::clone(&used_at);
                async move {
                    if is_forgotten {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                    let answer = server.answer(request).await;
                    *used_at.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
                    answer
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            self.keep(task.abort_handle());
        }
    }

    /// Tells whether a connection that was last used then has been forgotten.
    fn is_forgotten(&self, used_at: &Mutex<Instant>) -> bool {
        let idle_timeout_ms = self.with(|state| state.faults.idle_timeout_ms);
        let used_at = *used_at.lock().unwrap_or_else(PoisonError::into_inner);
        idle_timeout_ms > 0 && used_at.elapsed() > Duration::from_millis(idle_timeout_ms)
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, io::Error> {
        match request.uri().path() {
            "/report" => Ok(self.report()),
            "/order" => Ok(self.order(request).await),
            _ => self.run(request).await,
        }
    }

    fn report(&self) -> Response<Body> {
        let report = self.with(|state| {
            let now = Instant::now();
            let held: Vec<String> = state
                .adapters
                .iter()
                .filter(|(_, ready)| **ready <= now)
                .map(|(name, _)| format!("{name}@1"))
                .collect();
            let arriving: Vec<String> = state
                .adapters
                .iter()
                .filter(|(_, ready)| **ready > now)
                .map(|(name, _)| format!("{MODEL}/{name}@1"))
                .collect();
            let models = if state.has_model {
                json!([{"name": MODEL, "version": 1, "adapters": held}])
            } else {
                json!([])
            };
            let status = if state.draining_since.is_some() {
                "draining"
            } else {
                "ready"
            };
            json!({"models": models, "coming": arriving, "busy": false, "sequence": state.sequence,
                "waiting": 0, "running": 0, "kv_used": 0, "state": status, "born": state.born})
        });
        whole(StatusCode::OK, report.to_string())
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return whole(StatusCode::BAD_REQUEST, String::new());
        };
        let order: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        let status = self.with(|state| {
            let known = state.holder.get_or_insert_with(|| holder.clone());
            if *known != holder {
                let detail = format!("{} had orders of {known} and {holder}", state.id);
                self.ledger.record_violation("one holder", detail);
            }
            if order["precondition"].as_u64() != Some(state.sequence) {
                return StatusCode::CONFLICT;
            }
            state.sequence += 1;
            let Some(adapter) = order["adapter"].as_str() else {
                state.has_model = true;
                return StatusCode::ACCEPTED;
            };
            if order["operation"] == "unload" {
                state.adapters.remove(adapter);
                return StatusCode::OK;
            }
            state
                .adapters
                .insert(adapter.to_owned(), Instant::now() + LOAD_TIME);
            if state.adapters.len() > ADAPTER_SLOTS {
                let detail = format!(
                    "{} was told to hold {} adapters",
                    state.id,
                    state.adapters.len()
                );
                self.ledger.record_violation("adapter slots", detail);
            }
            StatusCode::ACCEPTED
        });
        if order["adapter"].is_null() {
            sleep(MODEL_LOAD_TIME).await;
        }
        whole(status, "{}".to_owned())
    }

    async fn run(self, request: Request<Incoming>) -> Result<Response<Body>, io::Error> {
        let headers = request.headers().clone();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("request-id").unwrap_or_default().to_owned();
        if let Some(refusal) = self.refusal(&headers) {
            return Ok(refusal);
        }
        self.check_drain(&id);
        let server = self.with(|state| state.id.clone());
        self.ledger.record_run(&id, &server);
        let (faults, draw) = self.with(|state| (state.faults, state.random.random::<f64>()));
        let resume_after = text("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        drop(request.into_body().collect().await);
        if draw < faults.unanswered_share {
            std::future::pending::<()>().await;
        }
        if draw < faults.unanswered_share + faults.error_share {
            sleep(PLAIN_TIME).await;
            return Ok(stamped(
                whole(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
                &id,
                &server,
            ));
        }
        let is_broken = draw < faults.unanswered_share + faults.error_share + faults.aborted_share;
        if self.kind == ServerKind::Engine {
            return Ok(stamped(
                self.stream(&id, resume_after, is_broken),
                &id,
                &server,
            ));
        }
        sleep(PLAIN_TIME + Duration::from_millis(faults.delay_ms)).await;
        if is_broken {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(stamped(
            whole(StatusCode::OK, format!("answer of {id}")),
            &id,
            &server,
        ))
    }

    /// Refuses what the server cannot run; the request has not run then.
    fn refusal(&self, headers: &HeaderMap) -> Option<Response<Body>> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let (id, is_refused) = self.with(|state| {
            let draw = state.random.random::<f64>();
            (state.id.clone(), draw < state.faults.refused_share)
        });
        if text("expect-instance").is_some_and(|expected| expected != id) {
            return Some(whole(StatusCode::MISDIRECTED_REQUEST, String::new()));
        }
        if is_refused {
            let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, String::new());
            response.headers_mut().insert("not-run", 1.into());
            return Some(response);
        }
        if self.kind == ServerKind::Plain {
            return None;
        }
        let adapter = text("model")
            .and_then(|model| model.split_once('/'))
            .map(|(_, adapter)| adapter);
        let is_held = self.with(|state| {
            adapter.is_none_or(|adapter| {
                state
                    .adapters
                    .get(adapter)
                    .is_some_and(|ready| *ready <= Instant::now())
            })
        });
        (!is_held).then(|| whole(StatusCode::MISDIRECTED_REQUEST, String::new()))
    }

    fn check_drain(&self, id: &str) {
        let since = self.with(|state| state.draining_since);
        if since.is_some_and(|since| since.elapsed() > DRAIN_LIMIT) {
            let detail = format!(
                "{id} came {:?} after its server began to leave",
                since.map(|at| at.elapsed())
            );
            self.ledger
                .record_violation("leaving servers get nothing new", detail);
        }
    }

    fn stream(&self, id: &str, resume_after: u64, is_broken: bool) -> Response<Body> {
        let (events, body) = stream_body(WAITING_EVENTS);
        let id = id.to_owned();
        let last = event_count(&id);
        let task = tokio::spawn(async move {
            for number in resume_after + 1..=last {
                sleep(EVENT_GAP).await;
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                if is_broken && number * 2 > last {
                    let half = event.as_bytes()[..event.len() / 2].to_vec();
                    let _ = events.write(half.into()).await;
                    return;
                }
                if events.write(event.into()).await.is_err() {
                    return;
                }
            }
            events.end();
        });
        self.keep(task.abort_handle());
        Response::new(BoxBody::new(body.map_err(io::Error::other)))
    }
}

/// Returns the number of events in the stream that answers a request.
pub(crate) fn event_count(id: &str) -> u64 {
    let sum: u64 = id.bytes().map(u64::from).sum();
    5 + sum % 15
}

fn whole(status: StatusCode, text: String) -> Response<Body> {
    let body =
        http_body_util::Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    let mut response = Response::new(BoxBody::new(body));
    *response.status_mut() = status;
    response
}

fn stamped(mut response: Response<Body>, id: &str, server: &str) -> Response<Body> {
    let headers = response.headers_mut();
    if let (Ok(id), Ok(server)) = (id.parse(), server.parse()) {
        headers.insert("request-id", id);
        headers.insert("response-stamp", server);
    }
    response
}

/// Returns the full name of an adapter that callers may ask for.
pub(crate) fn adapter_name(index: u32) -> String {
    format!("{MODEL}/a{index}")
}
