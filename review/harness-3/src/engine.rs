//! A stand-in for a model runner, as PROTOCOL.md describes it.

use crate::fleet::{Record, unix_ms};
use crate::http::{Connection, Head};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::AbortHandle;
use tokio::time::sleep;

pub const MODEL: &str = "m0";
/// A step of the batch: the sheets say 5.47 ms (8.87 ms for one installation) and more.
const STEP: Duration = Duration::from_millis(9);
/// Tokens of one event of a stream.
const STEPS_PER_EVENT: u32 = 5;
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
const RESTART: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Adapter {
    Coming,
    Loaded,
    /// An order to unload it was accepted while it had runs; it goes when they have ended.
    Leaving,
}

pub struct State {
    pub id: String,
    pub born: u64,
    /// Counts starts, so that what an earlier start began has no effect.
    start: u64,
    sequence: u64,
    fence: u64,
    adapters: BTreeMap<String, Adapter>,
    /// Running requests by adapter.
    runs: BTreeMap<String, u32>,
    running: u32,
    tasks: Vec<AbortHandle>,
    row_sequence: u64,
    is_leaving: bool,
    /// The crashes by orders beyond `adapter_slots`.
    pub over_ordered: u32,
    /// Streams that a crash broke off.
    pub broken_streams: u32,
    pub begun: u32,
}

#[derive(Clone)]
pub struct Engine {
    pub service: String,
    /// The version of its software.
    pub software: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub adapter_slots: usize,
    /// Events of each stream.
    pub events: u32,
    pub steps_per_event: u32,
    pub record: Record,
    pub store: Store,
    pub state: Arc<Mutex<State>>,
    pub name: String,
}

impl Engine {
    pub fn new(service: &str, name: &str, address: SocketAddr, adapter_slots: usize, record: &Record, store: &Store) -> Self {
        Self {
            service: service.to_owned(),
            software: "v1",
            address,
            slots: 32,
            adapter_slots,
            events: 14,
            steps_per_event: STEPS_PER_EVENT,
            record: record.clone(),
            store: store.clone(),
            name: name.to_owned(),
            state: Arc::new(Mutex::new(State {
                id: format!("i-{name}-1"),
                born: unix_ms(),
                start: 1,
                sequence: 0,
                fence: 0,
                adapters: BTreeMap::new(),
                runs: BTreeMap::new(),
                running: 0,
                tasks: Vec::new(),
                row_sequence: 0,
                is_leaving: false,
                over_ordered: 0,
                broken_streams: 0,
                begun: 0,
            })),
        }
    }

    /// The part of the configuration that describes the engine.
    pub fn limits(&self) -> Value {
        json!({"slots": self.slots, "kv_capacity_tokens": 217509, "weights_mb": 75200,
            "adapter_slots": self.adapter_slots, "loads_per_s": 6.7, "stride": 5,
            "models": [{"name": MODEL, "weights_mb": 72700, "load_time_s": 2.1, "adapters": 3000,
                "adapter_mb": 66}]})
    }

    pub async fn start(&self) -> io::Result<()> {
        let listener = listen(self.address).await?;
        let engine = self.clone();
        let acceptor = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = engine.clone();
                let task = tokio::spawn(async move {
                    let _ = served.serve(Connection::new(stream)).await;
                });
                engine.state.lock().unwrap().tasks.push(task.abort_handle());
            }
        });
        self.state.lock().unwrap().tasks.push(acceptor.abort_handle());
        self.write_row("ready");
        Ok(())
    }


    /// Reports that it drains; all its answers say so from now on.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_leaving = true;
        self.write_row("draining");
        self.record.line(format!("{} reports draining", self.name));
    }

    /// Is gone for good, whatever it runs.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        self.record.line(format!("{} leaves with {} streams running", self.name, state.running));
        let key = format!("servers/{}", state.id);
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        self.store.remove(&key);
        for task in tasks {
            task.abort();
        }
    }

    fn leaving_header(&self) -> &'static str {
        if self.state.lock().unwrap().is_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }

    pub fn write_row(&self, status: &str) {
        let (key, row) = {
            let mut state = self.state.lock().unwrap();
            state.row_sequence += 1;
            let key = format!("servers/{}", state.id);
            let row = json!({"service": self.service, "address": self.address.to_string(),
                "zone": "zone-a", "version": self.software, "slots": self.slots, "state": status,
                "cold_remaining_ms": 0, "sequence": state.row_sequence, "born": state.born,
                "stage": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}]});
            (key, row)
        };
        self.store.put(&key, &row);
    }

    async fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head().await? {
            let mut body = Vec::new();
            if !connection.read_body(&head, &mut body).await? {
                return Ok(());
            }
            match head.path() {
                "/report" => {
                    let report = self.report().to_string();
                    let headers = format!("Content-Type: application/json\r\n{}", self.leaving_header());
                    connection.answer(200, &headers, &report).await?;
                }
                "/order" => {
                    let (status, crashes) = self.order(&body);
                    if crashes {
                        self.crash();
                        return Ok(());
                    }
                    connection.answer(status, self.leaving_header(), "").await?;
                }
                "/healthz" => {
                    let id = self.state.lock().unwrap().id.clone();
                    connection.answer(200, &format!("Instance-Id: {id}\r\n"), "").await?;
                }
                _ => {
                    if !self.run(&mut connection, &head).await? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let listed = |wanted: &[Adapter]| -> Vec<String> {
            let adapters = state.adapters.iter();
            adapters.filter(|(_, adapter)| wanted.contains(adapter)).map(|(name, _)| format!("{name}@1")).collect()
        };
        let coming: Vec<String> = listed(&[Adapter::Coming]).iter().map(|name| format!("{MODEL}/{name}")).collect();
        let status = if state.is_leaving { "draining" } else { "ready" };
        json!({"stage": "both", "state": status, "born": state.born, "busy": false,
            "models": [{"name": MODEL, "version": 1, "adapters": listed(&[Adapter::Loaded, Adapter::Leaving])}],
            "coming": coming, "sequence": state.sequence, "waiting": 0, "running": state.running,
            "kv_used": 0, "kv_total": 217509, "handles": 0})
    }

    /// Carries out an order; returns the status, and whether it crashes the runner.
    fn order(&self, body: &[u8]) -> (u16, bool) {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let fence = order["fencing_token"].as_u64().unwrap_or(0);
        let (operation, adapter) = (order["operation"].as_str(), order["adapter"].as_str());
        let (Some(operation), Some(adapter)) = (operation, adapter) else {
            return (400, false);
        };
        if fence < state.fence {
            return (412, false);
        }
        state.fence = fence;
        if order["precondition"].as_u64().is_some_and(|expected| expected != state.sequence) {
            return (409, false);
        }
        let runs = state.runs.get(adapter).copied().unwrap_or(0);
        let held = state.adapters.get(adapter).copied();
        let (status, crashes) = match (operation, held) {
            ("unload", None) => (200, false),
            ("unload", Some(_)) if runs == 0 => {
                state.adapters.remove(adapter);
                state.sequence += 1;
                (200, false)
            }
            ("unload", Some(_)) => {
                state.adapters.insert(adapter.to_owned(), Adapter::Leaving);
                state.sequence += 1;
                (202, false)
            }
            ("load", Some(Adapter::Loaded | Adapter::Coming)) => (200, false),
            ("load", _) if state.adapters.len() >= self.adapter_slots => (0, true),
            ("load", _) => {
                state.adapters.insert(adapter.to_owned(), Adapter::Coming);
                state.sequence += 1;
                (202, false)
            }
            _ => (400, false),
        };
        if crashes {
            state.over_ordered += 1;
        }
        let held_names: Vec<String> = state.adapters.keys().cloned().collect();
        let start = state.start;
        drop(state);
        self.record.line(format!(
            "{} order {operation} {adapter} runs={runs} held={} of {} -> {}",
            self.name,
            held_names.len(),
            self.adapter_slots,
            if crashes { "CRASH: ordered to load more than adapter_slots".to_owned() } else { status.to_string() }
        ));
        if operation == "load" && status == 202 {
            let (engine, adapter) = (self.clone(), adapter.to_owned());
            tokio::spawn(async move {
                sleep(ADAPTER_LOAD).await;
                let mut state = engine.state.lock().unwrap();
                if state.start == start && state.adapters.contains_key(&adapter) {
                    state.adapters.insert(adapter, Adapter::Loaded);
                }
            });
        }
        (status, crashes)
    }

    /// Ends all connections and starts again, empty, after a while.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.broken_streams += state.running;
        self.record.line(format!("{} crashes with {} streams running", self.name, state.running));
        let key = format!("servers/{}", state.id);
        state.start += 1;
        state.id = format!("i-{}-{}", self.name, state.start);
        state.sequence = 0;
        state.fence = 0;
        state.adapters.clear();
        state.runs.clear();
        state.running = 0;
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        self.store.remove(&key);
        let engine = self.clone();
        tokio::spawn(async move {
            sleep(RESTART).await;
            engine.state.lock().unwrap().born = unix_ms();
            let _ = engine.start().await;
        });
        for task in tasks {
            task.abort();
        }
    }

    /// Runs a request; returns whether the connection may be used again.
    async fn run(&self, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        let request = head.header("request-id").unwrap_or_default().to_owned();
        let adapter = head.header("model").and_then(|model| model.split_once('/')).map(|(_, name)| name.to_owned());
        let Some(adapter) = adapter else {
            connection.answer(400, "Not-Run: 1\r\n", "").await?;
            return Ok(true);
        };
        let (refusal, start) = {
            let mut state = self.state.lock().unwrap();
            let is_other = head.header("expect-instance").is_some_and(|id| id != state.id);
            let held = state.adapters.get(&adapter).copied();
            let refusal = match held {
                _ if is_other => Some(421),
                None | Some(Adapter::Coming) => Some(421),
                Some(Adapter::Leaving) => Some(503),
                Some(Adapter::Loaded) => None,
            };
            if refusal.is_none() {
                state.running += 1;
                state.begun += 1;
                *state.runs.entry(adapter.clone()).or_insert(0) += 1;
            }
            (refusal, state.start)
        };
        if let Some(status) = refusal {
            self.record.line(format!("{} rejects {request} ({status}, not run)", self.name));
            connection.answer(status, &format!("Request-Id: {request}\r\nNot-Run: 1\r\n"), "").await?;
            return Ok(true);
        }
        let left = head.header("deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(5_000);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(left);
        let result = self.stream(connection, head, &request, deadline).await;
        let mut state = self.state.lock().unwrap();
        if state.start == start {
            state.running -= 1;
            let runs = state.runs.entry(adapter.clone()).or_insert(1);
            *runs = runs.saturating_sub(1);
            if *runs == 0 && state.adapters.get(&adapter) == Some(&Adapter::Leaving) {
                state.adapters.remove(&adapter);
            }
        }
        result
    }

    async fn stream(&self, connection: &mut Connection, head: &Head, request: &str, deadline: tokio::time::Instant) -> io::Result<bool> {
        self.record.line(format!("{} begins {request}", self.name));
        let stream = head.header("resumes").unwrap_or(request);
        let after = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\
             Request-Id: {request}\r\nResponse-Stamp: stamp-{request}\r\n\r\n",
            self.leaving_header()
        );
        connection.stream.write_all(text.as_bytes()).await?;
        for event in after + 1..=self.events {
            for _ in 0..self.steps_per_event {
                sleep(STEP).await;
                // A request whose channel has closed is dropped between two steps of the batch.
                if connection.is_closed() || tokio::time::Instant::now() > deadline {
                    self.record.line(format!("{} drops {request} after event {}", self.name, event - 1));
                    return Ok(false);
                }
            }
            let text = format!("id: {event}\ndata: {} {stream} {event} of {}\n\n", self.software, self.events);
            connection.chunk(&text).await?;
        }
        connection.stream.write_all(b"0\r\n\r\n").await?;
        self.record.line(format!("{} completes {request}", self.name));
        Ok(true)
    }
}

/// Listens at an address, with retries while the last start still frees it.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..400 {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| socket.listen(256)) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(Duration::from_millis(5)).await,
            result => return result,
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
