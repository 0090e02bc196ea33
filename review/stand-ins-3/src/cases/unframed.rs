//! A runner crashes in the middle of an answer without a length, and starts again under its id, while the
//! machine of the entry stands still.

use super::configuration;
use crate::{
    fleet::{Fleet, has_trouble, unix_ms},
    http,
    processes::RunnerProcess,
    runner::{RunnerSettings, plain_body},
};
use std::{thread, time::Duration};

const REQUESTS: usize = 6;

pub fn run(fleet: Fleet) -> Result<(), String> {
    let record = fleet.record.clone();
    let desk = RunnerSettings {
        address: fleet.desk(1),
        id: "i-desk1".to_owned(),
        born: unix_ms(),
        slots: 6,
        adapters: Vec::new(),
        is_engine: false,
        load_ms: 0,
        events: 0,
        event_ms: 0,
        manner: "unframed".to_owned(),
        work_ms: 600,
        software: "v1".to_owned(),
    };
    fleet.store.put("op/config", &configuration(5, 32));
    fleet.list(&desk, "orders-desk", "ready");
    let mut runner = RunnerProcess::start(&desk, "desk1", &record)?;
    let entry = fleet.start_entry(1)?;
    if !fleet.wait_ready(1, Duration::from_secs(8)) {
        return Err("the entry is not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let front = fleet.front(1);
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let record = record.clone();
        let (path, method) = if number % 2 == 0 {
            ("order", "POST")
        } else {
            ("lookup", "GET")
        };
        clients.push(thread::spawn(move || {
            let id = format!("request{number:04}");
            let request = format!(
                "{method} /{path}/{number} HTTP/1.1\r\nHost: catalogue.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
            );
            record.line(format!("client sends {id} ({method} /{path}/{number})"));
            let answer = http::ask(front, request.as_bytes(), Duration::from_secs(9));
            (id, answer)
        }));
    }
    if has_trouble() {
        thread::sleep(Duration::from_millis(150));
        record.line("the machine of the entry freezes (SIGSTOP)");
        entry.signal("STOP");
        thread::sleep(Duration::from_millis(150));
        record.line("the runner crashes (SIGKILL)");
        runner.kill();
        thread::sleep(Duration::from_millis(2_000));
        let again = RunnerSettings {
            born: unix_ms(),
            ..desk.clone()
        };
        runner = RunnerProcess::start(&again, "desk1", &record)?;
        fleet.list(&again, "orders-desk", "ready");
        record.line("the runner has started again under its id");
        thread::sleep(Duration::from_millis(300));
        record.line("the machine of the entry wakes (SIGCONT)");
        entry.signal("CONT");
    }
    let mut broken = 0;
    let mut answered = 0;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client panicked".to_owned())?;
        let whole = plain_body(&id);
        let is_success = (200..300).contains(&answer.status) && answer.is_complete;
        answered += usize::from(answer.status > 0);
        let verdict = if is_success && answer.body != whole {
            broken += 1;
            "MIXED: a success whose body isn't the runner's whole body"
        } else {
            "held"
        };
        record.line(format!(
            "client got {} for {id} after {:.3} s: {} of {} bytes, complete={}, stamp={:?} {}; {verdict}",
            answer.status,
            answer.took.as_secs_f64(),
            answer.body.len(),
            whole.len(),
            answer.is_complete,
            answer.headers.get("response-stamp"),
            answer.error,
        ));
    }
    for line in fleet.log_lines(&entry.name, &["unframed_end"]) {
        record.line(format!("entry logged {line}"));
    }
    record.line(format!("{broken} of {REQUESTS} answers break MIXED"));
    drop(runner);
    let code = match (broken, answered) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    };
    fleet.finish(vec![entry], code)
}
