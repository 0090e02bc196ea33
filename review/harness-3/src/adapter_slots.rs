//! Clients leave while their streams run, and other adapters wait for a slot of the runner.

use crate::engine::{Engine, MODEL};
use crate::fleet::Fleet;
use crate::http::Connection;
use serde_json::json;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const RUNNERS: u8 = 2;
const CALLERS: u32 = 44;
const ADAPTERS: u64 = 60;
const TRAFFIC: Duration = Duration::from_secs(20);
/// The clients leave within half the response-time goal of 500 ms.
const MAX_STAY_MS: u64 = 250;

#[derive(Default)]
struct Counts {
    sent: AtomicU32,
    complete: AtomicU32,
    left: AtomicU32,
    refused: AtomicU32,
    broken: AtomicU32,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("adapter-slots", record).await;
    let engines: Vec<Engine> = (1..=RUNNERS)
        .map(|number| Engine::new("models", &format!("runner-{number}"), fleet.server(number), 15, &fleet.record, &fleet.store))
        .collect();
    fleet.store.put(
        "op/config",
        &json!({"version": 3, "routes": [{"name": "draft", "host": "a.example", "path_prefix": "/draft/",
            "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500, "gap_aim_ms": 250,
            "priority": 1, "service": "models", "max_attempts": 2, "sticky": true, "resumable": false}],
        "services": [{"name": "models", "health_path": "/healthz", "max_connections": 250,
            "engine": engines[0].limits()}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}}),
    );
    for engine in &engines {
        if engine.start().await.is_err() {
            return 2;
        }
    }
    for number in 1..=RUNNERS {
        fleet.start_agent(number, "models");
    }
    fleet.start_entry(1, true);
    if !fleet.wait_ready(1).await {
        return 2;
    }
    sleep(Duration::from_secs(2)).await;
    let counts = Arc::new(Counts::default());
    let random = Arc::new(Mutex::new(7_u64));
    let end = Instant::now() + TRAFFIC;
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (counts, random, record, front) = (Arc::clone(&counts), Arc::clone(&random), fleet.record.clone(), fleet.front(1));
        callers.push(tokio::spawn(async move {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let draw = || {
                    let mut state = random.lock().unwrap();
                    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    *state >> 33
                };
                let (adapter, fate, stay_ms) = (draw() % ADAPTERS, draw() % 100, draw() % MAX_STAY_MS);
                // Three in ten clients leave early.
                let leaves = has_trouble && fate < 30;
                let id = format!("c{caller:02}-{number:03}");
                let Ok(stream) = TcpStream::connect(front).await else {
                    sleep(Duration::from_millis(100)).await;
                    continue;
                };
                let mut connection = Connection::new(stream);
                let body = "x".repeat(1300);
                let request = format!(
                    "POST /draft/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: {MODEL}/a{adapter}\r\n\
                     Token-Count: 646,70\r\nPrompt-Prefix: aa:93,bb:62,{caller:x}{number:x}:491\r\nDeadline-Ms: 5000\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                counts.sent.fetch_add(1, Ordering::Relaxed);
                record.line(format!("client sends {id} for a{adapter}{}", if leaves { " and will leave" } else { "" }));
                let stay = if leaves { Duration::from_millis(stay_ms) } else { Duration::from_secs(8) };
                match timeout(stay, connection.call(&request)).await {
                    Err(_) => {
                        counts.left.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("client of {id} leaves after {stay_ms} ms"));
                    }
                    Ok(answer) => {
                        record.line(format!("client gets {id}: {} complete={}", answer.status, answer.is_complete));
                        let count = match (answer.status, answer.is_complete) {
                            (200, true) => &counts.complete,
                            (429 | 503, _) => &counts.refused,
                            _ => &counts.broken,
                        };
                        count.fetch_add(1, Ordering::Relaxed);
                        if answer.status != 200 {
                            sleep(Duration::from_millis(500)).await;
                        }
                    }
                }
            }
        }));
    }
    for caller in callers {
        let _ = caller.await;
    }
    let (mut over_ordered, mut lost, mut begun) = (0, 0, 0);
    for engine in &engines {
        let state = engine.state.lock().unwrap();
        over_ordered += state.over_ordered;
        lost += state.broken_streams;
        begun += state.begun;
    }
    let load = |count: &AtomicU32| count.load(Ordering::Relaxed);
    fleet.record.line(format!(
        "SUMMARY sent={} complete={} left={} refused={} broken={} begun={begun}; orders beyond adapter_slots, each of \
         which crashed a runner: {over_ordered}; streams that these crashes broke off: {lost}",
        load(&counts.sent), load(&counts.complete), load(&counts.left), load(&counts.refused), load(&counts.broken)
    ));
    if load(&counts.complete) == 0 {
        return 2;
    }
    i32::from(over_ordered > 0)
}
