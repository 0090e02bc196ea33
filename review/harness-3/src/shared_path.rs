//! The request of one caller crashes each runner that begins to run it; other callers send sound requests with the same
//! path, and no body.

use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::plain::Plain;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

const RUNNERS: u8 = 6;
/// Model runners, which get no requests here; their agents share the tenants' allowances out.
const ENGINES: u8 = 2;
const TRAFFIC: Duration = Duration::from_secs(30);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
const PATH: &str = "/lookup/2f";
/// The rule allows three retries.
const MAX_RETRIES: usize = 3;

#[derive(Default)]
struct Counts {
    served: AtomicU32,
    refused: AtomicU32,
    failed: AtomicU32,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("shared-path", record).await;
    let engines: Vec<Engine> = (11..11 + ENGINES)
        .map(|number| {
            let name = format!("runner-{number}");
            Engine::new("models", &name, fleet.server(number), 15, &fleet.record, &fleet.store)
        })
        .collect();
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2, "service": "registry",
            "max_attempts": attempts, "public": false})
    };
    let tenant = |name: &str| {
        json!({"name": name, "api_keys": [format!("key-of-{name}")], "priority": 1, "unit": "token_count",
            "plain_tokens": 200, "rate_per_s": 362516, "burst": 362516})
    };
    fleet.store.put(
        "op/config",
        &json!({"version": 3, "routes": [route("lookup", "safe", 2), route("register", "unsafe", 1)],
        "services": [{"name": "registry", "health_path": "/healthz", "max_connections": 200},
            {"name": "models", "health_path": "/healthz", "max_connections": 250, "engine": engines[0].limits()}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [tenant("deadly"), tenant("sound")]}),
    );
    let mut servers = Vec::new();
    for number in 1..=RUNNERS {
        let address = fleet.server(number);
        let id = format!("i-registry-{number}");
        let mut server = Plain::new("registry", &id, address, address, &fleet.record, &fleet.store);
        server.pause = None;
        server.deadly = Some((PATH.to_owned(), "deadly".to_owned()));
        if server.start().await.is_err() {
            return 2;
        }
        servers.push(server);
    }
    for engine in &engines {
        if engine.start().await.is_err() {
            return 2;
        }
    }
    for number in 11..11 + ENGINES {
        fleet.start_agent(number, "models");
    }
    for entry in 1..=2 {
        fleet.start_entry(entry, true);
    }
    if !fleet.wait_ready(1).await || !fleet.wait_ready(2).await {
        return 2;
    }
    let counts: [Arc<Counts>; 2] = [Arc::default(), Arc::default()];
    let start = Instant::now() + Duration::from_secs(4);
    let total = TRAFFIC.as_millis() as u64;
    for number in 0..total / 100 {
        let at = start + Duration::from_millis(100 * number);
        send(&fleet, &counts[1], "sound", "lookup", format!("sound-{number:03}"), at, number);
        send(&fleet, &counts[1], "sound", "register", format!("order-{number:03}"), at, number);
    }
    // The request comes again, at any machine.
    if has_trouble {
        for number in 0..total / 2_000 {
            let at = start + Duration::from_millis(50 + 2_000 * number);
            send(&fleet, &counts[0], "deadly", "lookup", format!("deadly-{number:02}"), at, number);
        }
    }
    sleep_until(start + TRAFFIC + Duration::from_secs(4)).await;
    let mut crashes = Vec::new();
    let (mut arrivals, mut broken_off) = (Vec::new(), 0);
    for server in &servers {
        let (times, broken) = server.crashes();
        crashes.extend(times);
        broken_off += broken;
        arrivals.extend(server.arrivals_of("deadly"));
    }
    crashes.sort();
    let third = crashes.get(2).copied();
    let mut retries: Vec<String> = arrivals
        .into_iter()
        .filter(|(at, _)| third.is_some_and(|third| *at > third + STABLE_WINDOW))
        .map(|(_, request)| request)
        .collect();
    retries.sort();
    retries.dedup();
    let load = |count: &AtomicU32| count.load(Ordering::Relaxed);
    fleet.record.line(format!(
        "SUMMARY sound: served={} refused={} failed={}; crashes {}; sound requests that these broke off: {broken_off}; \
         retries of the deadly request that reached runners later than stable_window_ms after the third crash: {} {retries:?}",
        load(&counts[1].served),
        load(&counts[1].refused),
        load(&counts[1].failed),
        crashes.len(),
        retries.len()
    ));
    if load(&counts[1].served) == 0 {
        return 2;
    }
    i32::from(retries.len() > MAX_RETRIES)
}

/// Sends a request of a caller at a time.
fn send(fleet: &Fleet, counts: &Arc<Counts>, caller: &'static str, route: &'static str, id: String, at: Instant, number: u64) {
    let (record, counts) = (fleet.record.clone(), Arc::clone(counts));
    let front = fleet.front(1 + (number % 2) as u8);
    tokio::spawn(async move {
        sleep_until(at).await;
        let Ok(stream) = TcpStream::connect(front).await else { return };
        let (start, body) = match route {
            // To see that the path is what matters.
            "lookup" if caller == "sound" && std::env::var("TROUBLE").as_deref() == Ok("apart") => {
                ("GET /lookup/3a HTTP/1.1".to_owned(), String::new())
            }
            "lookup" => (format!("GET {PATH} HTTP/1.1"), String::new()),
            _ => ("POST /register/1 HTTP/1.1".to_owned(), format!("{id} {}", "y".repeat(600))),
        };
        let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let request = format!(
            "{start}\r\nHost: a.example\r\nRequest-Id: {id}\r\nX-Api-Key: key-of-{caller}\r\nDeadline-Ms: 3000\r\n\
             {length}\r\n{body}"
        );
        record.line(format!("client {caller} sends {id}"));
        let mut connection = Connection::new(stream);
        let answer = timeout(Duration::from_secs(4), connection.call(&request)).await;
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(format!("client {caller} gets {id}: {status}"));
        let count = match status {
            200 => &counts.served,
            429 | 503 => &counts.refused,
            _ => &counts.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    });
}
