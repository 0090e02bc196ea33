//! A heartbeat of a runner is done late by the platform's store, after the runner has reported that it drains.

use crate::fleet::Fleet;
use crate::http::Connection;
use crate::plain::{Plain, whole_body};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const DRAIN: Duration = Duration::from_secs(2);
const REQUESTS: u64 = 30;

#[derive(Default)]
struct Counts {
    served: AtomicU32,
    failed: AtomicU32,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("late-heartbeat", record).await;
    fleet.store.put(
        "op/config",
        &json!({"version": 3, "routes": [{"name": "order", "host": "a.example", "path_prefix": "/order/",
            "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "desk",
            "max_attempts": 1}],
        "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}}),
    );
    let mut servers = Vec::new();
    for number in 1..=3 {
        let address = fleet.server(number);
        let mut server = Plain::new("desk", &format!("i-desk-{number}"), address, address, &fleet.record, &fleet.store);
        server.pause = None;
        server.work = Duration::from_millis(120);
        if server.start().await.is_err() {
            return 2;
        }
        servers.push(server);
    }
    fleet.start_entry(1, true);
    if !fleet.wait_ready(1).await {
        return 2;
    }
    let counts = Arc::new(Counts::default());
    sleep(Duration::from_millis(500)).await;
    let warm = Instant::now();
    for number in 0..12 {
        send(&fleet, &counts, format!("before-{number:02}"), warm + Duration::from_millis(40 * number));
    }
    sleep(Duration::from_secs(2)).await;
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let leaving = &servers[0];
    // The heartbeat of 0 s gets no answer. With the disruption it is done 5.9 s later.
    let heartbeat = leaving.next_row();
    fleet.record.line(format!("{} writes its heartbeat, sequence={}", leaving.id, heartbeat["sequence"]));
    if !has_trouble {
        leaving.put_row(&heartbeat);
    }
    // Those of 1.2 s and 2.4 s are answered. They change nothing but the sequence, so that the entry stays as it is.
    leaving.next_row();
    leaving.next_row();
    sleep_until(at(3_200)).await;
    leaving.drain();
    let confirmed = Instant::now();
    // Those of 4.4 s and 5.6 s repeat that it drains.
    leaving.next_row();
    leaving.next_row();
    sleep_until(at(5_900)).await;
    if has_trouble {
        leaving.put_row(&heartbeat);
    }
    for number in 0..REQUESTS {
        send(&fleet, &counts, format!("after-{number:02}"), at(6_050 + 8 * number));
    }
    // It has served for drain_ms after its report and a little longer.
    sleep_until(at(6_150)).await;
    let lost = leaving.running();
    leaving.crash();
    fleet.store.remove(&format!("servers/{}", leaving.id));
    fleet.record.line(format!("{} has left", leaving.id));
    sleep_until(at(9_000)).await;
    let late = leaving.arrivals_after(confirmed + DRAIN);
    fleet.record.line(format!(
        "SUMMARY served={} failed={}; requests that reached the runner later than drain_ms after the store had \
         confirmed that it drains: {} {late:?}; of these it had not answered when it left: {lost}",
        counts.served.load(Ordering::Relaxed),
        counts.failed.load(Ordering::Relaxed),
        late.len()
    ));
    if counts.served.load(Ordering::Relaxed) == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}

/// Sends an unsafe request at a time.
fn send(fleet: &Fleet, counts: &Arc<Counts>, id: String, at: Instant) {
    let (record, counts, front) = (fleet.record.clone(), Arc::clone(counts), fleet.front(1));
    tokio::spawn(async move {
        sleep_until(at).await;
        let Ok(stream) = TcpStream::connect(front).await else { return };
        let body = "y".repeat(600);
        let request = format!(
            "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(format!("client sends {id}"));
        let mut connection = Connection::new(stream);
        let answer = timeout(Duration::from_secs(4), connection.call(&request)).await;
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(format!("client gets {id}: {status}"));
        let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.body == whole_body(&id).as_bytes());
        let count = if is_served { &counts.served } else { &counts.failed };
        count.fetch_add(1, Ordering::Relaxed);
    });
}
