//! TWICE: a sound runner falls silent for a moment, and its streams go on at another one.

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
const CLIENTS: u64 = 9;
const ROUNDS: usize = 8;
const ROUND: Duration = Duration::from_secs(5);
const SILENCE_MS: u64 = 1_500;
/// The time from the start of the traffic to the first round, in which the entry earns its retries.
const LEAD: Duration = Duration::from_secs(12);
/// The longest time for which a runner may go on with a request that has begun at another one.
const OVERLAP_S: f64 = 0.4;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"host":"{HOST}","path_prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"gap_aim_ms":300,"priority":0,"max_attempts":2,"resumable":true,"service":"{SERVICE}"}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":370,"engine":{{"slots":64,"kv_capacity_tokens":121719,"weights_mb":67000,"adapter_slots":17,"loads_per_s":4.2,"stride":3,"models":[{{"name":"base","weights_mb":65100,"load_time_s":3.9,"disk_s":0.8,"warm_s":0.2,"adapters":3000,"adapter_mb":100}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns how the rule was broken, if it was.
pub fn run(context: &Context) -> io::Result<Option<String>> {
    let record = &context.record;
    let silence_ms = std::env::var("SILENCE_MS").ok();
    let silence_ms = silence_ms.and_then(|text| text.parse().ok());
    let silence = Duration::from_millis(silence_ms.unwrap_or(SILENCE_MS));
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut number = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{client:02x}{number:06x}");
                    let call = Call {
                        method: "POST",
                        path: "/draft/1".to_owned(),
                        headers: format!(
                            "Model: base\r\nToken-Count: 1110,{}\r\nPrompt-Prefix: 7:350,{id}:760\r\n",
                            150 + random.below(300)
                        ),
                        body: format!("draft {id}"),
                        deadline: Duration::from_secs(15),
                        gives_up_after: None,
                        id,
                    };
                    let _ = call.send(entry.front, &record);
                    thread::sleep(Duration::from_millis(20 + random.below(60)));
                }
            })
        })
        .collect();
    thread::sleep(LEAD);
    for round in 0..ROUNDS {
        if context.has_trouble {
            engines[round % engines.len()].fall_silent(silence);
        }
        thread::sleep(ROUND);
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut moved = 0;
    let mut twice = 0;
    let mut longest_s: f64 = 0.0;
    let runs: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.finished_runs())
        .collect();
    for second in &runs {
        let mut earlier = runs
            .iter()
            .filter(|run| run.request == second.request && run.begun_s < second.begun_s);
        let Some(first) = earlier.next() else {
            continue;
        };
        moved += 1;
        let overlap_s = first.ended_s - second.begun_s;
        if overlap_s > OVERLAP_S {
            twice += 1;
            longest_s = longest_s.max(overlap_s);
            record.line(format!(
                "RULE BROKEN: {} began at {} at {:.3}, and {} worked on it until {:.3}",
                second.request, second.engine, second.begun_s, first.engine, first.ended_s
            ));
        }
    }
    let summary = format!(
        "{moved} of {} runs went on at another runner; at {twice} of them the runner before still worked on the request {OVERLAP_S} s later, {longest_s:.2} s at most",
        runs.len()
    );
    record.line(&summary);
    if runs.len() < 100 {
        return Err(io::Error::other(format!("too few runs: {summary}")));
    }
    Ok((twice > 0).then(|| format!("TWICE is broken: {summary}")))
}
