//! A runner in trouble answers health checks with a body without end.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::RunnerSettings,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ENTRIES: u8 = 2;
const DESKS: u8 = 3;
/// `memory_mb` of the settings. A process that exceeds it is killed.
const MEMORY_MB: u64 = 260;
/// Ends of one process that the rule allows, less one.
const MAX_ENDS: usize = 3;
const CLIENTS: u32 = 28;
/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(95);
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    fleet.store.put("op/config", &configuration(5, 32));
    let mut runners = Vec::new();
    for number in 1..=DESKS {
        let is_in_trouble = number == 1 && has_trouble();
        let settings = RunnerSettings {
            address: fleet.desk(number),
            id: format!("i-desk{number}"),
            born: unix_ms(),
            slots: 6,
            adapters: Vec::new(),
            is_engine: false,
            load_ms: 0,
            events: 0,
            event_ms: 0,
            manner: if is_in_trouble { "endless" } else { "whole" }.to_owned(),
            work_ms: 20,
            software: "v1".to_owned(),
        };
        fleet.list(&settings, "orders-desk", "ready");
        runners.push(RunnerProcess::start(
            &settings,
            &format!("desk{number}"),
            &fleet.quiet_record(),
        )?);
    }
    let mut entries = Vec::new();
    for number in 1..=ENTRIES {
        entries.push(fleet.start_entry(number)?);
    }
    for number in 1..=ENTRIES {
        if !fleet.wait_ready(number, Duration::from_secs(8)) {
            return Err("an entry is not ready".to_owned());
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let front = fleet.front(1 + (client % u32::from(ENTRIES)) as u8);
        let (is_over, served, cut) = (Arc::clone(&is_over), Arc::clone(&served), Arc::clone(&cut));
        clients.push(thread::spawn(move || {
            thread::sleep(REQUEST_INTERVAL * client / CLIENTS);
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let request = format!(
                    "GET /lookup/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: client{client:02}-{number:04}\r\n\
                     Deadline-Ms: 3000\r\n\r\n"
                );
                let answer = http::ask(front, request.as_bytes(), Duration::from_secs(4));
                if answer.status == 200 && answer.is_complete {
                    served.fetch_add(1, Ordering::Relaxed);
                } else if answer.status == 0 {
                    cut.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(REQUEST_INTERVAL);
            }
        }));
    }
    let started_at = Instant::now();
    let mut ends = vec![0; entries.len()];
    let mut peaks_mb = vec![0; entries.len()];
    while started_at.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        for index in 0..entries.len() {
            let memory_mb = entries[index].memory_mb();
            peaks_mb[index] = peaks_mb[index].max(memory_mb);
            if memory_mb > MEMORY_MB {
                ends[index] += 1;
                record.line(format!(
                    "{} has {memory_mb} MB of {MEMORY_MB} MB, and is killed as on the platform ({} times so far)",
                    entries[index].name, ends[index]
                ));
                entries[index].kill();
                thread::sleep(RESTART_DELAY);
                entries[index] = fleet.start_entry(1 + index as u8)?;
            }
        }
        if ends.iter().all(|&ends| ends >= MAX_ENDS) {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (served, cut) = (served.load(Ordering::Relaxed), cut.load(Ordering::Relaxed));
    record.line(format!(
        "ends of the entries by their memory: {ends:?}, peaks {peaks_mb:?} MB; {served} requests were served, {cut} channels ended without an answer"
    ));
    let is_broken = ends.iter().filter(|&&ends| ends >= MAX_ENDS).count() >= 2;
    let code = if served == 0 { 2 } else { i32::from(is_broken) };
    drop(runners);
    fleet.finish(entries, code)
}
