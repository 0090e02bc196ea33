//! All processes are killed while streams run, the runners of their software version leave, and the store forgets
//! its history. The clients take their streams up again.

use crate::engine::{Engine, MODEL};
use crate::fleet::Fleet;
use crate::http::{Answer, Connection};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const RUNNERS: u8 = 8;
/// The runners of the older software version, which leave: a quarter.
const OLD: usize = 2;
const CLIENTS: u32 = 72;
/// The time limit of the clients and of their route, as in the sheet of strids-riga.
const LIMIT: Duration = Duration::from_secs(15);

/// What the clients saw.
#[derive(Default)]
struct Seen {
    complete: u32,
    broken: u32,
    refused: u32,
    resumed: u32,
    /// Streams with events of two software versions.
    mixed: Vec<String>,
}

pub async fn run(record: &str, has_trouble: bool) -> i32 {
    let mut fleet = Fleet::new("forgotten-versions", record).await;
    let mut engines = Vec::new();
    for number in 1..=RUNNERS {
        let name = format!("runner-{number}");
        let mut engine = Engine::new("models", &name, fleet.server(number), 15, &fleet.record, &fleet.store);
        engine.software = if usize::from(number) <= OLD { "v1" } else { "v2" };
        engine.events = 57;
        engine.steps_per_event = 8;
        engines.push(engine);
    }
    fleet.store.put(
        "op/config",
        &json!({"version": 3, "routes": [{"name": "summary", "host": "a.example", "path_prefix": "/summary/",
            "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "gap_aim_ms": 300,
            "priority": 1, "service": "models", "max_attempts": 2, "sticky": true, "resumable": true}],
        "services": [{"name": "models", "health_path": "/healthz", "max_connections": 370,
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
    for entry in 1..=2 {
        fleet.start_entry(entry, true);
    }
    if !fleet.wait_ready(1).await || !fleet.wait_ready(2).await {
        return 2;
    }
    // Runners of both versions have served side by side for a while.
    sleep(Duration::from_secs(17)).await;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let fronts = [fleet.front(1), fleet.front(2)];
        let (record, seen) = (fleet.record.clone(), Arc::clone(&seen));
        clients.push(tokio::spawn(client(number, fronts, record, seen)));
    }
    sleep(Duration::from_millis(500)).await;
    engines[..OLD].iter().for_each(Engine::drain);
    sleep(Duration::from_millis(1_400)).await;
    if has_trouble {
        fleet.record.line("all processes are killed");
        fleet.nodes.iter_mut().for_each(|node| node.kill());
    }
    sleep(Duration::from_millis(600)).await;
    engines[..OLD].iter().for_each(Engine::leave);
    sleep(Duration::from_millis(100)).await;
    // To see what the kill does alone.
    let is_kill_only = std::env::var("TROUBLE").as_deref() == Ok("kill");
    if has_trouble {
        if !is_kill_only {
            fleet.store.forget_history();
            fleet.record.line("the store forgets its history");
        }
        sleep(Duration::from_millis(400)).await;
        fleet.nodes.iter_mut().for_each(|node| node.restart());
        fleet.record.line("the processes start again");
    }
    for client in clients {
        let _ = client.await;
    }
    let seen = seen.lock().unwrap();
    fleet.record.line(format!(
        "SUMMARY complete={} broken={} refused={} taken up again={}; streams with events of two software versions: {} {:?}",
        seen.complete,
        seen.broken,
        seen.refused,
        seen.resumed,
        seen.mixed.len(),
        seen.mixed
    ));
    if seen.complete == 0 {
        return 2;
    }
    // The rule allows two.
    i32::from(seen.mixed.len() > 2)
}

/// Sends a request and takes its stream up again after a broken channel, until its time limit.
async fn client(number: u32, fronts: [SocketAddr; 2], record: crate::fleet::Record, seen: Arc<Mutex<Seen>>) {
    let end = Instant::now() + LIMIT;
    let first = format!("s{number:02}");
    let mut versions: BTreeSet<String> = BTreeSet::new();
    let (mut last, mut tries) = (0_u32, 0_u32);
    while tries < 8 && Instant::now() + Duration::from_millis(300) < end {
        let id = if tries == 0 { first.clone() } else { format!("{first}-{tries}") };
        let front = fronts[((number + tries) % 2) as usize];
        let resumption = if last > 0 {
            format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
        } else {
            String::new()
        };
        let left = end - Instant::now();
        let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(front)).await else {
            // Nothing was sent: the machine is down.
            sleep(Duration::from_millis(500)).await;
            continue;
        };
        tries += 1;
        let body = "x".repeat(1300);
        let request = format!(
            "POST /summary/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nModel: {MODEL}/a{}\r\n\
             Token-Count: 1460,171\r\nPrompt-Prefix: aa:200,bb:150,{number:x}c:1110\r\n{resumption}Deadline-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            number % 48,
            left.as_millis(),
            body.len()
        );
        record.line(format!("client sends {id} after={last}"));
        let mut connection = Connection::new(stream);
        let Ok(answer) = timeout(left, connection.call(&request)).await else {
            break;
        };
        if last > 0 && answer.status == 200 {
            seen.lock().unwrap().resumed += 1;
        }
        let (got, events) = read_events(&answer);
        record.line(format!(
            "client gets {id}: {} complete={} events {:?} of {:?}",
            answer.status,
            answer.is_complete,
            events.first().zip(events.last()),
            got
        ));
        versions.extend(got);
        last = events.last().copied().unwrap_or(last);
        if answer.status == 200 && answer.is_complete {
            seen.lock().unwrap().complete += 1;
            break;
        }
        match answer.status {
            429 | 503 => seen.lock().unwrap().refused += 1,
            _ => seen.lock().unwrap().broken += 1,
        }
        let wait = answer.headers.get("retry-after").and_then(|wait| wait.parse().ok()).unwrap_or(0.3);
        sleep(Duration::from_secs_f64(wait)).await;
    }
    if versions.len() > 1 {
        record.line(format!("{first} holds events of {versions:?}"));
        seen.lock().unwrap().mixed.push(first);
    }
}

/// Returns the software versions and the ids of the whole events of an answer.
fn read_events(answer: &Answer) -> (BTreeSet<String>, Vec<u32>) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let (mut versions, mut ids) = (BTreeSet::new(), Vec::new());
    for event in whole.split("\n\n") {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                ids.extend(id.parse::<u32>());
            }
            if let Some(data) = line.strip_prefix("data: ") {
                versions.extend(data.split(' ').next().map(str::to_owned));
            }
        }
    }
    (versions, ids)
}
