//! The deployment of a case: store, configuration, stand-ins of servers, and the project's programs.

use {
    crate::{
        client::{Call, HOST, Outcome, call},
        engine::{Engine, EngineSettings, MODEL, MODEL_MB, SERVICE},
        processes::{Bounds, Processes, wait_until_ready},
        store::Store,
        world::World,
    },
    serde_json::{Value, json},
    std::{
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

pub const STREAM_PATH: &str = "/lohu930/2f";
pub const SAFE_PATH: &str = "/cufi504/2f";
pub const PLAIN_SERVICE: &str = "wuno96b";

pub struct Setup {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub processes: Mutex<Processes>,
    pub fronts: usize,
    next_id: AtomicU64,
}

/// What the deployments of the cases differ in.
#[derive(Clone, Copy)]
pub struct Shape {
    pub fronts: usize,
    pub engines: usize,
    pub engine: EngineSettings,
    pub bounds: Bounds,
    pub objective_ms: u64,
    pub stream_timeout_ms: u64,
}

impl Setup {
    /// Starts everything, and waits until the fronts are ready and in touch. Returns `None` if they do not
    /// get ready.
    pub async fn start(
        world: &Arc<World>,
        repository: &Path,
        folder: &Path,
        shape: Shape,
    ) -> Option<Self> {
        let store = Store::start(world).await;
        store.put("op/config", &configuration(&shape));
        let mut engines = Vec::new();
        for index in 0..shape.engines {
            let engine = Engine::new(world, &store, shape.engine, index, "v1");
            engine.start("v1", true).await;
            engines.push(engine);
        }
        let mut processes = Processes::new(world, repository, folder);
        processes.start_fronts(shape.fronts, shape.bounds);
        processes.start_sides(0..shape.engines, shape.bounds);
        if !wait_until_ready(world, shape.fronts).await {
            world.log("the fronts do not get ready");
            return None;
        }
        sleep(Duration::from_millis(shape.bounds.stable_window_ms + 1_000)).await;
        world.log("all machines are in touch");
        Some(Self {
            world: Arc::clone(world),
            store,
            engines,
            processes: Mutex::new(processes),
            fronts: shape.fronts,
            next_id: AtomicU64::new(1),
        })
    }

    pub fn stream_call(&self, adapter: &str, deadline_ms: u64) -> Call {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        Call {
            id: format!("9c41d07b{number:08x}"),
            // No two prompts are alike.
            body: format!("{{\"prompt\":{number}}}").into(),
            path: STREAM_PATH.to_owned(),
            adapter: Some(adapter.to_owned()),
            deadline_ms,
            ..Call::default()
        }
    }

    pub fn safe_call(&self, deadline_ms: u64) -> Call {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        Call {
            id: format!("5d0fa1c3{number:08x}"),
            path: SAFE_PATH.to_owned(),
            is_get: true,
            deadline_ms,
            ..Call::default()
        }
    }

    /// Sends streams on new channels, to each front in turn, at a steady rate until `until`.
    pub fn traffic(
        self: &Arc<Self>,
        adapters: Vec<String>,
        per_s: f64,
        deadline_ms: u64,
        until: Instant,
    ) -> JoinHandle<Vec<(Call, Outcome)>> {
        let setup = Arc::clone(self);
        tokio::spawn(async move {
            let outcomes = Arc::new(Mutex::new(Vec::new()));
            let mut tasks = Vec::new();
            let started = Instant::now();
            let mut number = 0u64;
            while Instant::now() < until {
                // Neighbours in time use different adapters and fronts.
                let adapter = &adapters
                    [(number as usize * 7 + number as usize / adapters.len()) % adapters.len()];
                let request = setup.stream_call(adapter, deadline_ms);
                let entry = setup.world.caller_address(number as usize % setup.fronts);
                let (outcomes, world) = (Arc::clone(&outcomes), Arc::clone(&setup.world));
                tasks.push(tokio::spawn(async move {
                    let outcome = call(entry, &request).await;
                    log_outcome(&world, &request, &outcome);
                    outcomes.lock().unwrap().push((request, outcome));
                }));
                number += 1;
                let due = started + Duration::from_secs_f64(number as f64 / per_s);
                sleep(due.saturating_duration_since(Instant::now())).await;
            }
            for task in tasks {
                let _ = task.await;
            }
            std::mem::take(&mut *outcomes.lock().unwrap())
        })
    }
}

pub fn log_outcome(world: &World, request: &Call, outcome: &Outcome) {
    world.log(format!(
        "answer request={} adapter={} sent_ms={} status={} complete={} bytes={} retry_after={:?}",
        request.id,
        request.adapter.as_deref().unwrap_or("-"),
        world.ms(outcome.sent),
        outcome.status,
        outcome.is_complete,
        outcome.body.len(),
        outcome.retry_after_s
    ));
}

fn configuration(shape: &Shape) -> Value {
    let engine = shape.engine;
    json!({"version": 7,
        "routes": [
            {"name": "r-zji9n73", "host": HOST, "path_prefix": "/lohu930/", "kind": "streaming",
                "timeout_ms": shape.stream_timeout_ms, "target_latency_ms": shape.objective_ms, "priority": 1, "service": SERVICE,
                "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 300},
            {"name": "r-hh2b9wu", "host": HOST, "path_prefix": "/cufi504/", "kind": "safe", "timeout_ms": 3000,
                "target_latency_ms": 300, "priority": 1, "service": PLAIN_SERVICE, "max_attempts": 2,
                "sticky": false, "resumable": false}],
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
                "engine": {"slots": engine.slots, "kv_capacity_tokens": 121_719, "kv_token_bytes": 163_840,
                    "link_mbps": 280_000.0, "stride": 3, "max_count": 12, "host_mb": 150_000.0, "disk_mb": 440_000.0,
                    "models": [{"name": MODEL, "weights_mb": MODEL_MB, "load_time_s": engine.load_s,
                        "adapters": 3_000, "adapter_mb": engine.adapter_mb, "warm_s": 0.76, "disk_s": engine.disk_s}],
                    "weights_mb": engine.weights_mb, "adapter_slots": engine.adapter_slots, "loads_per_s": 4.2}},
            {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000}})
}
