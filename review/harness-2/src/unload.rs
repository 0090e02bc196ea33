//! LIMIT: clients leave while other requests wait for a place for their adapter.

use {
    crate::{
        Context, Random,
        client::{Call, Outcome},
        engine::{Engine, EngineSettings},
        fleet::Deployment,
        store::Store,
    },
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "llm";
const ADAPTER_SLOTS: usize = 15;
const ADAPTERS: u64 = 60;
const CLIENTS: u64 = 28;
const DURATION: Duration = Duration::from_secs(60);
/// The share of the clients that leave early, and when: half the response-time goal.
const LEAVING_SHARE: f64 = 0.2;
const LEAVES_AFTER: Duration = Duration::from_millis(250);

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{host}","path_prefix":"/draft/","kind":"streaming","timeout_ms":5000,"target_latency_ms":500,"gap_aim_ms":250,"priority":0,"max_attempts":1,"resumable":false,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":250,"engine":{{"slots":32,"kv_capacity_tokens":217509,"weights_mb":75000,"adapter_slots":{ADAPTER_SLOTS},"loads_per_s":6.7,"stride":5,"models":[{{"name":"base","weights_mb":72700,"load_time_s":2.1,"adapters":3000,"adapter_mb":100}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        host = crate::client::HOST
    )
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let store = Store::start(&format!("{}.1", context.network))?;
    store.put("op/config", &configuration());
    let settings = EngineSettings {
        adapter_slots: ADAPTER_SLOTS,
        model_load: Duration::from_millis(1_000),
        restart: Duration::from_secs(3),
        fetch: Duration::from_millis(250),
        copy_load: Duration::from_millis(25),
        step: Duration::from_millis(10),
        steps_per_event: 3,
    };
    let engine = Engine::start("r1", &format!("{}.11", context.network), settings, record)?;
    engine.list(&store, SERVICE);
    let mut deployment = Deployment::new(&context.network, &store, &context.repository)?;
    deployment.start_agent(engine.address, SERVICE)?;
    let entry = deployment.start_entry(5)?;
    deployment.wait_ready(entry, record)?;
    thread::sleep(Duration::from_secs(2));
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    let end = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let counts = Arc::clone(&counts);
            let overloads = Arc::clone(&engine.overloads);
            let has_trouble = context.has_trouble;
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut number = 0;
                while Instant::now() < end && overloads.load(Ordering::SeqCst) == 0 {
                    number += 1;
                    // A few adapters get most requests, and many get few.
                    let share = random.share();
                    let adapter = 1 + (share * share * ADAPTERS as f64) as u64;
                    let leaves = has_trouble && random.share() < LEAVING_SHARE;
                    let prefix = format!("{:x}:155,{:x}:336", 7, client * 10_000 + number);
                    let call = Call {
                        id: format!("{client:02x}{number:06x}"),
                        method: "POST",
                        path: "/draft/1".to_owned(),
                        headers: format!(
                            "Model: base/a{adapter}\r\nToken-Count: 491,{}\r\nPrompt-Prefix: {prefix}\r\n",
                            70 + random.below(100)
                        ),
                        body: "draft".to_owned(),
                        deadline: Duration::from_millis(5_000),
                        gives_up_after: leaves.then_some(LEAVES_AFTER),
                    };
                    let outcome = call.send(entry.front, &record);
                    let kind = match &outcome {
                        Outcome::Answer { status: 200, .. } => 0,
                        Outcome::Answer { .. } => 1,
                        Outcome::GaveUp => 2,
                        _ => 3,
                    };
                    counts[kind].fetch_add(1, Ordering::SeqCst);
                    let pause_ms = match outcome.status() {
                        Some(200) | None => 20 + random.below(60),
                        Some(_) => 300 + random.below(500),
                    };
                    thread::sleep(Duration::from_millis(pause_ms));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(200));
    let [served, refused, left, failed] = &*counts;
    record.line(format!(
        "{served:?} served, {refused:?} refused, {left:?} left by their clients, {failed:?} cut off or unanswered"
    ));
    let overloads = engine.overloads.load(Ordering::SeqCst);
    Ok((overloads > 0).then(|| {
        format!(
            "LIMIT is broken: the runner was ordered to load more than its {ADAPTER_SLOTS} places hold, and crashed"
        )
    }))
}
