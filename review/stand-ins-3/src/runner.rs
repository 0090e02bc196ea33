//! Runners as processes of their own: model runners, and runners of a plain service.
//!
//! A runner writes a line to its standard output for what arrives, begins, ends and is ordered.

use crate::http::{self, Message};
use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What a runner is and how it behaves.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    pub address: SocketAddr,
    pub id: String,
    pub born: u64,
    pub slots: usize,
    /// Adapters that a model runner holds at its start, as NAME@VERSION; empty for a plain runner.
    pub adapters: Vec<String>,
    pub is_engine: bool,
    /// Time that a load of an adapter takes.
    pub load_ms: u64,
    /// Events of a stream, and the time before each of them.
    pub events: u64,
    pub event_ms: u64,
    /// How a plain runner answers: `plain`, `whole` or `endless`; see `run_plain`.
    pub manner: String,
    /// Work of a plain request.
    pub work_ms: u64,
    /// The version of the runner's software, which the data of its events name.
    pub software: String,
}

impl RunnerSettings {
    pub fn to_arguments(&self) -> Vec<String> {
        vec![
            self.address.to_string(),
            self.id.clone(),
            self.born.to_string(),
            self.slots.to_string(),
            self.adapters.join(","),
            self.is_engine.to_string(),
            self.load_ms.to_string(),
            self.events.to_string(),
            self.event_ms.to_string(),
            self.manner.clone(),
            self.work_ms.to_string(),
            self.software.clone(),
        ]
    }

    pub fn from_arguments(arguments: &[String]) -> Option<Self> {
        let mut rest = arguments.iter();
        let mut next = || rest.next().cloned();
        Some(Self {
            address: next()?.parse().ok()?,
            id: next()?,
            born: next()?.parse().ok()?,
            slots: next()?.parse().ok()?,
            adapters: next()?
                .split(',')
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect(),
            is_engine: next()?.parse().ok()?,
            load_ms: next()?.parse().ok()?,
            events: next()?.parse().ok()?,
            event_ms: next()?.parse().ok()?,
            manner: next()?,
            work_ms: next()?.parse().ok()?,
            software: next()?,
        })
    }
}

struct Adapter {
    version: u64,
    runs: usize,
    /// When the load in progress ends, with the version that it brings.
    coming: Option<(u64, Option<Instant>)>,
}

#[derive(Default)]
struct State {
    running: usize,
    sequence: u64,
    adapters: BTreeMap<String, Adapter>,
    /// The newest version of each adapter, which a load without a version brings.
    newest: u64,
    /// Whether the runner leaves, which it says in its reports and in all its answers.
    is_leaving: bool,
}

struct Runner {
    settings: RunnerSettings,
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs a runner until the process is killed.
pub fn run(settings: RunnerSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.address)?;
    let mut state = State {
        newest: 1,
        ..State::default()
    };
    for adapter in &settings.adapters {
        let (name, version) = adapter.split_once('@').unwrap_or((adapter, "1"));
        let version = version.parse().unwrap_or(1);
        state.adapters.insert(
            name.to_owned(),
            Adapter {
                version,
                runs: 0,
                coming: None,
            },
        );
    }
    let runner = Arc::new(Runner {
        settings,
        state: Mutex::new(state),
        changed: Condvar::new(),
    });
    say(format!(
        "listens id={} born={}",
        runner.settings.id, runner.settings.born
    ));
    let listening = Arc::clone(&runner);
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            if line == "leave" {
                listening.state.lock().unwrap().is_leaving = true;
                say("leaves".to_owned());
            }
        }
    });
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || {
            let _ = runner.serve(stream);
        });
    }
    Ok(())
}

fn say(line: String) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

impl Runner {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buffer, |_| {})? {
            let path = request
                .target()
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            match (request.method(), path.as_str()) {
                ("GET", "/report") if self.settings.is_engine => {
                    let report = self.report();
                    let mut headers = vec![("Content-Type", "application/json")];
                    headers.extend(self.leaving());
                    http::respond(&mut stream, "200 OK", &headers, report.as_bytes())?;
                }
                ("POST", "/order") if self.settings.is_engine => {
                    let status = self.order(&String::from_utf8_lossy(&request.body));
                    http::respond(&mut stream, status, &self.leaving(), b"")?;
                }
                ("GET", "/healthz") => {
                    say("health check".to_owned());
                    let load = format!("0,0,{}", self.settings.slots);
                    if !self.is_expected(&request) {
                        http::respond(
                            &mut stream,
                            "421 Misdirected Request",
                            &[("Not-Run", "1")],
                            b"",
                        )?;
                        continue;
                    }
                    if self.settings.manner == "endless" {
                        return self.answer_without_end(&mut stream);
                    }
                    let headers = [
                        ("Instance-Id", self.settings.id.as_str()),
                        ("Server-Load", load.as_str()),
                    ];
                    http::respond(&mut stream, "200 OK", &headers, b"")?;
                }
                _ if self.settings.is_engine => self.run_stream(&mut stream, &request)?,
                _ => {
                    if !self.run_plain(&mut stream, &request)? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns the header of a runner that leaves.
    fn leaving(&self) -> Vec<(&'static str, &'static str)> {
        let is_leaving = self.state.lock().unwrap().is_leaving;
        if is_leaving {
            vec![("Server-Leaving", "1")]
        } else {
            Vec::new()
        }
    }

    fn is_expected(&self, request: &Message) -> bool {
        let expected = request.header("expect-instance");
        expected.is_empty() || expected == self.settings.id
    }

    fn stamp(&self, request: &Message) -> String {
        format!("{}.{}", self.settings.born, request.header("request-id"))
    }

    fn refuse(&self, stream: &mut TcpStream, request: &Message, status: &str) -> io::Result<()> {
        let id = request.header("request-id").to_owned();
        say(format!("refuses {id} {status}"));
        let mut headers = vec![("Request-Id", id.as_str()), ("Not-Run", "1")];
        headers.extend(self.leaving());
        http::respond(stream, status, &headers, b"")
    }

    /// Runs a stream of events on an adapter.
    fn run_stream(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").to_owned();
        if !self.is_expected(request) {
            return self.refuse(stream, request, "421 Misdirected Request");
        }
        say(format!("arrives {id}"));
        let model = request.header("model").to_owned();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned());
        let version = {
            let mut state = self.state.lock().unwrap();
            loop {
                self.end_loads(&mut state);
                let Some(name) = &adapter else { break 0 };
                let Some(held) = state.adapters.get_mut(name) else {
                    drop(state);
                    return self.refuse(stream, request, "421 Misdirected Request");
                };
                let expected = request.header("expect-version");
                if held.coming.is_some() {
                    drop(state);
                    return self.refuse(stream, request, "503 Service Unavailable");
                }
                if !expected.is_empty() && expected != held.version.to_string() {
                    drop(state);
                    return self.refuse(stream, request, "421 Misdirected Request");
                }
                if state.running < self.settings.slots {
                    break state.adapters[name].version;
                }
                state = self
                    .changed
                    .wait_timeout(state, Duration::from_millis(20))
                    .unwrap()
                    .0;
            }
        };
        {
            let mut state = self.state.lock().unwrap();
            state.running += 1;
            if let Some(held) = adapter
                .as_ref()
                .and_then(|name| state.adapters.get_mut(name))
            {
                held.runs += 1;
            }
        }
        say(format!("begins {id} version={version}"));
        let outcome = self.write_events(stream, request, &id);
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        if let Some(held) = adapter
            .as_ref()
            .and_then(|name| state.adapters.get_mut(name))
        {
            held.runs -= 1;
        }
        self.changed.notify_all();
        drop(state);
        say(format!(
            "{} {id}",
            if outcome.is_ok() { "ends" } else { "drops" }
        ));
        outcome
    }

    fn write_events(&self, stream: &mut TcpStream, request: &Message, id: &str) -> io::Result<()> {
        let more = if self.leaving().is_empty() {
            ""
        } else {
            "Server-Leaving: 1\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{more}\r\n",
            self.stamp(request),
        );
        let first = request
            .header("last-event-id")
            .parse::<u64>()
            .map_or(1, |last| last + 1);
        thread::sleep(Duration::from_millis(self.settings.event_ms));
        stream.write_all(head.as_bytes())?;
        for number in first..=self.settings.events {
            if number > first {
                thread::sleep(Duration::from_millis(self.settings.event_ms));
            }
            http::write_chunk(stream, self.event(number).as_bytes())?;
        }
        http::write_chunk(stream, b"")
    }

    fn event(&self, number: u64) -> String {
        format!(
            "id: {number}\ndata: {number} of {}\n\n",
            self.settings.software
        )
    }

    /// Runs a plain request; returns whether the channel is kept.
    fn run_plain(&self, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        if !self.is_expected(request) {
            self.refuse(stream, request, "421 Misdirected Request")?;
            return Ok(true);
        }
        say(format!("runs {id}"));
        let stamp = self.stamp(request);
        let body = plain_body(&id);
        match self.settings.manner.as_str() {
            // The answer has neither a length nor chunks, and is whole.
            "endless" | "whole" => {
                thread::sleep(Duration::from_millis(self.settings.work_ms));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\r\n"
                );
                stream.write_all(&[head.as_bytes(), body.as_slice()].concat())?;
                say(format!("ends {id}"));
                Ok(false)
            }
            _ => {
                thread::sleep(Duration::from_millis(self.settings.work_ms));
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Response-Stamp", stamp.as_str()),
                ];
                http::respond(stream, "200 OK", &headers, &body)?;
                say(format!("ends {id}"));
                Ok(true)
            }
        }
    }

    /// Answers a health check with a body that goes on until the caller closes the channel, at 4 MB a second.
    fn answer_without_end(&self, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.settings.id
        );
        stream.write_all(head.as_bytes())?;
        let part = [b'x'; 40_000];
        loop {
            http::write_chunk(stream, &part)?;
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        self.end_loads(&mut state);
        let held: Vec<String> = state
            .adapters
            .iter()
            .filter(|(_, adapter)| adapter.version > 0)
            .map(|(name, adapter)| format!("\"{name}@{}\"", adapter.version))
            .collect();
        let coming: Vec<String> = state
            .adapters
            .iter()
            .filter_map(|(name, adapter)| {
                Some(format!("\"m0/{name}@{}\"", adapter.coming.as_ref()?.0))
            })
            .collect();
        format!(
            r#"{{"stage":"both","models":[{{"name":"m0","version":1,"adapters":[{}]}}],"busy":false,"sequence":{},"waiting":0,"running":{},"kv_used":0,"kv_total":200000,"handles":0,"state":"{}","coming":[{}],"at_hand":{{"in_memory":["m0"],"on_disk":["m0"]}},"born":{}}}"#,
            held.join(","),
            state.sequence,
            state.running,
            if state.is_leaving {
                "draining"
            } else {
                "ready"
            },
            coming.join(","),
            self.settings.born
        )
    }

    /// Completes the loads whose time is over. A replacement waits for the runs of its adapter.
    fn end_loads(&self, state: &mut State) {
        for (name, adapter) in &mut state.adapters {
            let Some((version, ends_at)) = &mut adapter.coming else {
                continue;
            };
            match ends_at {
                None if adapter.runs == 0 => {
                    *ends_at = Some(Instant::now() + Duration::from_millis(self.settings.load_ms));
                }
                Some(at) if *at <= Instant::now() => {
                    adapter.version = *version;
                    say(format!("holds {name}@{version}"));
                    adapter.coming = None;
                }
                _ => {}
            }
        }
    }

    fn order(&self, body: &str) -> &'static str {
        let mut state = self.state.lock().unwrap();
        self.end_loads(&mut state);
        let number = |name: &str| json_value(body, name).and_then(|text| text.parse::<u64>().ok());
        if number("precondition").is_some_and(|expected| expected != state.sequence) {
            return "409 Conflict";
        }
        let Some(name) = json_value(body, "adapter") else {
            return "200 OK";
        };
        let is_load = json_value(body, "operation").as_deref() == Some("load");
        say(format!("order {body}"));
        if !is_load {
            state.sequence += 1;
            state.adapters.remove(&name);
            return "200 OK";
        }
        let version = number("version").unwrap_or(state.newest);
        if state
            .adapters
            .get(&name)
            .is_some_and(|held| held.version == version && held.coming.is_none())
        {
            return "200 OK";
        }
        state.sequence += 1;
        let adapter = state.adapters.entry(name).or_insert(Adapter {
            version: 0,
            runs: 0,
            coming: None,
        });
        adapter.coming = Some((version, None));
        self.end_loads(&mut state);
        "202 Accepted"
    }
}

/// Returns the whole body of the answer of a plain runner.
pub fn plain_body(id: &str) -> Vec<u8> {
    let line = format!("record of {id}; ");
    let mut body = line.repeat(40).into_bytes();
    body.extend_from_slice(b"end\n");
    body
}

/// Returns the value of a field of a flat JSON object, without quotes.
fn json_value(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let value = rest.split([',', '}']).next()?;
    Some(value.trim().trim_matches('"').to_owned())
}
