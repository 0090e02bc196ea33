//! The runners of one software version leave, the store forgets its history, and all processes are killed.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http::{self, Answer},
    processes::RunnerProcess,
    runner::RunnerSettings,
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

const STREAMS: usize = 12;
/// The time limit of the clients, which is the route's `timeout_ms` too.
const TIME_LIMIT: Duration = Duration::from_millis(10_000);
const EVENTS: u64 = 30;
const EVENT_MS: u64 = 200;
/// Streams whose events come from two versions that the rule allows.
const MAX_JOINED: usize = 2;

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, 32));
    let (mut runners, mut settings, mut sides) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=2 {
        let own = RunnerSettings {
            address: fleet.app(number),
            id: format!("i-model{number}"),
            born: unix_ms(),
            slots: 32,
            adapters: vec!["a1@1".to_owned()],
            is_engine: true,
            load_ms: 250,
            events: EVENTS,
            event_ms: EVENT_MS,
            manner: "plain".to_owned(),
            work_ms: 0,
            software: format!("v{number}"),
        };
        fleet.list(&own, "drafting-models", "ready");
        runners.push(RunnerProcess::start(
            &own,
            &format!("model{number} ({})", own.software),
            &record,
        )?);
        let name = format!("side-zone-a-{number}");
        sides.push(fleet.start_agent(number, &name, "drafting-models", fleet.store_address)?);
        settings.push(own);
    }
    let mut fronts = vec![fleet.start_entry(1)?, fleet.start_entry(2)?];
    for number in 1..=2 {
        if !fleet.wait_ready(number, Duration::from_secs(8)) {
            return Err("an entry is not ready".to_owned());
        }
    }
    fleet.end_first_start();
    record.line("runners of the software versions v1 and v2 serve side by side");
    thread::sleep(Duration::from_millis(10_000));
    let addresses = [fleet.front(1), fleet.front(2)];
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let outcome = follow(addresses, number);
            for line in &outcome.lines {
                record.line(line);
            }
            outcome
        }));
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble() {
        thread::sleep(Duration::from_millis(700));
        fleet.list(&settings[0], "drafting-models", "draining");
        runners[0].leave();
        record.line("runner model1 (v1) reports draining, and the store confirms it");
        thread::sleep(Duration::from_millis(2_200));
        fleet.store.remove("servers/i-model1");
        record.line("the entry of runner model1 is removed");
        thread::sleep(Duration::from_millis(300));
        fleet.store.compact();
        record.line("the store forgets its history");
        thread::sleep(Duration::from_millis(400));
        for process in fronts.iter_mut().chain(&mut sides) {
            process.kill();
        }
        record.line("all processes of the system are killed");
        thread::sleep(Duration::from_millis(500));
        let mut again = Vec::new();
        for number in 1..=2 {
            let name = format!("side-zone-a-{number}");
            again.push(fleet.start_agent(number, &name, "drafting-models", fleet.store_address)?);
            again.push(fleet.start_entry(number)?);
        }
        sides = again;
    }
    let started_at = Instant::now();
    let (mut joined, mut resumed, mut complete) = (0, 0, 0);
    for client in clients {
        let outcome = client.join().map_err(|_| "a client panicked".to_owned())?;
        let has_both = outcome.software.len() > 1;
        joined += usize::from(has_both);
        resumed += usize::from(outcome.was_resumed);
        complete += usize::from(outcome.is_complete);
        if has_both {
            record.line(format!(
                "ORDER: the client of {} holds events of {:?} in one stream",
                outcome.id, outcome.software
            ));
        }
    }
    record.line(format!(
        "{joined} of {STREAMS} streams hold events of two software versions; {resumed} were taken up again, {complete} are complete ({:.1} s)",
        started_at.elapsed().as_secs_f64()
    ));
    for number in 1..=2 {
        for line in fleet.log_lines(
            &format!("front-zone-a-{number}"),
            &["origin_lookup", "history_read"],
        ) {
            record.line(format!("front-zone-a-{number} logged {line}"));
        }
    }
    fronts.append(&mut sides);
    let code = if complete == 0 {
        2
    } else {
        i32::from(joined > MAX_JOINED)
    };
    drop(runners);
    fleet.finish(fronts, code)
}

struct Outcome {
    id: String,
    /// The software versions that the client's events name.
    software: Vec<String>,
    was_resumed: bool,
    is_complete: bool,
    lines: Vec<String>,
}

/// Follows one stream to its end. A client takes it up again at the other entry after a broken channel, a few
/// times within its time limit, each time on a new channel, and honours `Retry-After`.
fn follow(addresses: [SocketAddr; 2], number: usize) -> Outcome {
    let deadline = Instant::now() + TIME_LIMIT;
    let first_id = format!("stream{number:02}-0");
    let mut outcome = Outcome {
        id: first_id.clone(),
        software: Vec::new(),
        was_resumed: false,
        is_complete: false,
        lines: Vec::new(),
    };
    let mut last_event = 0;
    for attempt in 0..6 {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = format!("stream{number:02}-{attempt}");
        let resumption = if last_event > 0 {
            outcome.was_resumed = true;
            format!("Last-Event-Id: {last_event}\r\nResumes: {first_id}\r\n")
        } else {
            String::new()
        };
        let request = format!(
            "POST /queue/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\nModel: m0/a1\r\n\
             Token-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:155,{number:08x}:491\r\n{resumption}\
             Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            left.as_millis()
        );
        let address = addresses[(number + attempt) % addresses.len()];
        let answer = http::ask(address, request.as_bytes(), left);
        if answer.status == 200 {
            last_event = outcome.add_events(&answer, last_event);
        }
        outcome.lines.push(format!(
            "client got {} for {id} after {:.3} s up to event {last_event}, versions {:?} {}",
            answer.status,
            answer.took.as_secs_f64(),
            outcome.software,
            answer.error
        ));
        if answer.status == 200 && answer.is_complete {
            outcome.is_complete = last_event == EVENTS;
            break;
        }
        let retry_after = answer
            .headers
            .get("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        let pause = retry_after.unwrap_or(0.3).min(left.as_secs_f64() / 3.0);
        thread::sleep(Duration::from_secs_f64(pause));
    }
    outcome
}

impl Outcome {
    /// Adds the whole events of an answer; returns the id of the last one.
    fn add_events(&mut self, answer: &Answer, mut last_event: u64) -> u64 {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        for event in text
            .split_inclusive("\n\n")
            .filter(|event| event.ends_with("\n\n"))
        {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok());
            let software = field("data: ").and_then(|data| data.split_once(" of "));
            if let (Some(id), Some((_, software))) = (id, software) {
                last_event = id;
                if !self.software.iter().any(|known| known == software) {
                    self.software.push(software.to_owned());
                }
            }
        }
        last_event
    }
}
