//! Runners are cut off from the machines, crash behind the cut and start again under their ids, while their answers,
//! which have no length, are on the way.

use crate::fleet::{Fleet, SERVER_PORT};
use crate::http::Connection;
use crate::link::Path;
use crate::plain::{Plain, whole_body};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const RUNNERS: u8 = 3;
const REQUESTS: u32 = 12;
const CUT: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Counts {
    whole: AtomicU32,
    truncated: AtomicU32,
    failed: AtomicU32,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("cut-answer", record).await;
    fleet.store.put(
        "op/config",
        &json!({"version": 3, "routes": [{"name": "order", "host": "a.example", "path_prefix": "/order/",
            "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2, "service": "desk",
            "max_attempts": 1}],
        "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}}),
    );
    let (mut servers, mut paths) = (Vec::new(), Vec::new());
    for number in 1..=RUNNERS {
        let listed = (fleet.ip(3, number), SERVER_PORT).into();
        let address = fleet.server(number);
        let Ok(path) = Path::start(listed, address).await else { return 2 };
        paths.push(path);
        let server = Plain::new("desk", &format!("i-desk-{number}"), address, listed, &fleet.record, &fleet.store);
        if server.start().await.is_err() {
            return 2;
        }
        servers.push(server);
    }
    fleet.start_entry(1, true);
    if !fleet.wait_ready(1).await {
        return 2;
    }
    sleep(Duration::from_secs(1)).await;
    let counts = Arc::new(Counts::default());
    // Two rounds, so that the second meets an entry with channels that have been idle.
    for round in 1..=3 {
        let mut clients = Vec::new();
        for number in 0..REQUESTS {
            let (counts, record, front) = (Arc::clone(&counts), fleet.record.clone(), fleet.front(1));
            clients.push(tokio::spawn(async move {
                let id = format!("r{round}-{number:02}");
                let Ok(stream) = TcpStream::connect(front).await else { return };
                let body = "y".repeat(600);
                let request = format!(
                    "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                record.line(format!("client sends {id}"));
                let mut connection = Connection::new(stream);
                let Ok(answer) = timeout(Duration::from_secs(4), connection.call(&request)).await else {
                    counts.failed.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("client of {id} gets nothing"));
                    return;
                };
                let whole = whole_body(&id);
                let is_whole = answer.body == whole.as_bytes();
                record.line(format!(
                    "client gets {id}: {} complete={} stamp={} body of {} bytes, the whole one has {}",
                    answer.status,
                    answer.is_complete,
                    answer.headers.get("response-stamp").map_or("-", String::as_str),
                    answer.body.len(),
                    whole.len()
                ));
                let count = match (answer.status, answer.is_complete) {
                    (200, true) if is_whole => &counts.whole,
                    (200, true) => &counts.truncated,
                    _ => &counts.failed,
                };
                count.fetch_add(1, Ordering::Relaxed);
            }));
        }
        if has_trouble && round > 1 {
            // All answers have begun, and none has ended.
            sleep(Duration::from_millis(200)).await;
            fleet.record.line("the runners are cut off");
            paths.iter().for_each(|path| path.set_cut(true));
            sleep(Duration::from_millis(10)).await;
            servers.iter().for_each(Plain::crash);
            sleep(DOWN).await;
            for server in &servers {
                if server.start().await.is_err() {
                    return 2;
                }
            }
            sleep(CUT - DOWN).await;
            fleet.record.line("the cut heals");
            paths.iter().for_each(|path| path.set_cut(false));
        }
        for client in clients {
            let _ = client.await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    let load = |count: &AtomicU32| count.load(Ordering::Relaxed);
    fleet.record.line(format!(
        "SUMMARY whole={} failed={}; successes with a part of the runner's body: {}",
        load(&counts.whole),
        load(&counts.failed),
        load(&counts.truncated)
    ));
    if load(&counts.whole) == 0 {
        return 2;
    }
    i32::from(load(&counts.truncated) > 0)
}
