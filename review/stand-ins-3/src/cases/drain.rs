//! A model runner leaves without saying so, while requests wait for it at its agent.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::RunnerSettings,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const SLOTS: u32 = 8;
const REQUESTS: usize = 90;
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for a request to pass from the entry to the runner.
const SLACK: Duration = Duration::from_millis(100);
/// How long the runner serves after its removal: `drain_ms` and a little longer.
const LINGER: Duration = Duration::from_millis(3_500);

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, SLOTS));
    let mut runners = Vec::new();
    let mut processes = Vec::new();
    for number in 1..=2 {
        let settings = RunnerSettings {
            address: fleet.app(number),
            id: format!("i-model{number}"),
            born: unix_ms(),
            slots: SLOTS as usize,
            adapters: vec!["a1@1".to_owned()],
            is_engine: true,
            load_ms: 250,
            events: 14,
            event_ms: 70,
            manner: "plain".to_owned(),
            work_ms: 0,
            software: "v1".to_owned(),
        };
        fleet.list(&settings, "drafting-models", "ready");
        runners.push(RunnerProcess::start(&settings, &format!("model{number}"), &record)?);
        let name = format!("side-zone-a-{number}");
        processes.push(fleet.start_agent(number, &name, "drafting-models", fleet.store_address)?);
    }
    processes.push(fleet.start_entry(1)?);
    if !fleet.wait_ready(1, Duration::from_secs(8)) {
        return Err("the entry is not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(5_000));
    let front = fleet.front(1);
    let mut clients = Vec::new();
    record.line(format!("a burst of {REQUESTS} deferred requests begins"));
    for number in 0..REQUESTS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("request{number:04}");
            let request = format!(
                "POST /deferred/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\n\
                 Model: m0/a1\r\nToken-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:155,{number:08x}:491\r\n\
                 Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n"
            );
            let answer = http::ask(front, request.as_bytes(), Duration::from_secs(11));
            record.line(format!(
                "client got {} for {id} after {:.3} s, complete={} {}",
                answer.status,
                answer.took.as_secs_f64(),
                answer.is_complete,
                answer.error
            ));
            (id, answer)
        }));
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(Duration::from_millis(300));
    let removed_at = Instant::now();
    if has_trouble() {
        fleet.store.remove("servers/i-model1");
        record.line("the store confirms that the entry of runner model1 is removed");
        thread::sleep(LINGER);
        record.line("runner model1 exits");
        runners[0].kill();
    }
    let mut cut = Vec::new();
    let mut complete = 0;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client panicked".to_owned())?;
        if answer.status == 200 && !answer.is_complete {
            cut.push(id);
        } else if answer.status == 200 {
            complete += 1;
        }
    }
    let mut late = Vec::new();
    if has_trouble() {
        for (at, line) in runners[0].said.lock().unwrap().iter() {
            if let Some(id) = line.strip_prefix("arrives ")
                && *at > removed_at + DRAIN + SLACK
            {
                late.push((*at - removed_at, id.to_owned()));
            }
        }
    }
    for (after, id) in &late {
        let fate = if cut.contains(id) { "its answer was cut" } else { "it was served" };
        record.line(format!(
            "DRAIN: {id} reached model1 {:.3} s after the confirmation; {fate}",
            after.as_secs_f64()
        ));
    }
    record.line(format!(
        "{} requests reached model1 later than drain_ms after the confirmation; {} answers were complete, {} cut",
        late.len(),
        complete,
        cut.len()
    ));
    let code = if complete == 0 { 2 } else { i32::from(!late.is_empty()) };
    fleet.finish(processes, code)
}
