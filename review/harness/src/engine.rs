//! A stand-in for a model runner: orders, reports, heartbeats and streams, as the users' pages say.

use {
    crate::{
        store::Store,
        world::{Run, World, unix_ms, zone},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode, Version,
        body::{Frame, Incoming},
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet},
        convert::Infallible,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpSocket, TcpStream},
        sync::mpsc,
        task::AbortHandle,
        time::sleep,
    },
};

pub const MODEL: &str = "daka510000";
pub const SERVICE: &str = "huvo11a";

/// What is the same for all engines of a case.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    pub slots: usize,
    pub adapter_slots: usize,
    pub load_s: f64,
    pub disk_s: f64,
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub gap_ms: u64,
    pub heartbeat_ms: u64,
    /// Whether streams have neither a length nor chunks, and end with their channels.
    pub is_unframed: bool,
    /// The memory for weights, and what one adapter takes of it.
    pub weights_mb: f64,
    pub adapter_mb: f64,
}

/// The weights of the base model.
pub const MODEL_MB: f64 = 65_100.0;
/// Time after which a runner that has crashed is back.
const CRASH_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Model {
    Absent,
    Loading,
    Ready,
}

#[derive(Debug)]
struct Adapter {
    version: u64,
    /// The version that is being loaded; `version` is 0 if none was there before.
    coming: Option<u64>,
    runs: usize,
}

struct State {
    id: String,
    software: String,
    born: u64,
    lifetime: u64,
    model: Model,
    has_disk_copy: bool,
    adapters: BTreeMap<String, Adapter>,
    /// Adapters with versions that were held recently.
    held: HashSet<(String, u64)>,
    sequence: u64,
    running: usize,
    /// How long a pause the engine asks for at its next request, and until when it turns requests away.
    pause_s: Option<f64>,
    paused_until: Option<Instant>,
    /// When the engine is taken away, once it has been told so.
    gone_at: Option<Instant>,
}

impl State {
    fn stage(&self) -> &'static str {
        if self.gone_at.is_some() {
            "draining"
        } else {
            "ready"
        }
    }

    fn remaining_ms(&self) -> Option<u64> {
        let left = self.gone_at?.saturating_duration_since(Instant::now());
        Some(left.as_millis() as u64)
    }
}

pub struct Engine {
    pub index: usize,
    settings: EngineSettings,
    world: Arc<World>,
    store: Arc<Store>,
    state: Mutex<State>,
    tasks: Mutex<Vec<AbortHandle>>,
    /// Orders to load more than the engine holds.
    pub excess_orders: AtomicUsize,
}

type Body = UnsyncBoxBody<Bytes, Infallible>;

impl Engine {
    pub fn new(
        world: &Arc<World>,
        store: &Arc<Store>,
        settings: EngineSettings,
        index: usize,
        software: &str,
    ) -> Arc<Self> {
        Arc::new(Self {
            index,
            settings,
            world: Arc::clone(world),
            store: Arc::clone(store),
            state: Mutex::new(State {
                id: format!("i-7f3a{index:04x}"),
                software: software.to_owned(),
                born: 0,
                lifetime: 0,
                model: Model::Absent,
                has_disk_copy: false,
                adapters: BTreeMap::new(),
                held: HashSet::new(),
                sequence: 0,
                running: 0,
                pause_s: None,
                paused_until: None,
                gone_at: None,
            }),
            tasks: Mutex::default(),
            excess_orders: AtomicUsize::new(0),
        })
    }

    fn address(&self) -> SocketAddr {
        self.world.engine_address(self.index)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Starts a lifetime. At the first start of the system the busy models are placed already.
    pub async fn start(self: &Arc<Self>, software: &str, has_model: bool) {
        {
            let mut state = self.state.lock().unwrap();
            state.software = software.to_owned();
            state.born = unix_ms();
            state.lifetime += 1;
            state.model = if has_model {
                Model::Ready
            } else {
                Model::Absent
            };
            state.has_disk_copy |= has_model;
            state.adapters.clear();
            state.sequence = 0;
            state.running = 0;
            state.paused_until = None;
            state.gone_at = None;
        }
        let listener = loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            if socket.bind(self.address()).is_ok() {
                break socket.listen(1_024).unwrap();
            }
            sleep(Duration::from_millis(5)).await;
        };
        self.world
            .log(format!("engine {} starts, software {software}", self.id()));
        let engine = Arc::clone(self);
        self.track(
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let serving = Arc::clone(&engine);
                    let service = service_fn(move |request| Arc::clone(&serving).handle(request));
                    let stream = TokioIo::new(CurrentVersion(stream));
                    let connection = http1::Builder::new().serve_connection(stream, service);
                    engine.track(
                        tokio::spawn(async move {
                            let _ = connection.await;
                        })
                        .abort_handle(),
                    );
                }
            })
            .abort_handle(),
        );
        let engine = Arc::clone(self);
        self.track(
            tokio::spawn(async move {
                loop {
                    engine.beat();
                    sleep(Duration::from_millis(engine.settings.heartbeat_ms)).await;
                }
            })
            .abort_handle(),
        );
    }

    /// Ends the lifetime at once: all connections end, and all runs with them.
    pub fn crash(&self) {
        self.world.log(format!("engine {} crashes", self.id()));
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
        self.state.lock().unwrap().lifetime += 1;
    }

    /// Returns the number of streams that run.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running
    }

    pub fn has_model(&self) -> bool {
        self.state.lock().unwrap().model == Model::Ready
    }

    /// Tells the engine that it is taken away after a time. It reports that it drains, and then it is gone,
    /// whatever it runs.
    pub async fn take_away(&self, after: Duration) {
        self.world.log(format!(
            "engine {} has notice of {} ms",
            self.id(),
            after.as_millis()
        ));
        self.state.lock().unwrap().gone_at = Some(Instant::now() + after);
        self.beat();
        sleep(after).await;
        self.crash();
        self.store.remove(&format!("servers/{}", self.id()));
    }

    /// Makes the engine turn its next request away and ask for a pause.
    pub fn ask_for_pause(&self, seconds: f64) {
        self.state.lock().unwrap().pause_s = Some(seconds);
    }

    fn track(&self, task: AbortHandle) {
        let mut tasks = self.tasks.lock().unwrap();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    fn beat(&self) {
        let (key, row) = {
            let state = self.state.lock().unwrap();
            let mut row = json!({"service": SERVICE, "address": self.address().to_string(),
                "zone": zone(self.index), "version": state.software, "slots": self.settings.slots,
                "state": state.stage(), "cold_remaining_ms": 0, "stage": "both", "models": models(&state),
                "sequence": state.sequence, "born": state.born});
            if let Some(remaining_ms) = state.remaining_ms() {
                row["remaining_ms"] = json!(remaining_ms);
            }
            (format!("servers/{}", state.id), row)
        };
        self.store.put(&key, &row);
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let path = request.uri().path().to_owned();
        let mut response = match path.as_str() {
            "/report" => json_response(200, &self.report()),
            "/order" => self.order(request).await,
            "/healthz" => json_response(200, &json!({})),
            _ => {
                let (head, body) = request.into_parts();
                let _ = body.collect().await;
                self.serve(&head)
            }
        };
        let state = self.state.lock().unwrap();
        let load = format!("{},0,{}", state.running, self.settings.slots);
        response
            .headers_mut()
            .insert("server-load", load.parse().unwrap());
        response
            .headers_mut()
            .insert("instance-id", state.id.parse().unwrap());
        if state.gone_at.is_some() {
            response.headers_mut().insert("server-leaving", 1.into());
        }
        Ok(response)
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let coming: Vec<String> = state
            .adapters
            .iter()
            .filter_map(|(name, adapter)| Some(format!("{name}@{}", adapter.coming?)))
            .collect();
        let on_disk = if state.has_disk_copy {
            vec![MODEL]
        } else {
            Vec::new()
        };
        let mut report = json!({"stage": "both", "models": models(&state), "busy": state.model == Model::Loading,
            "sequence": state.sequence, "waiting": 0, "running": state.running, "kv_used": 0,
            "kv_total": 200_000, "handles": 0, "state": state.stage(), "coming": coming, "born": state.born,
            "at_hand": {"in_memory": [], "on_disk": on_disk}});
        if let Some(remaining_ms) = state.remaining_ms() {
            report["remaining_ms"] = json!(remaining_ms);
        }
        report
    }

    async fn order(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        let status = self.accept_order(&order);
        self.world.log(format!(
            "order engine={} {order} status={status}",
            self.index
        ));
        json_response(status, &json!({}))
    }

    fn accept_order(self: &Arc<Self>, order: &Value) -> u16 {
        let mut state = self.state.lock().unwrap();
        if order["holder"].is_null() || order["fencing_token"].is_null() {
            return 400;
        }
        if order["precondition"]
            .as_u64()
            .is_some_and(|expected| expected != state.sequence)
        {
            return 409;
        }
        let is_load = order["operation"] == "load";
        let Some(adapter) = order["adapter"].as_str() else {
            return match (is_load, state.model) {
                (true, Model::Ready) => 200,
                (true, Model::Absent) => {
                    state.sequence += 1;
                    state.model = Model::Loading;
                    let seconds = if state.has_disk_copy {
                        self.settings.disk_s
                    } else {
                        self.settings.load_s
                    };
                    self.spawn_model_load(state.lifetime, seconds);
                    202
                }
                _ => 409,
            };
        };
        if state.model != Model::Ready {
            return 421;
        }
        let name = format!("{MODEL}/{adapter}");
        if !is_load {
            return match state.adapters.get(&name) {
                None => 200,
                Some(adapter) if adapter.runs > 0 || adapter.coming.is_some() => 409,
                Some(_) => {
                    state.sequence += 1;
                    state.adapters.remove(&name);
                    200
                }
            };
        }
        let newest = self.world.newest_version(&name);
        let version = order["version"].as_u64().unwrap_or(newest);
        let in_transit = state
            .adapters
            .values()
            .filter(|adapter| adapter.coming.is_some())
            .count();
        let known = state
            .adapters
            .get(&name)
            .map(|adapter| (adapter.version, adapter.coming));
        match known {
            Some((held, None)) if held == version => return 200,
            Some((_, Some(_))) => return 409,
            _ => {}
        }
        if in_transit >= 4 {
            return 409;
        }
        let needed_mb = MODEL_MB + (state.adapters.len() + 1) as f64 * self.settings.adapter_mb;
        let is_full = state.adapters.len() >= self.settings.adapter_slots;
        if known.is_none() && (is_full || needed_mb > self.settings.weights_mb) {
            self.excess_orders.fetch_add(1, Ordering::Relaxed);
            self.world.log(format!(
                "LIMIT engine={} holds {} adapters, is ordered to load {name}: {needed_mb} of {} MB, {} streams run",
                self.index,
                state.adapters.len(),
                self.settings.weights_mb,
                state.running
            ));
            drop(state);
            self.fall_over();
            return 503;
        }
        state.sequence += 1;
        let slot = state.adapters.entry(name.clone()).or_insert(Adapter {
            version: 0,
            coming: None,
            runs: 0,
        });
        slot.coming = Some(version);
        let is_held = state.held.contains(&(name.clone(), version));
        self.spawn_adapter_load(state.lifetime, name, version, is_held);
        202
    }

    /// Crashes as the pages say of a runner that is ordered to load more than it holds, and starts again.
    fn fall_over(self: &Arc<Self>) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.crash();
            sleep(CRASH_TIME).await;
            let software = engine.state.lock().unwrap().software.clone();
            engine.start(&software, false).await;
        });
    }

    fn spawn_model_load(self: &Arc<Self>, lifetime: u64, seconds: f64) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            let mut state = engine.state.lock().unwrap();
            if state.lifetime == lifetime {
                state.model = Model::Ready;
                state.has_disk_copy = true;
                drop(state);
                engine.beat();
            }
        });
    }

    fn spawn_adapter_load(
        self: &Arc<Self>,
        lifetime: u64,
        name: String,
        version: u64,
        is_held: bool,
    ) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            if is_held {
                sleep(Duration::from_secs_f64(
                    engine.world.weights.adapter_ms / 10_000.0,
                ))
                .await;
            } else {
                engine.world.weights.fetch().await;
            }
            // A replacement waits for its runs.
            loop {
                {
                    let mut state = engine.state.lock().unwrap();
                    if state.lifetime != lifetime {
                        return;
                    }
                    let Some(adapter) = state.adapters.get_mut(&name) else {
                        return;
                    };
                    if adapter.runs == 0 {
                        adapter.version = version;
                        adapter.coming = None;
                        state.held.insert((name, version));
                        return;
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
        });
    }

    fn serve(self: &Arc<Self>, request: &Parts) -> Response<Body> {
        let header = |name: &str| {
            let value = request
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (id, adapter) = (header("request-id"), header("model"));
        let last: u64 = header("last-event-id").parse().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if let Some(seconds) = state.pause_s.take() {
            state.paused_until = Some(Instant::now() + Duration::from_secs_f64(seconds));
            self.world.log(format!(
                "engine {} asks for a pause of {seconds} s",
                state.id
            ));
        }
        if let Some(until) = state.paused_until.filter(|&until| until > Instant::now()) {
            let left_s = until
                .saturating_duration_since(Instant::now())
                .as_secs_f64();
            let mut response = refusal(503, &id);
            response
                .headers_mut()
                .insert("retry-after", format!("{left_s:.3}").parse().unwrap());
            return response;
        }
        let expected = header("expect-instance");
        if !expected.is_empty() && expected != state.id {
            return refusal(421, &id);
        }
        if state.running >= self.settings.slots {
            return refusal(503, &id);
        }
        let (server, software, lifetime) =
            (state.id.clone(), state.software.clone(), state.lifetime);
        let Some(held) = state.adapters.get_mut(&adapter) else {
            return refusal(421, &id);
        };
        if held.coming.is_some() {
            return refusal(503, &id);
        }
        let expected = header("expect-version");
        if !expected.is_empty() && expected != held.version.to_string() {
            return refusal(421, &id);
        }
        let prefix = header("prompt-prefix");
        let parts: Vec<&str> = prefix
            .split(',')
            .filter_map(|part| part.split(':').next())
            .collect();
        let poison = self.world.poison.lock().unwrap().clone();
        let is_poisoned =
            poison.is_some_and(|poison| parts[..parts.len().max(1) - 1].contains(&poison.as_str()));
        if is_poisoned {
            self.world.poisoned.lock().unwrap().push(Instant::now());
            let engine = Arc::clone(self);
            let gap = Duration::from_millis(self.settings.gap_ms);
            tokio::spawn(async move {
                sleep(gap).await;
                if engine.state.lock().unwrap().lifetime == lifetime {
                    engine.world.crashes.lock().unwrap().push(Instant::now());
                    engine.fall_over();
                }
            });
        }
        held.runs += 1;
        let version = held.version;
        state.running += 1;
        drop(state);
        self.world.add_run(Run {
            request: id.clone(),
            server: server.clone(),
            software: software.clone(),
            adapter: adapter.clone(),
            adapter_version: version,
            at: Instant::now(),
        });
        let guard = RunGuard {
            engine: Arc::clone(self),
            adapter,
            lifetime,
        };
        let (events, gap) = (
            self.settings.events,
            Duration::from_millis(self.settings.gap_ms),
        );
        let (sender, mut receiver) = mpsc::channel::<Frame<Bytes>>(4);
        let prefix = format!("{server}/{software}/{version}");
        self.track(
            tokio::spawn(async move {
                let _guard = guard;
                for number in last + 1..=events {
                    sleep(gap).await;
                    let event = format!("id: {number}\ndata: {prefix}/{number}\n\n");
                    if sender.send(Frame::data(Bytes::from(event))).await.is_err() {
                        return;
                    }
                }
            })
            .abort_handle(),
        );
        let stream = PollFn(move |context: &mut Context<'_>| {
            receiver.poll_recv(context).map(|frame| frame.map(Ok))
        });
        let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert("request-id", id.parse().unwrap());
        headers.insert(
            "response-stamp",
            format!("3e1b.{server}.{id}").parse().unwrap(),
        );
        headers.insert("weight-versions", version.into());
        headers.insert("content-type", "text/event-stream".parse().unwrap());
        if self.settings.is_unframed {
            headers.insert("connection", "close".parse().unwrap());
            // hyper then sends neither a length nor chunks; `CurrentVersion` restores the version.
            *response.version_mut() = Version::HTTP_10;
        }
        response
    }
}

/// Writes answers as of HTTP/1.1, whatever version hyper gives them.
struct CurrentVersion(TcpStream);

impl AsyncRead for CurrentVersion {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for CurrentVersion {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        const OLD: &[u8] = b"HTTP/1.0";
        if !bytes.starts_with(OLD) {
            return Pin::new(&mut self.0).poll_write(context, bytes);
        }
        let mut current = bytes.to_vec();
        current[OLD.len() - 1] = b'1';
        Pin::new(&mut self.0).poll_write(context, &current)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// Counts a run until it ends or its caller has left.
struct RunGuard {
    engine: Arc<Engine>,
    adapter: String,
    lifetime: u64,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock().unwrap();
        if state.lifetime != self.lifetime {
            return;
        }
        state.running -= 1;
        if let Some(adapter) = state.adapters.get_mut(&self.adapter) {
            adapter.runs -= 1;
        }
    }
}

/// A stream of frames from a poll function.
struct PollFn<F>(F);

impl<T, F> futures_core::Stream for PollFn<F>
where
    F: FnMut(&mut Context<'_>) -> Poll<Option<T>> + Unpin,
{
    type Item = T;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<T>> {
        (self.0)(context)
    }
}

fn models(state: &State) -> Value {
    if state.model != Model::Ready {
        return json!([]);
    }
    let adapters: Vec<String> = state
        .adapters
        .iter()
        .filter(|(_, adapter)| adapter.version > 0)
        .map(|(name, adapter)| {
            let name = name.split_once('/').map_or("", |(_, name)| name);
            format!("{name}@{}", adapter.version)
        })
        .collect();
    json!([{"name": MODEL, "version": 1, "adapters": adapters}])
}

fn json_response(status: u16, body: &Value) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
        .headers_mut()
        .insert("content-type", "application/json".parse().unwrap());
    response
}

/// A refusal of a request that has not run and will not run.
fn refusal(status: u16, id: &str) -> Response<Body> {
    let mut response = json_response(status, &json!({}));
    response
        .headers_mut()
        .insert("not-run", "1".parse().unwrap());
    if let Ok(id) = id.parse() {
        response.headers_mut().insert("request-id", id);
    }
    response
}
