//! The agent of one of six model runners is killed, and clients take the streams that it carried up again.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::RunnerSettings,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const RUNNERS: u8 = 6;
const ADAPTERS: u32 = 15;
const EVENTS: u64 = 14;
const EVENT_MS: u64 = 100;
/// Time between two new streams on one adapter.
const STREAM_INTERVAL: Duration = Duration::from_millis(750);
const TIME_LIMIT: Duration = Duration::from_millis(5_000);
/// Time after which a killed process starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Fewer streams that are taken up again don't count.
const MIN_RESUMED: usize = 12;

/// One attempt of a client.
struct Attempt {
    id: String,
    sent_at: Instant,
    is_resumption: bool,
    has_events: bool,
    status: u16,
    retry_after: String,
}

type Attempts = Arc<Mutex<Vec<Attempt>>>;

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, 32));
    let (mut runners, mut agents, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=RUNNERS {
        let settings = RunnerSettings {
            address: fleet.app(number),
            id: format!("i-model{number}"),
            born: unix_ms(),
            slots: 32,
            adapters: (1..=ADAPTERS)
                .map(|adapter| format!("a{}@1", adapter_number(number, adapter)))
                .collect(),
            is_engine: true,
            load_ms: 250,
            events: EVENTS,
            event_ms: EVENT_MS,
            manner: "plain".to_owned(),
            work_ms: 0,
            software: "v1".to_owned(),
        };
        fleet.list(&settings, "drafting-models", "ready");
        runners.push(RunnerProcess::start(
            &settings,
            &format!("model{number}"),
            &fleet.quiet_record(),
        )?);
        agents.push(fleet.start_agent(
            number,
            &agent_name(number),
            "drafting-models",
            fleet.store_address,
        )?);
    }
    for number in 1..=2 {
        entries.push(fleet.start_entry(number)?);
    }
    for number in 1..=2 {
        if !fleet.wait_ready(number, Duration::from_secs(8)) {
            return Err("an entry is not ready".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(2_000));
    let addresses = [fleet.front(1), fleet.front(2)];
    let is_over = Arc::new(AtomicBool::new(false));
    let attempts = Attempts::default();
    let mut clients = Vec::new();
    for number in 1..=RUNNERS {
        for adapter in 1..=ADAPTERS {
            let name = format!("a{}", adapter_number(number, adapter));
            let (is_over, attempts) = (Arc::clone(&is_over), Arc::clone(&attempts));
            clients.push(thread::spawn(move || {
                thread::sleep(STREAM_INTERVAL * (adapter * 7 % ADAPTERS) / ADAPTERS);
                let mut streams = Vec::new();
                let mut round = 0;
                while !is_over.load(Ordering::Relaxed) {
                    round += 1;
                    let (name, attempts) = (name.clone(), Arc::clone(&attempts));
                    streams.push(thread::spawn(move || {
                        follow(addresses, &name, round, &attempts)
                    }));
                    thread::sleep(STREAM_INTERVAL);
                }
                for stream in streams {
                    let _ = stream.join();
                }
            }));
        }
    }
    thread::sleep(Duration::from_millis(6_000));
    if has_trouble() {
        record.line("the process of side-zone-a-1 is killed (SIGKILL)");
        agents[0].kill();
        thread::sleep(RESTART_DELAY);
        fleet.end_first_start();
        agents[0] = fleet.start_agent(1, &agent_name(1), "drafting-models", fleet.store_address)?;
    }
    thread::sleep(Duration::from_millis(5_000));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let attempts = attempts.lock().unwrap();
    let (resumed, new): (Vec<&Attempt>, Vec<&Attempt>) =
        attempts.iter().partition(|attempt| attempt.is_resumption);
    let went_on = resumed.iter().filter(|attempt| attempt.has_events).count();
    let began = new.iter().filter(|attempt| attempt.has_events).count();
    let first = attempts.first().map(|attempt| attempt.sent_at);
    for attempt in &resumed {
        let at = first.map_or(0.0, |first| {
            attempt
                .sent_at
                .saturating_duration_since(first)
                .as_secs_f64()
        });
        record.line(format!(
            "client took up {} {at:.3} s after the first stream: status {}, went on={}, Retry-After {:?}",
            attempt.id, attempt.status, attempt.has_events, attempt.retry_after
        ));
    }
    let shares = (
        went_on as f64 / resumed.len().max(1) as f64,
        began as f64 / new.len().max(1) as f64,
    );
    record.line(format!(
        "LOST: of {} streams that clients took up again, {went_on} went on; of {} new ones {began} began",
        resumed.len(),
        new.len()
    ));
    let is_broken = resumed.len() >= MIN_RESUMED && shares.0 < shares.1 / 2.0;
    drop(runners);
    entries.append(&mut agents);
    fleet.finish(entries, if began == 0 { 2 } else { i32::from(is_broken) })
}

fn adapter_number(runner: u8, adapter: u32) -> u32 {
    u32::from(runner) * 100 + adapter
}

fn agent_name(number: u8) -> String {
    format!("side-zone-a-{number}")
}

/// Follows one stream. If its channel breaks after an event, the client takes it up again once, at the other entry.
fn follow(addresses: [SocketAddr; 2], adapter: &str, round: usize, attempts: &Attempts) {
    let started_at = Instant::now();
    let id = format!("{adapter}-{round:03}");
    let answer = send(addresses[round % 2], &id, adapter, "", TIME_LIMIT);
    let events = count_events(&answer.body);
    push(attempts, &id, started_at, false, &answer);
    if answer.status != 200 || answer.is_complete || events == 0 {
        return;
    }
    let left = TIME_LIMIT.saturating_sub(started_at.elapsed());
    let headers = format!("Last-Event-Id: {events}\r\nResumes: {id}\r\n");
    let sent_at = Instant::now();
    let again = send(
        addresses[(round + 1) % 2],
        &format!("{id}-again"),
        adapter,
        &headers,
        left,
    );
    push(attempts, &id, sent_at, true, &again);
}

fn push(
    attempts: &Attempts,
    id: &str,
    sent_at: Instant,
    is_resumption: bool,
    answer: &http::Answer,
) {
    attempts.lock().unwrap().push(Attempt {
        id: id.to_owned(),
        sent_at,
        is_resumption,
        has_events: answer.status == 200 && !answer.body.is_empty(),
        status: answer.status,
        retry_after: answer
            .headers
            .get("retry-after")
            .cloned()
            .unwrap_or_default(),
    });
}

fn send(
    address: SocketAddr,
    id: &str,
    adapter: &str,
    headers: &str,
    left: Duration,
) -> http::Answer {
    let request = format!(
        "POST /queue/x HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\nModel: m0/{adapter}\r\n\
         Token-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:155,{id}:491\r\n{headers}Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        left.as_millis()
    );
    http::ask(address, request.as_bytes(), left)
}

fn count_events(body: &[u8]) -> usize {
    String::from_utf8_lossy(body).matches("\n\n").count()
}
