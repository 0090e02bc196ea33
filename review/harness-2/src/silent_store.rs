//! VERSION: open channels to the store go silent, and a new version of adapters is announced.

use {
    crate::{
        Context, Random,
        client::{Call, HOST},
        engine::{Engine, EngineSettings},
        fleet::Deployment,
        store::Store,
    },
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "llm";
const ENGINES: u8 = 3;
const ADAPTERS: u64 = 9;
const ROUNDS: u64 = 7;
const ROUND: Duration = Duration::from_secs(14);
/// The time from the silence to the announcement.
const ANNOUNCED_AFTER: Duration = Duration::from_millis(300);
const VERSION_S: f64 = 5.0;
const STABLE_WINDOW_S: f64 = 3.0;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/draft/","kind":"streaming","timeout_ms":5000,"target_latency_ms":500,"gap_aim_ms":250,"priority":0,"max_attempts":1,"resumable":false,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":250,"engine":{{"slots":32,"kv_capacity_tokens":217509,"weights_mb":75000,"adapter_slots":15,"loads_per_s":6.7,"stride":5,"models":[{{"name":"base","weights_mb":72700,"load_time_s":2.1,"disk_s":1.0,"warm_s":1.0,"adapters":3000,"adapter_mb":100}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let store = Store::start(&format!("{}.1", context.network))?;
    store.put("op/config", &configuration());
    let settings = EngineSettings {
        adapter_slots: 15,
        model_load: Duration::from_millis(1_000),
        restart: Duration::from_secs(3),
        fetch: Duration::from_millis(250),
        copy_load: Duration::from_millis(25),
        step: Duration::from_millis(10),
        steps_per_event: 2,
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
    thread::sleep(Duration::from_secs(1));
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..9_u64)
        .map(|client| {
            let record = record.clone();
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut number = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    number += 1;
                    let adapter = 1 + random.below(ADAPTERS);
                    let call = Call {
                        id: format!("{client:02x}{number:06x}"),
                        method: "POST",
                        path: "/draft/1".to_owned(),
                        headers: format!(
                            "Model: base/a{adapter}\r\nToken-Count: 491,40\r\nPrompt-Prefix: 7:155,{client:x}{number:06x}:336\r\n"
                        ),
                        body: "draft".to_owned(),
                        deadline: Duration::from_millis(5_000),
                        gives_up_after: None,
                    };
                    let _ = call.send(entry.front, &record);
                    thread::sleep(Duration::from_millis(60 + random.below(120)));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // When each version was acknowledged: round, silence and announcement in seconds.
    let mut announced: Vec<(u64, f64, f64)> = Vec::new();
    for round in 0..ROUNDS {
        let silent_s = record.now_s();
        if context.has_trouble {
            record.line("the open channels to the store go silent; new ones work");
            store.silence_open_connections();
        }
        thread::sleep(ANNOUNCED_AFTER);
        let version = round + 2;
        for adapter in 1..=ADAPTERS {
            for engine in &engines {
                engine.set_newest(&format!("a{adapter}"), version);
            }
            let row = format!(
                "{{\"model\":\"base\",\"adapter\":\"a{adapter}\",\"version\":{version}}}"
            );
            store.put(&format!("op/version/base.a{adapter}"), &row);
        }
        record.line(format!("version {version} of all adapters is acknowledged"));
        announced.push((version, silent_s, record.now_s()));
        thread::sleep(ROUND - ANNOUNCED_AFTER);
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    let mut begun_count = 0;
    let mut latest_s: f64 = 0.0;
    for engine in &engines {
        for begun in engine.begun.lock().unwrap().iter() {
            begun_count += 1;
            // The first version that is newer than the one on which the request began.
            let newer = announced.iter().find(|&&(version, ..)| version > begun.version);
            let Some(&(version, _, acknowledged_s)) = newer else {
                continue;
            };
            let after_s = begun.at_s - acknowledged_s;
            // All machines are in touch again for a whole stable window before it.
            let is_in_touch = !context.has_trouble
                || announced.iter().all(|&(_, silent_s, _)| {
                    begun.at_s < silent_s || begun.at_s >= silent_s + STABLE_WINDOW_S
                });
            if after_s > VERSION_S && is_in_touch {
                late += 1;
                latest_s = latest_s.max(after_s);
                record.line(format!(
                    "RULE BROKEN: {} began {} on {}@{} {after_s:.3} s after version {version} was acknowledged (at {:.4})",
                    engine.name, begun.request, begun.adapter, begun.version, begun.at_s
                ));
            }
        }
    }
    let summary = format!(
        "{late} of {begun_count} requests began on an older version more than {VERSION_S} s after a newer one was acknowledged, the latest after {latest_s:.2} s"
    );
    record.line(&summary);
    if begun_count < 500 {
        return Err(io::Error::other(format!("too few requests: {summary}")));
    }
    Ok((late > 0).then(|| format!("VERSION is broken: {summary}")))
}
