//! New versions of adapters are announced while the machine of an agent stands still.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::RunnerSettings,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ADAPTERS: usize = 15;
const SIDES: u8 = 2;
const FREEZE: Duration = Duration::from_millis(4_000);
/// `version_ms` of the site.
const VERSION_BOUND: Duration = Duration::from_millis(5_000);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time between two requests for one adapter.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Allowed for the record's own delays.
const SLACK: Duration = Duration::from_millis(100);

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, 32));
    let names: Vec<String> = (1..=ADAPTERS).map(|number| format!("a{number}")).collect();
    let held: Vec<String> = names.iter().map(|name| format!("{name}@1")).collect();
    let mut runners = Vec::new();
    let mut processes = Vec::new();
    for number in 1..=SIDES {
        let settings = RunnerSettings {
            address: fleet.app(number),
            id: format!("i-model{number}"),
            born: unix_ms(),
            slots: 32,
            adapters: held.clone(),
            is_engine: true,
            load_ms: 250,
            events: 14,
            event_ms: 100,
            manner: "plain".to_owned(),
            work_ms: 0,
            software: "v1".to_owned(),
        };
        fleet.list(&settings, "drafting-models", "ready");
        runners.push(RunnerProcess::start(
            &settings,
            &format!("model{number}"),
            &record,
        )?);
        let name = format!("side-zone-a-{number}");
        processes.push(fleet.start_agent(number, &name, "drafting-models", fleet.store_address)?);
    }
    processes.push(fleet.start_entry(1)?);
    if !fleet.wait_ready(1, Duration::from_secs(8)) {
        return Err("the entry is not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let (name, is_over, front) = (name.clone(), Arc::clone(&is_over), fleet.front(1));
        let answered = Arc::clone(&answered);
        clients.push(thread::spawn(move || {
            thread::sleep(REQUEST_INTERVAL * index as u32 / ADAPTERS as u32);
            let mut number = 0;
            let mut running = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{name}-{number:04}");
                let request = format!(
                    "POST /draft/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\n\
                     Model: m0/{name}\r\nToken-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:155,{number:04x}{index:04x}:491\r\n\
                     Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
                );
                let answered = Arc::clone(&answered);
                running.push(thread::spawn(move || {
                    let answer = http::ask(front, request.as_bytes(), Duration::from_secs(6));
                    if answer.status == 200 && answer.is_complete {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                }));
                thread::sleep(REQUEST_INTERVAL);
            }
            for request in running {
                let _ = request.join();
            }
        }));
    }
    // The runners and the averages that the agents keep of them settle.
    thread::sleep(Duration::from_millis(4_000));
    let mut thawed_at = None;
    if has_trouble() {
        record.line("the machine side-zone-a-1 freezes (SIGSTOP)");
        processes[0].signal("STOP");
    }
    let frozen_at = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let mut confirmed = BTreeMap::new();
    for name in &names {
        let row = format!(r#"{{"model":"m0","adapter":"{name}","version":2}}"#);
        fleet.store.put(&format!("op/version/m0.{name}"), &row);
        confirmed.insert(name.clone(), Instant::now());
    }
    record.line(format!(
        "the store confirms version 2 of {ADAPTERS} adapters"
    ));
    if has_trouble() {
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        record.line("the machine side-zone-a-1 wakes (SIGCONT)");
        processes[0].signal("CONT");
        thawed_at = Some(Instant::now());
    }
    thread::sleep(Duration::from_millis(6_500));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    for (number, runner) in runners.iter().enumerate() {
        for (at, line) in runner.said.lock().unwrap().iter() {
            let Some(rest) = line.strip_prefix("begins ") else {
                continue;
            };
            let Some((id, "version=1")) = rest.split_once(' ') else {
                continue;
            };
            let name = id.split('-').next().unwrap_or_default();
            let after = at.saturating_duration_since(confirmed[name]);
            // The machine of runner model1 is in touch again after the stable window.
            let is_in_touch = number > 0
                || thawed_at.is_none_or(|thawed_at| *at > thawed_at + STABLE_WINDOW + SLACK);
            if after > VERSION_BOUND + SLACK && is_in_touch {
                late += 1;
                let since_thaw = thawed_at
                    .map(|thawed_at| at.saturating_duration_since(thawed_at).as_secs_f64());
                record.line(format!(
                    "VERSION: {id} began on version 1 at model{} {:.3} s after the confirmation of version 2, {since_thaw:?} s after the thaw",
                    number + 1,
                    after.as_secs_f64()
                ));
            }
        }
    }
    let answered = answered.load(Ordering::Relaxed);
    record.line(format!(
        "{late} requests began on the older version too late; {answered} streams were complete"
    ));
    let code = if answered == 0 {
        2
    } else {
        i32::from(late > 0)
    };
    drop(runners);
    fleet.finish(processes, code)
}
