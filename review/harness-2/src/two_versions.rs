//! ORDER: runners are upgraded in place, and all processes of the system are killed.

use {
    crate::{
        Context,
        client::{Call, HOST, Outcome},
        engine::{Engine, EngineSettings},
        fleet::Deployment,
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "llm";
const ENGINES: u8 = 2;
const STREAMS: u64 = 12;
/// The time for which the rows of the runners do not change before the upgrade; longer than the history.
const QUIET: Duration = Duration::from_secs(24);
const BETWEEN_UPGRADES: Duration = Duration::from_millis(2_000);
/// The time from the last upgrade to the loss of all processes, and until they start again.
const KILLED_AFTER: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(600);
/// The longest time that a client waits for the next event, four times the response-time goal.
const PATIENCE: Duration = Duration::from_millis(3_200);
const DEADLINE: Duration = Duration::from_secs(15);

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"gap_aim_ms":300,"priority":0,"max_attempts":2,"resumable":true,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":370,"engine":{{"slots":64,"kv_capacity_tokens":121719,"weights_mb":67000,"adapter_slots":17,"loads_per_s":4.2,"stride":3,"models":[{{"name":"base","weights_mb":65100,"load_time_s":3.9,"disk_s":0.8,"warm_s":0.2,"adapters":3000,"adapter_mb":100}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns the id of the last complete event, and the software versions of all complete events.
pub fn events(body: &str) -> (u32, BTreeSet<String>) {
    let mut last = 0;
    let mut versions = BTreeSet::new();
    let complete = body.rfind("\n\n").map_or("", |end| &body[..end]);
    for event in complete.split("\n\n").filter(|event| !event.is_empty()) {
        let id = event
            .lines()
            .find_map(|line| line.strip_prefix("id: "))
            .and_then(|id| id.parse().ok());
        let Some(id) = id else { continue };
        last = id;
        if let Some(version) = event.rsplit(' ').next() {
            versions.insert(version.to_owned());
        }
    }
    (last, versions)
}

/// The kind of service that writes a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StreamKind {
    Model,
    Plain,
}

/// Sends a stream, takes it up again after a broken channel, and returns the software versions of its events.
pub fn stream(
    number: u64,
    kind: StreamKind,
    front: SocketAddr,
    record: &Record,
) -> BTreeSet<String> {
    let started = Instant::now();
    let first_id = format!("5eed{number:04x}00");
    let mut last = 0;
    let mut versions = BTreeSet::new();
    let mut cut_at = None;
    for attempt in 0..12 {
        let id = if attempt == 0 {
            first_id.clone()
        } else {
            format!("5eed{number:04x}{attempt:02x}")
        };
        let resumption = if last > 0 {
            format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n")
        } else {
            String::new()
        };
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() || cut_at.is_some_and(|at: Instant| at.elapsed() > PATIENCE) {
            break;
        }
        let call = Call {
            id,
            method: "POST",
            path: match kind {
                StreamKind::Model => format!("/draft/{number}"),
                StreamKind::Plain => format!("/feed/{number}"),
            },
            headers: match kind {
                StreamKind::Model => format!(
                    "Model: base\r\nToken-Count: 1110,1200\r\nPrompt-Prefix: 7:350,{number:x}5eed:760\r\n{resumption}"
                ),
                StreamKind::Plain => resumption,
            },
            body: format!("draft {number}"),
            deadline: left,
            gives_up_after: None,
        };
        let outcome = call.send(front, record);
        let body = match &outcome {
            Outcome::Answer {
                status: 200, body, ..
            }
            | Outcome::CutOff { status: 200, body } => body,
            _ => "",
        };
        let (newest, of_attempt) = events(body);
        if newest > 0 {
            last = newest;
            versions.extend(of_attempt);
            cut_at = None;
        }
        match outcome {
            Outcome::Answer { status: 200, .. } => break,
            Outcome::Answer { retry_after, .. } => {
                let seconds = retry_after.and_then(|text| text.parse::<f64>().ok());
                thread::sleep(Duration::from_secs_f64(seconds.unwrap_or(0.3).min(1.5)));
            }
            _ => {
                cut_at.get_or_insert(Instant::now());
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
    versions
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let store = Store::start(&format!("{}.1", context.network))?;
    store.put("op/config", &configuration());
    let settings = EngineSettings {
        adapter_slots: 17,
        model_load: Duration::from_millis(200),
        restart: Duration::from_millis(500),
        fetch: Duration::from_millis(250),
        copy_load: Duration::from_millis(25),
        step: Duration::from_millis(9),
        steps_per_event: 4,
    };
    let mut deployment = Deployment::new(&context.network, &store, &context.repository)?;
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let ip = format!("{}.{}", context.network, 10 + number);
        let engine = Engine::start(&format!("r{number}"), &ip, settings, record)?;
        engine.list(&store, SERVICE);
        deployment.start_agent(engine.address, SERVICE)?;
        engines.push(engine);
    }
    let entry = deployment.start_entry(5)?;
    deployment.wait_ready(entry, record)?;
    thread::sleep(QUIET);
    let joined: Arc<Mutex<Vec<(u64, BTreeSet<String>)>>> = Arc::default();
    let has_begun = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let joined = Arc::clone(&joined);
            let has_begun = Arc::clone(&has_begun);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * number));
                has_begun.store(true, Ordering::SeqCst);
                let versions = stream(number, StreamKind::Model, entry.front, &record);
                joined.lock().unwrap().push((number, versions));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_500));
    // One after the other: streams of the first one go on at the second one, which has the same version.
    engines[0].upgrade("v2");
    thread::sleep(BETWEEN_UPGRADES);
    engines[1].upgrade("v2");
    if context.has_trouble {
        thread::sleep(KILLED_AFTER);
        record.line("all processes of the system are killed");
        deployment.kill_all_and_restart(DOWN)?;
        record.line("all processes of the system are started again");
    }
    for client in clients {
        let _ = client.join();
    }
    let joined = joined.lock().unwrap();
    let mut of_two = 0;
    let mut begun = 0;
    for (number, versions) in joined.iter() {
        begun += u64::from(!versions.is_empty());
        if versions.len() > 1 {
            of_two += 1;
            record.line(format!(
                "RULE BROKEN: stream {number} holds events of the versions {versions:?}"
            ));
        }
    }
    let summary = format!("{of_two} of {begun} streams hold events of two software versions");
    record.line(&summary);
    if begun < STREAMS / 2 {
        return Err(io::Error::other(format!("too few streams: {summary}")));
    }
    Ok((of_two > 2).then(|| format!("ORDER is broken: {summary}")))
}
