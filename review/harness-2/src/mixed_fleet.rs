//! LOST: all processes of the system are killed while runners of two software versions serve side by side.

use {
    crate::{
        Context,
        client::{Call, HOST, Outcome},
        engine::{Engine, EngineSettings},
        fleet::Deployment,
        record::Record,
        store::Store,
        two_versions::events,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "llm";
/// The software of the runners; two of each version serve throughout.
const SOFTWARE: [&str; 4] = ["v1", "v1", "v2", "v2"];
const STREAMS: u64 = 40;
const DEADLINE: Duration = Duration::from_secs(25);
const DOWN: Duration = Duration::from_secs(1);
/// The times after the loss at which clients try, in seconds; machines are in touch again 3 s after their start.
const TRIES_S: [f64; 4] = [1.5, 4.5, 8.0, 14.0];
const IN_TOUCH_S: f64 = 4.2;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/draft/","kind":"streaming","timeout_ms":25000,"target_latency_ms":800,"gap_aim_ms":300,"priority":0,"max_attempts":2,"resumable":true,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":370,"engine":{{"slots":64,"kv_capacity_tokens":121719,"weights_mb":67000,"adapter_slots":17,"loads_per_s":4.2,"stride":3,"models":[{{"name":"base","weights_mb":65100,"load_time_s":3.9,"disk_s":0.8,"warm_s":0.2,"adapters":3000,"adapter_mb":100}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn call(id: String, left: Duration, resumption: &str) -> Call {
    Call {
        method: "POST",
        path: "/draft/1".to_owned(),
        headers: format!(
            "Model: base\r\nToken-Count: 1110,700\r\nPrompt-Prefix: 7:350,{id}:760\r\n{resumption}"
        ),
        body: format!("draft {id}"),
        id,
        deadline: left,
        gives_up_after: None,
    }
}

/// What became of the tries at machines in touch: those that went on or began, and all.
#[derive(Default)]
struct Tries {
    succeeded: u32,
    made: u32,
}

fn waits_until(lost: Instant, seconds: f64) {
    let at = lost + Duration::from_secs_f64(seconds);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends a stream, and takes it up again after the loss until it goes on.
fn take_up(
    number: u64,
    front: SocketAddr,
    lost: &Mutex<Option<Instant>>,
    record: &Record,
    tries: &Mutex<Tries>,
) {
    let started = Instant::now();
    let first_id = format!("5eed{number:04x}00");
    let body = match call(first_id.clone(), DEADLINE, "").send(front, record) {
        Outcome::CutOff { status: 200, body } => body,
        _ => return,
    };
    let (last, _) = events(&body);
    let lost = loop {
        if let Some(lost) = *lost.lock().unwrap() {
            break lost;
        }
        thread::sleep(Duration::from_millis(10));
    };
    if last == 0 {
        return;
    }
    for (attempt, at_s) in TRIES_S.into_iter().enumerate() {
        waits_until(lost, at_s);
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() {
            return;
        }
        let id = format!("5eed{number:04x}{:02x}", attempt + 1);
        let resumption = format!("Last-Event-Id: {last}\r\nResumes: {first_id}\r\n");
        let outcome = call(id, left, &resumption).send(front, record);
        let goes_on = matches!(outcome, Outcome::Answer { status: 200, .. });
        if at_s >= IN_TOUCH_S {
            let mut tries = tries.lock().unwrap();
            tries.made += 1;
            tries.succeeded += u32::from(goes_on);
        }
        if goes_on {
            return;
        }
    }
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
        steps_per_event: 3,
    };
    let mut deployment = Deployment::new(&context.network, &store, &context.repository)?;
    for (number, software) in SOFTWARE.iter().enumerate() {
        let ip = format!("{}.{}", context.network, 11 + number);
        let engine = Engine::start(&format!("r{number}"), &ip, settings, record)?;
        engine.set_software(software);
        engine.list(&store, SERVICE);
        deployment.start_agent(engine.address, SERVICE)?;
    }
    let entry = deployment.start_entry(5)?;
    deployment.wait_ready(entry, record)?;
    thread::sleep(Duration::from_secs(2));
    let lost: Arc<Mutex<Option<Instant>>> = Arc::default();
    let resumed: Arc<Mutex<Tries>> = Arc::default();
    let new: Arc<Mutex<Tries>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, lost, resumed) = (record.clone(), Arc::clone(&lost), Arc::clone(&resumed));
        clients.push(thread::spawn(move || {
            take_up(number, entry.front, &lost, &record, &resumed);
        }));
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_millis(800));
    if context.has_trouble {
        record.line("all processes of the system are killed");
        *lost.lock().unwrap() = Some(Instant::now());
        deployment.kill_all_and_restart(DOWN)?;
        record.line("all processes of the system are started again");
    } else {
        *lost.lock().unwrap() = Some(Instant::now());
    }
    // New streams, at the same times.
    for number in 0..STREAMS {
        let (record, lost, new) = (record.clone(), Arc::clone(&lost), Arc::clone(&new));
        clients.push(thread::spawn(move || {
            let lost = lost.lock().unwrap().unwrap_or_else(Instant::now);
            waits_until(lost, IN_TOUCH_S + 0.3 + 0.2 * number as f64);
            let outcome = call(format!("0e{number:08x}"), DEADLINE, "").send(entry.front, &record);
            let mut new = new.lock().unwrap();
            new.made += 1;
            new.succeeded += u32::from(outcome.status() == Some(200));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let (resumed, new) = (resumed.lock().unwrap(), new.lock().unwrap());
    let summary = format!(
        "at machines in touch, {} of {} tries to take up a stream went on, and {} of {} new streams began",
        resumed.succeeded, resumed.made, new.succeeded, new.made
    );
    record.line(&summary);
    if context.has_trouble && resumed.made < 12 {
        return Err(io::Error::other(format!("too few streams: {summary}")));
    }
    let is_broken = resumed.made >= 12
        && u64::from(resumed.succeeded) * u64::from(new.made) * 2
            < u64::from(new.succeeded) * u64::from(resumed.made);
    Ok(is_broken.then(|| format!("LOST is broken: {summary}")))
}
