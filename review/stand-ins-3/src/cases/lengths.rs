//! A faulty runner spoils a few of its answers: they come in chunks and name another length.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::{RunnerSettings, plain_body},
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

const CLIENTS: u32 = 10;
const REQUESTS: u32 = 20;
const EVENTS: u64 = 14;

/// What one client saw on its kept channel.
#[derive(Default)]
struct Seen {
    answers: u32,
    broken: u32,
    lines: Vec<String>,
}

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, 32));
    let manner = if has_trouble() { "two-lengths" } else { "plain" };
    let mut runners = Vec::new();
    let desk = RunnerSettings {
        address: fleet.desk(1),
        id: "i-desk1".to_owned(),
        born: unix_ms(),
        slots: 6,
        adapters: Vec::new(),
        is_engine: false,
        load_ms: 0,
        events: 0,
        event_ms: 0,
        manner: manner.to_owned(),
        work_ms: 20,
        software: "v1".to_owned(),
    };
    fleet.list(&desk, "orders-desk", "ready");
    runners.push(RunnerProcess::start(&desk, "desk1", &record)?);
    let model = RunnerSettings {
        address: fleet.app(1),
        id: "i-model1".to_owned(),
        slots: 32,
        adapters: vec!["a1@1".to_owned()],
        is_engine: true,
        load_ms: 250,
        events: EVENTS,
        event_ms: 20,
        ..desk.clone()
    };
    fleet.list(&model, "drafting-models", "ready");
    runners.push(RunnerProcess::start(&model, "model1", &record)?);
    let mut processes = vec![fleet.start_agent(1, "side-zone-a-1", "drafting-models", fleet.store_address)?];
    processes.push(fleet.start_entry(1)?);
    if !fleet.wait_ready(1, Duration::from_secs(8)) {
        return Err("the entry is not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(2_000));
    let front = fleet.front(1);
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        clients.push(thread::spawn(move || follow(front, client)));
    }
    let mut total = Seen::default();
    for client in clients {
        let seen = client.join().map_err(|_| "a client panicked".to_owned())?;
        total.answers += seen.answers;
        total.broken += seen.broken;
        for line in seen.lines {
            record.line(line);
        }
    }
    record.line(format!("{} answers were read, {} break MIXED or ORDER", total.answers, total.broken));
    drop(runners);
    let code = match total {
        Seen { answers: 0, .. } => 2,
        Seen { broken: 0, .. } => 0,
        _ => 1,
    };
    fleet.finish(processes, code)
}

/// Sends requests one after the other on one channel: orders, and every second client streams.
fn follow(front: SocketAddr, client: u32) -> Seen {
    let mut seen = Seen::default();
    let is_stream = client % 2 == 1;
    let Ok(mut stream) = TcpStream::connect(front) else {
        return seen;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut buffer = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("client{client:02}x{:04}", client * REQUESTS + number);
        let (path, headers) = if is_stream {
            ("draft", format!("Model: m0/a1\r\nToken-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:155,{id}:491\r\n"))
        } else {
            ("order", String::new())
        };
        let request = format!(
            "POST /{path}/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\n{headers}\
             Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            seen.lines.push(format!("client {client}: the channel was closed before {id}"));
            break;
        }
        let outcome = http::read_message(&mut stream, &mut buffer, |_| {});
        let answer = match outcome {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                seen.lines.push(format!("client {client}: the channel was closed without an answer to {id}"));
                break;
            }
            Err(error) => {
                seen.lines.push(format!("client {client}: no answer to {id}: {error}"));
                break;
            }
        };
        seen.answers += 1;
        if !answer.first.starts_with("HTTP/1.1 ") {
            seen.broken += 1;
            let start: String = answer.first.chars().take(60).collect();
            seen.lines.push(format!("MIXED: after {id} was sent, the channel brings bytes that are no answer: {start:?}"));
            break;
        }
        if answer.status() != 200 || !answer.is_complete {
            seen.lines.push(format!("client got {} for {id}, complete={}", answer.status(), answer.is_complete));
            if answer.is_complete { continue } else { break }
        }
        if answer.header("request-id") != id {
            seen.broken += 1;
            seen.lines.push(format!("MIXED: {id} got the answer to {}", answer.header("request-id")));
            break;
        }
        if is_stream {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.matches("\n\n").count() as u64;
            if events < EVENTS {
                seen.broken += 1;
                seen.lines.push(format!("ORDER: the stream of {id} ends as complete after {events} of {EVENTS} events"));
            }
        } else if answer.body != plain_body(&id) {
            seen.broken += 1;
            seen.lines.push(format!(
                "MIXED: {id} got a success with {} of {} bytes of the runner's body",
                answer.body.len(),
                plain_body(&id).len()
            ));
        }
    }
    seen
}
