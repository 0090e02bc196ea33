//! A stand-in for a plain runner. Its answers may have no length and end with their channel.

use crate::engine::listen;
use crate::fleet::{Record, unix_ms};
use crate::http::{Connection, Head};
use crate::store::Store;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

const WORK: Duration = Duration::from_millis(60);
/// How long a runner is down that a request has crashed.
const BACK: Duration = Duration::from_secs(2);

struct State {
    born: u64,
    tasks: Vec<AbortHandle>,
    row_sequence: u64,
    running: u32,
    is_leaving: bool,
    arrivals: Vec<(Instant, String)>,
    crashes: Vec<Instant>,
    /// Requests that crashes broke off.
    broken_off: u32,
}

#[derive(Clone)]
pub struct Plain {
    pub service: String,
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The address in its row.
    pub listed: SocketAddr,
    pub work: Duration,
    /// The caller whose requests with this path crash the runner when they begin to run.
    pub deadly: Option<(String, String)>,
    /// Time between the two halves of an answer without a length; absent if answers have a length.
    pub pause: Option<Duration>,
    pub record: Record,
    pub store: Store,
    state: Arc<Mutex<State>>,
}

/// The whole body of the answer to a request.
pub fn whole_body(request: &str) -> String {
    format!("answer of {request}: {} END", "0123456789".repeat(78))
}

impl Plain {
    pub fn new(service: &str, id: &str, address: SocketAddr, listed: SocketAddr, record: &Record, store: &Store) -> Self {
        Self {
            service: service.to_owned(),
            id: id.to_owned(),
            address,
            listed,
            work: WORK,
            deadly: None,
            pause: Some(Duration::from_millis(300)),
            record: record.clone(),
            store: store.clone(),
            state: Arc::new(Mutex::new(State {
                born: 0,
                tasks: Vec::new(),
                row_sequence: 0,
                running: 0,
                is_leaving: false,
                arrivals: Vec::new(),
                crashes: Vec::new(),
                broken_off: 0,
            })),
        }
    }

    pub async fn start(&self) -> io::Result<()> {
        let listener = listen(self.address).await?;
        let server = self.clone();
        let acceptor = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = server.clone();
                let task = tokio::spawn(async move {
                    let _ = served.serve(Connection::new(stream)).await;
                });
                server.state.lock().unwrap().tasks.push(task.abort_handle());
            }
        });
        let mut state = self.state.lock().unwrap();
        state.born = unix_ms();
        state.tasks.push(acceptor.abort_handle());
        drop(state);
        self.write_row();
        self.record.line(format!("{} starts", self.id));
        Ok(())
    }

    fn write_row(&self) {
        let row = self.next_row();
        self.put_row(&row);
    }

    /// Returns the row that the runner writes next.
    pub fn next_row(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        state.row_sequence += 1;
        let status = if state.is_leaving { "draining" } else { "ready" };
        json!({"service": self.service, "address": self.listed.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 16, "state": status, "cold_remaining_ms": 0,
            "sequence": state.row_sequence, "born": state.born})
    }

    /// The platform's store does a write of the runner.
    pub fn put_row(&self, row: &Value) {
        self.store.put(&format!("servers/{}", self.id), row);
        self.record.line(format!("the store does the write of {}: state={} sequence={}", self.id, row["state"], row["sequence"]));
    }

    /// Begins to drain: all its answers say so, and so does the row that it writes.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_leaving = true;
        self.write_row();
    }

    /// Returns the requests that arrived after `after`.
    pub fn arrivals_after(&self, after: Instant) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let late = state.arrivals.iter().filter(|(at, _)| *at > after);
        late.map(|(_, request)| request.clone()).collect()
    }

    fn leaving_header(&self) -> &'static str {
        if self.state.lock().unwrap().is_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }

    pub fn running(&self) -> u32 {
        self.state.lock().unwrap().running
    }

    /// Ends as a process that is killed: the kernel closes its sockets.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.record.line(format!("{} crashes with {} requests running", self.id, state.running));
        state.running = 0;
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        for task in tasks {
            task.abort();
        }
    }

    /// Crashes, and is back after some seconds, under its id.
    fn crash_and_restart(&self) {
        let server = self.clone();
        tokio::spawn(async move {
            server.state.lock().unwrap().broken_off += server.running().saturating_sub(1);
            server.crash();
            sleep(BACK).await;
            let _ = server.start().await;
        });
    }

    /// Returns when it crashed, and how many other requests that broke off.
    pub fn crashes(&self) -> (Vec<Instant>, u32) {
        let state = self.state.lock().unwrap();
        (state.crashes.clone(), state.broken_off)
    }

    /// Returns the requests whose id begins so, and when they arrived.
    pub fn arrivals_of(&self, begin: &str) -> Vec<(Instant, String)> {
        let state = self.state.lock().unwrap();
        let matching = state.arrivals.iter().filter(|(_, request)| request.starts_with(begin));
        matching.cloned().collect()
    }

    async fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head().await? {
            let mut body = Vec::new();
            if !connection.read_body(&head, &mut body).await? {
                return Ok(());
            }
            if head.header("expect-instance").is_some_and(|id| id != self.id) {
                connection.answer(421, "Not-Run: 1\r\n", "").await?;
            } else if head.path() == "/healthz" {
                let (running, leaving) = (self.running(), self.leaving_header());
                let headers = format!("Instance-Id: {}\r\nServer-Load: {running},0,16\r\n{leaving}", self.id);
                connection.answer(200, &headers, "").await?;
            } else {
                self.run(&mut connection, &head).await?;
                if self.pause.is_some() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn run(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let request = head.header("request-id").unwrap_or_default();
        {
            let mut state = self.state.lock().unwrap();
            state.running += 1;
            state.arrivals.push((Instant::now(), request.to_owned()));
        }
        let caller = head.header("tenant").unwrap_or("-");
        self.record.line(format!("{} begins {request} of {caller}", self.id));
        if self.deadly.as_ref().is_some_and(|(path, deadly)| path == head.path() && deadly == caller) {
            self.state.lock().unwrap().crashes.push(Instant::now());
            self.crash_and_restart();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        sleep(self.work).await;
        let body = whole_body(request);
        let head = format!(
            "Content-Type: text/plain\r\nRequest-Id: {request}\r\nResponse-Stamp: stamp-{request}\r\n{}",
            self.leaving_header()
        );
        if let Some(pause) = self.pause {
            let (first, second) = body.split_at(body.len() / 2);
            let text = format!("HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n{first}");
            connection.stream.write_all(text.as_bytes()).await?;
            sleep(pause).await;
            connection.stream.write_all(second.as_bytes()).await?;
        } else {
            connection.answer(200, &head, &body).await?;
        }
        self.state.lock().unwrap().running -= 1;
        self.record.line(format!("{} completes {request}", self.id));
        Ok(())
    }
}
