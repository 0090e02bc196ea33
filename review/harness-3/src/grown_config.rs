//! The configuration grows by many routes, and all processes are killed. The entries have links of 10 Mbit/s, as most
//! fronts of the grown installations.

use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::plain::Plain;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const ENTRIES: u8 = 2;
const ENGINES: u8 = 2;
const RUNNERS: u8 = 3;
/// 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// The routes that the operator adds, one `big_config` after the other; the site file's largest adds 1,816.
const ADDED_ROUTES: [usize; 3] = [1_816, 1_816, 340];
/// `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(15);
const REQUESTS_PER_S: u64 = 20;

struct Sent {
    at: Instant,
    is_served: bool,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("grown-config", record).await;
    fleet.store_link = Some(LINK_BYTES_PER_S);
    let engines: Vec<Engine> = (11..11 + ENGINES)
        .map(|number| {
            let name = format!("runner-{number}");
            Engine::new("models", &name, fleet.server(number), 15, &fleet.record, &fleet.store)
        })
        .collect();
    let config = |version: u64, added: usize| {
        let mut routes = vec![
            json!({"name": "order", "host": "a.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 3000,
                "target_latency_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1, "sticky": false,
                "resumable": false}),
            json!({"name": "draft", "host": "a.example", "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 6000, "target_latency_ms": 500, "priority": 1, "service": "models", "max_attempts": 2,
                "sticky": true, "resumable": true, "gap_aim_ms": 300}),
        ];
        routes.extend((0..added).map(added_route));
        json!({"version": version, "routes": routes,
            "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": false},
                {"name": "models", "health_path": "/healthz", "max_connections": 460, "protocol": "h1", "tls": false,
                "engine": engines[0].limits()}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000}})
    };
    fleet.store.put("op/config", &config(3, 0));
    for engine in &engines {
        if engine.start().await.is_err() {
            return 2;
        }
    }
    for number in 1..=RUNNERS {
        let address = fleet.server(number);
        let id = format!("i-desk-{number}");
        let mut server = Plain::new("desk", &id, address, address, &fleet.record, &fleet.store);
        server.pause = None;
        if server.start().await.is_err() {
            return 2;
        }
    }
    for number in 11..11 + ENGINES {
        fleet.start_agent(number, "models");
    }
    for entry in 1..=ENTRIES {
        if fleet.start_store_link(entry, LINK_BYTES_PER_S).await.is_err() {
            return 2;
        }
        fleet.start_entry(entry, true);
    }
    for entry in 1..=ENTRIES {
        if !fleet.wait_ready(entry).await {
            return 2;
        }
    }
    let start = Instant::now() + Duration::from_secs(1);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let total = Duration::from_secs(48);
    for number in 0..total.as_secs() * REQUESTS_PER_S {
        send(&fleet, &sent, number, start + Duration::from_millis(1_000 / REQUESTS_PER_S * number));
    }
    sleep_until(start + Duration::from_secs(3)).await;
    let (mut version, mut count) = (3, 0);
    for added in ADDED_ROUTES {
        version += 4;
        count += added;
        let grown = config(version, count);
        let bytes = grown.to_string().len();
        fleet.record.line(format!("the operator adds {added} routes: version {version}, {bytes} bytes"));
        if bytes > VALUE_BYTES {
            return 2;
        }
        fleet.store.put("op/config", &grown);
        sleep(Duration::from_secs(3)).await;
    }
    sleep_until(start + Duration::from_secs(15)).await;
    let fault = Instant::now();
    if has_trouble {
        fleet.record.line("all processes are killed");
        fleet.nodes.iter_mut().for_each(|node| node.kill());
        sleep(Duration::from_millis(1_100)).await;
        fleet.nodes.iter_mut().for_each(|node| node.restart());
        fleet.record.line("the processes start again");
    }
    let back = Instant::now();
    sleep_until(start + total + Duration::from_secs(1)).await;
    let mut ready = 0;
    for entry in 1..=ENTRIES {
        ready += u32::from(fleet.is_ready(entry).await);
    }
    sleep(Duration::from_secs(4)).await;
    let sent = sent.lock().unwrap();
    let share = |from: Instant, until: Option<Instant>| {
        let counted: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.at >= from && until.is_none_or(|until| sent.at < until))
            .collect();
        let served = counted.iter().filter(|sent| sent.is_served).count();
        (served, counted.len())
    };
    let before = share(start, Some(fault));
    let after = share(back + RECOVER, None);
    fleet.record.line(format!(
        "SUMMARY served before the fault: {} of {}; served of those sent later than recover_s after the machines were back: \
         {} of {}; entries that say they are ready at the end: {ready} of {ENTRIES}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 {
        return 2;
    }
    i32::from(after.0 * 4 < after.1)
}

/// Returns a route as the platform's examples show them; each second one is split.
fn added_route(number: usize) -> Value {
    let mut route = json!({"name": format!("r-{number:07}"), "host": "ficu95.example",
        "path_prefix": format!("/lohu{number:05}/"), "kind": "streaming", "timeout_ms": 12000,
        "target_latency_ms": 1000, "priority": 1, "max_attempts": 1, "sticky": true, "resumable": false,
        "gap_aim_ms": 300});
    if number % 2 == 0 {
        route["service"] = json!("models");
    } else {
        route["split"] = json!([{"service": "models", "weight": 90}, {"service": "desk", "weight": 10}]);
    }
    route
}

/// Sends an unsafe request at a time.
fn send(fleet: &Fleet, sent: &Arc<Mutex<Vec<Sent>>>, number: u64, at: Instant) {
    let (record, sent) = (fleet.record.clone(), Arc::clone(sent));
    let front = fleet.front(1 + (number % u64::from(ENTRIES)) as u8);
    tokio::spawn(async move {
        sleep_until(at).await;
        let id = format!("o{number:04}");
        let body = format!("{id} {}", "y".repeat(600));
        let request = format!(
            "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(format!("client sends {id}"));
        let mut status = 0;
        if let Ok(stream) = TcpStream::connect(front).await {
            let mut connection = Connection::new(stream);
            let answer = timeout(Duration::from_secs(4), connection.call(&request)).await;
            status = answer.map_or(0, |answer| answer.status);
        }
        record.line(format!("client gets {id}: {status}"));
        sent.lock().unwrap().push(Sent {
            at,
            is_served: status == 200,
        });
    });
}
