//! The cases. Each returns how many times the rule was broken, or `None` if it could not run.

use {
    crate::{
        client::{Call, Outcome, call},
        engine::{Engine, EngineSettings, MODEL},
        limited::LimitedServer,
        plain::{BODY_BYTES, PlainServer},
        processes::{LARGE, RIGA, peak_memory_mb, wait_until_ready},
        setup::{Setup, Shape, log_outcome},
        world::{Run, World},
    },
    std::{
        collections::{BTreeSet, HashSet},
        path::Path,
        sync::{Arc, OnceLock, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The model runners of `strids-riga`, with short streams.
const RIGA_ENGINE: EngineSettings = EngineSettings {
    slots: 64,
    adapter_slots: 17,
    load_s: 3.9,
    disk_s: 1.6,
    events: 5,
    gap_ms: 27,
    heartbeat_ms: 1_200,
    is_unframed: false,
    weights_mb: 66_600.0,
    adapter_mb: 12.0,
};

const RIGA_SHAPE: Shape = Shape {
    fronts: 2,
    engines: 4,
    engine: RIGA_ENGINE,
    bounds: RIGA,
    objective_ms: 800,
    stream_timeout_ms: 15_000,
};

fn adapters(count: usize) -> Vec<String> {
    (1..=count)
        .map(|number| format!("{MODEL}/a{number}"))
        .collect()
}

/// Counts the runs that began on an older version later than `version_ms` after a newer one was confirmed.
fn count_outdated_runs(world: &World, version_ms: u64) -> usize {
    let versions = world.versions.lock().unwrap();
    let runs = world.runs.lock().unwrap();
    let lateness_ms = |run: &Run| {
        let announced = versions.get(&run.adapter)?;
        let newer = announced
            .iter()
            .find(|(version, _)| *version > run.adapter_version)?;
        let late = run
            .at
            .checked_duration_since(newer.1 + Duration::from_millis(version_ms))?;
        Some((newer.0, late.as_millis()))
    };
    let mut count = 0;
    for run in runs.iter() {
        if let Some((newer, late_ms)) = lateness_ms(run) {
            count += 1;
            world.log(format!(
                "VERSION request={} began on {}@{} at {}, {late_ms} ms after the bound of version {newer}, at_ms={}",
                run.request, run.adapter, run.adapter_version, run.server, world.ms(run.at)
            ));
        }
    }
    world.log(format!(
        "{} runs, {count} of them on an older version past the bound",
        runs.len()
    ));
    count
}

/// New versions of one adapter are announced one after another, before the previous one is in place everywhere.
pub async fn republished(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    /// Time between two announcements.
    const GAP: Duration = Duration::from_secs(1);
    let shape = Shape {
        engines: 6,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let start = Instant::now();
    let length = Duration::from_secs(26);
    let traffic = setup.traffic(adapters(12), 60.0, 8_000, start + length);
    sleep(Duration::from_secs(5)).await;
    let versions = if trouble { 2..=14 } else { 2..=2 };
    for version in versions {
        setup.store.announce(&format!("{MODEL}/a1"), version);
        sleep(GAP).await;
    }
    let outcomes = traffic.await.ok()?;
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete)
        .count();
    world.log(format!("{} requests, {served} served", outcomes.len()));
    Some(count_outdated_runs(world, RIGA.version_ms))
}

/// All adapters get a new version at the same time.
pub async fn retrained(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    let shape = Shape {
        engines: 12,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let start = Instant::now();
    let length = Duration::from_secs(50);
    let names = adapters(190);
    let traffic = setup.traffic(names.clone(), 100.0, 8_000, start + length);
    sleep(Duration::from_secs(30)).await;
    let changed = if trouble { names.len() } else { 3 };
    for name in &names[..changed] {
        setup.store.announce(name, 2);
    }
    let outcomes = traffic.await.ok()?;
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete)
        .count();
    world.log(format!("{} requests, {served} served", outcomes.len()));
    Some(count_outdated_runs(world, RIGA.version_ms))
}

/// The runners ask for a pause, and a version is announced meanwhile.
pub async fn paused(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    let shape = Shape {
        engines: 2,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let start = Instant::now();
    let traffic = setup.traffic(adapters(4), 40.0, 8_000, start + Duration::from_secs(25));
    sleep(Duration::from_secs(6)).await;
    if trouble {
        for engine in &setup.engines {
            engine.ask_for_pause(9.0);
        }
    }
    sleep(Duration::from_secs(1)).await;
    for name in adapters(4) {
        setup.store.announce(&name, 2);
    }
    let outcomes = traffic.await.ok()?;
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete)
        .count();
    world.log(format!("{} requests, {served} served", outcomes.len()));
    Some(count_outdated_runs(world, RIGA.version_ms))
}

/// The model runners of `cico-catalogues-large`, with streams of some seconds.
const LARGE_SHAPE: Shape = Shape {
    fronts: 2,
    engines: 10,
    engine: EngineSettings {
        slots: 12,
        adapter_slots: 9,
        load_s: 1.0,
        disk_s: 0.4,
        events: 40,
        gap_ms: 80,
        heartbeat_ms: 1_200,
        is_unframed: false,
        weights_mb: 66_600.0,
        adapter_mb: 40.0,
    },
    bounds: LARGE,
    objective_ms: 1_000,
    stream_timeout_ms: 10_000,
};

/// The time in which a runner's process ends and starts again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Counts the answers that hold events from runners of two software versions.
fn count_mixed_streams(world: &World, outcomes: &[(Call, Outcome)]) -> usize {
    let mut count = 0;
    for (request, outcome) in outcomes {
        let events = outcome.events();
        let software: BTreeSet<&str> = events
            .iter()
            .filter_map(|event| event.split('/').nth(1))
            .collect();
        if software.len() > 1 {
            count += 1;
            world.log(format!(
                "ORDER request={} events={}",
                request.id,
                events.join(" ")
            ));
        }
    }
    world.log(format!(
        "{} streams, {count} of them with events of two software versions",
        outcomes.len()
    ));
    count
}

/// Half of the runners get new software, one after the other. Each starts again under the id that it had.
pub async fn upgraded(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    /// More than two such streams break the rule.
    const ALLOWED: usize = 2;
    let setup = Arc::new(Setup::start(world, repository, folder, LARGE_SHAPE).await?);
    let start = Instant::now();
    let traffic = setup.traffic(adapters(16), 35.0, 10_000, start + Duration::from_secs(22));
    sleep(Duration::from_secs(8)).await;
    let software = if trouble { "v2" } else { "v1" };
    let upgraded = setup.engines.len() / 2;
    for engine in &setup.engines[..upgraded] {
        engine.crash();
        sleep(RESTART_TIME).await;
        engine.start(software, false).await;
        // The next one is stopped as soon as this one has its model again.
        while !engine.has_model() {
            sleep(Duration::from_millis(20)).await;
        }
    }
    let outcomes = traffic.await.ok()?;
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete)
        .count();
    world.log(format!("{} requests, {served} served", outcomes.len()));
    Some(count_mixed_streams(world, &outcomes).saturating_sub(ALLOWED))
}

/// One runner of a plain service is killed while it answers.
pub async fn killed(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    let shape = Shape {
        engines: 1,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let servers: Vec<PlainServer> = (0..3)
        .map(|index| PlainServer::start(world, &setup.store, folder, index))
        .collect();
    sleep(Duration::from_secs(4)).await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..800u32 {
        let (calling, world) = (Arc::clone(&setup), Arc::clone(world));
        tasks.push(tokio::spawn(async move {
            let request = calling.safe_call(1_000);
            let entry = world.caller_address(number as usize % calling.fronts);
            let outcome = call(entry, &request).await;
            log_outcome(&world, &request, &outcome);
            (request, outcome)
        }));
        if trouble && number == 400 {
            servers[0].kill(&setup.world);
        }
        let due = start + Duration::from_millis(u64::from(number) * 10);
        sleep(due.saturating_duration_since(Instant::now())).await;
    }
    let (mut served, mut truncated) = (0, 0);
    for task in tasks {
        let (request, outcome) = task.await.ok()?;
        let is_success = outcome.status == 200 && outcome.is_complete;
        served += usize::from(is_success);
        if is_success && outcome.body.len() != BODY_BYTES {
            truncated += 1;
            world.log(format!(
                "MIXED request={} got a complete 200 with {} of the runner's {BODY_BYTES} bytes",
                request.id,
                outcome.body.len()
            ));
        }
    }
    for server in &servers {
        server.record_runs(&setup.world);
    }
    world.log(format!(
        "800 requests, {served} served, {truncated} of them with a part of the runner's body"
    ));
    Some(truncated)
}

/// One model runner is taken away at short notice, while its streams end with their channels.
pub async fn reclaimed(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    /// Time from the notice to the end of the runner.
    const NOTICE: Duration = Duration::from_secs(2);
    let engine = EngineSettings {
        events: 120,
        gap_ms: 40,
        is_unframed: true,
        ..RIGA_ENGINE
    };
    let setup = Arc::new(
        Setup::start(
            world,
            repository,
            folder,
            Shape {
                engine,
                ..RIGA_SHAPE
            },
        )
        .await?,
    );
    let start = Instant::now();
    let traffic = setup.traffic(adapters(8), 12.0, 15_000, start + Duration::from_secs(16));
    sleep(Duration::from_secs(8)).await;
    if trouble {
        let busiest = setup.engines.iter().max_by_key(|engine| engine.running());
        busiest?.take_away(NOTICE).await;
    }
    let outcomes = traffic.await.ok()?;
    let (mut served, mut cut) = (0, 0);
    for (request, outcome) in &outcomes {
        let events = outcome.events().len() as u64;
        let is_success = outcome.status == 200 && outcome.is_complete;
        served += usize::from(is_success);
        if is_success && events < engine.events {
            cut += 1;
            let last = engine.events;
            world.log(format!(
                "ORDER request={} ended as complete after event {events} of {last}",
                request.id
            ));
        }
    }
    world.log(format!(
        "{} streams, {served} ended as complete, {cut} of these before their last event",
        outcomes.len()
    ));
    Some(cut)
}

/// The adapters of the deployment are so large that the memory for weights holds fewer of them than there are
/// places.
pub async fn oversized(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    let adapter_mb = if trouble { 120.0 } else { 12.0 };
    let engine = EngineSettings {
        adapter_mb,
        events: 30,
        ..RIGA_ENGINE
    };
    let setup = Arc::new(
        Setup::start(
            world,
            repository,
            folder,
            Shape {
                engine,
                ..RIGA_SHAPE
            },
        )
        .await?,
    );
    let traffic = setup.traffic(
        adapters(120),
        40.0,
        8_000,
        Instant::now() + Duration::from_secs(30),
    );
    let outcomes = traffic.await.ok()?;
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == 200 && outcome.is_complete)
        .count();
    let excess: usize = setup
        .engines
        .iter()
        .map(|engine| engine.excess_orders.load(Ordering::Relaxed))
        .sum();
    world.log(format!(
        "{} requests, {served} served; {excess} orders to load more than a runner holds",
        outcomes.len()
    ));
    Some(excess)
}

/// A part late in long prompts crashes each runner. Sound requests share the first part of these prompts.
pub async fn poisoned(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    const POISON: &str = "91bd3f06";
    const FIRST: &str = "5c1e07a2";
    const WINDOW: Duration = Duration::from_millis(RIGA.stable_window_ms);
    /// Time between two requests with the part.
    const POISON_GAP: Duration = Duration::from_millis(700);
    /// The rule compares shares of this many requests or more.
    const MIN_REQUESTS: usize = 20;
    /// More than this many requests with the part that reach runners later break BUDGET.
    const ALLOWED: usize = 3;
    let setup = Arc::new(
        Setup::start(
            world,
            repository,
            folder,
            Shape {
                engines: 2,
                ..RIGA_SHAPE
            },
        )
        .await?,
    );
    *world.poison.lock().unwrap() = Some(POISON.to_owned());
    let begin = Instant::now();
    let traffic = setup.traffic(adapters(8), 20.0, 8_000, begin + Duration::from_secs(50));
    sleep(Duration::from_secs(10)).await;
    let poison_from = Instant::now();
    let parts_before = if trouble { 34 } else { 10 };
    for number in 0..54u32 {
        let mut request = setup.stream_call(&adapters(8)[number as usize % 8], 8_000);
        let own =
            (0..parts_before).map(|part| format!("{:x}:100", 0xe440_0000u32 + number * 64 + part));
        request.parts = std::iter::once(format!("{FIRST}:100")).chain(own).collect();
        request.parts.push(format!("{POISON}:100"));
        let (entry, world) = (
            world.caller_address(number as usize % setup.fronts),
            Arc::clone(world),
        );
        tokio::spawn(async move {
            let outcome = call(entry, &request).await;
            log_outcome(&world, &request, &outcome);
        });
        sleep(POISON_GAP).await;
    }
    let poison_to = Instant::now();
    let outcomes = traffic.await.ok()?;
    let crashes = world.crashes.lock().unwrap().clone();
    let reached = world.poisoned.lock().unwrap().clone();
    let Some(&fifth) = crashes.get(4).or(crashes.last()) else {
        world.log("no runner has crashed");
        return Some(0);
    };
    let begun: HashSet<String> = world
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.request.clone())
        .collect();
    let share = |from: Instant, to: Instant| {
        let sent = outcomes
            .iter()
            .filter(|(_, outcome)| outcome.sent >= from && outcome.sent < to);
        let sent: Vec<bool> = sent
            .map(|(request, _)| begun.contains(&request.id))
            .collect();
        let count = sent.iter().filter(|&&has_begun| has_begun).count();
        (sent.len(), count)
    };
    // Adapters have been fetched after some seconds.
    let before = share(begin + Duration::from_secs(3), poison_from);
    let after = share(fifth + 2 * WINDOW, poison_to);
    let late = reached.iter().filter(|&&at| at > fifth + WINDOW).count();
    let late_crashes = crashes.iter().filter(|&&at| at > fifth + WINDOW).count();
    world.log(format!(
        "sound requests before: {} sent, {} begun; after: {} sent, {} begun",
        before.0, before.1, after.0, after.1
    ));
    world.log(format!(
        "{} crashes, {late_crashes} of them later than stable_window_ms after the fifth; BUDGET: {late} requests with the part reached runners after that, {ALLOWED} are allowed",
        crashes.len()
    ));
    let is_judged = before.0 >= MIN_REQUESTS && after.0 >= MIN_REQUESTS;
    let is_lost = is_judged && after.1 * before.0 * 2 < before.1 * after.0;
    world.log(format!(
        "LOST {}",
        if is_lost { "is broken" } else { "holds" }
    ));
    Some(usize::from(is_lost))
}

/// How a client took a stream up again at a machine in touch, after its channel had broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeUp {
    /// The stream was complete before, or no attempt met a machine in touch.
    None,
    Refused,
    GoesOn,
}

/// Runs a stream, and takes it up again at the fronts in turn until it goes on or its time is over.
async fn stream_with_retries(
    setup: Arc<Setup>,
    number: usize,
    in_touch: Arc<OnceLock<Instant>>,
) -> TakeUp {
    const DEADLINE_MS: u64 = 25_000;
    /// The pause before the first retry; each further one is twice as long.
    const PAUSE: Duration = Duration::from_secs(1);
    const RETRIES: u32 = 4;
    let world = &setup.world;
    let first = setup.stream_call(&adapters(8)[number % 8], DEADLINE_MS);
    let started = Instant::now();
    let outcome = call(world.caller_address(number % setup.fronts), &first).await;
    log_outcome(world, &first, &outcome);
    let last = outcome.events().len() as u64;
    if outcome.status != 200 || outcome.is_complete || last == 0 {
        return TakeUp::None;
    }
    let mut result = TakeUp::None;
    for attempt in 0..RETRIES {
        sleep(PAUSE * 2u32.pow(attempt)).await;
        let left_ms = DEADLINE_MS.saturating_sub(started.elapsed().as_millis() as u64);
        let mut request = setup.stream_call(first.adapter.as_deref().unwrap_or_default(), left_ms);
        request.body = first.body.clone();
        request.resumes = Some((first.id.clone(), last));
        let is_in_touch = in_touch.get().is_some_and(|&at| Instant::now() > at);
        let outcome = call(
            world.caller_address((number + 1 + attempt as usize) % setup.fronts),
            &request,
        )
        .await;
        let goes_on = outcome.status == 200 && !outcome.events().is_empty();
        world.log(format!(
            "takes {} up after event {last}, in touch {is_in_touch}: goes on {goes_on}",
            first.id
        ));
        log_outcome(world, &request, &outcome);
        if goes_on {
            return if is_in_touch {
                TakeUp::GoesOn
            } else {
                TakeUp::None
            };
        }
        if is_in_touch {
            result = TakeUp::Refused;
        }
    }
    result
}

/// All processes of the system are killed at the same moment, and are back after a second.
pub async fn restarted(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    /// The rule compares shares of this many streams or more.
    const MIN_STREAMS: usize = 12;
    let engine = EngineSettings {
        events: 120,
        gap_ms: 80,
        ..RIGA_ENGINE
    };
    let shape = Shape {
        engine,
        stream_timeout_ms: 25_000,
        objective_ms: 1_000,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let in_touch = Arc::new(OnceLock::new());
    // The adapters are fetched first.
    setup
        .traffic(
            adapters(8),
            8.0,
            8_000,
            Instant::now() + Duration::from_secs(3),
        )
        .await
        .ok()?;
    let streams: Vec<_> = (0..40)
        .map(|number| {
            tokio::spawn(stream_with_retries(
                Arc::clone(&setup),
                number,
                Arc::clone(&in_touch),
            ))
        })
        .collect();
    sleep(Duration::from_secs(3)).await;
    if trouble {
        setup.processes.lock().unwrap().kill_all();
        sleep(Duration::from_secs(1)).await;
        setup.processes.lock().unwrap().start_all_again();
        wait_until_ready(world, setup.fronts).await;
        let _ = in_touch.set(Instant::now() + Duration::from_millis(RIGA.stable_window_ms));
    }
    sleep(Duration::from_millis(RIGA.stable_window_ms)).await;
    let new = setup
        .traffic(
            adapters(8),
            4.0,
            15_000,
            Instant::now() + Duration::from_secs(8),
        )
        .await
        .ok()?;
    let begun: HashSet<String> = world
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.request.clone())
        .collect();
    let new_begun = new
        .iter()
        .filter(|(request, _)| begun.contains(&request.id))
        .count();
    let (mut refused, mut go_on) = (0, 0);
    for stream in streams {
        match stream.await.ok()? {
            TakeUp::None => {}
            TakeUp::Refused => refused += 1,
            TakeUp::GoesOn => go_on += 1,
        }
    }
    let taken_up = refused + go_on;
    world.log(format!("{taken_up} streams were taken up at machines in touch, {go_on} of them went on; {} new streams, {new_begun} of them began", new.len()));
    let is_lost = taken_up >= MIN_STREAMS && go_on * new.len() * 2 < new_begun * taken_up;
    Some(usize::from(is_lost) * refused)
}

/// The store turns one front away while runners are added; plain runners name the rate that they take.
pub async fn limited(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    const PER_S: f64 = 10.0;
    const ADDED: usize = 4;
    let shape = Shape {
        engines: 2,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    let mut servers = Vec::new();
    for index in 0..4 {
        servers.push(LimitedServer::start(world, &setup.store, index, PER_S).await);
    }
    sleep(Duration::from_secs(4)).await;
    let start = Instant::now();
    let calling = Arc::clone(&setup);
    let traffic = tokio::spawn(async move {
        for number in 0..3_000u32 {
            let calling = Arc::clone(&calling);
            tokio::spawn(async move {
                let request = calling.safe_call(1_000);
                let entry = calling
                    .world
                    .caller_address(number as usize % calling.fronts);
                let outcome = call(entry, &request).await;
                log_outcome(&calling.world, &request, &outcome);
            });
            let due = start + Duration::from_micros(u64::from(number) * 8_333);
            sleep(due.saturating_duration_since(Instant::now())).await;
        }
    });
    sleep(Duration::from_secs(8)).await;
    setup.store.turns_away.store(trouble, Ordering::Relaxed);
    world.log(format!("the store turns front 0 away: {trouble}"));
    sleep(Duration::from_millis(500)).await;
    for index in shape.engines..shape.engines + ADDED {
        let engine = Engine::new(world, &setup.store, shape.engine, index, "v1");
        engine.start("v1", true).await;
    }
    setup
        .processes
        .lock()
        .unwrap()
        .start_sides(shape.engines..shape.engines + ADDED, shape.bounds);
    sleep(Duration::from_millis(8_500)).await;
    setup.store.turns_away.store(false, Ordering::Relaxed);
    traffic.await.ok()?;
    sleep(Duration::from_secs(2)).await;
    let mut broken = 0;
    for server in &servers {
        let first = *server.arrivals.lock().unwrap().first()?;
        let (most, at) =
            server.most_in_window(first + Duration::from_millis(RIGA.stable_window_ms));
        let allowed = 1.5 * 4.0 * server.per_s + 5.0;
        broken += usize::from(most as f64 > allowed);
        world.log(format!(
            "LIMIT {} got at most {most} requests in 4 s, from_ms={}; {allowed} are allowed",
            server.id,
            world.ms(at)
        ));
    }
    Some(broken)
}

/// Clients send bodies as long as the configuration allows, all at the same time.
pub async fn bodies(
    world: &Arc<World>,
    repository: &Path,
    folder: &Path,
    trouble: bool,
) -> Option<usize> {
    /// The `memory_mb` of a `side` machine.
    const SIDE_MEMORY_MB: f64 = 192.0;
    let engine = EngineSettings {
        events: 100,
        gap_ms: 80,
        ..RIGA_ENGINE
    };
    let shape = Shape {
        fronts: 4,
        engines: 1,
        engine,
        ..RIGA_SHAPE
    };
    let setup = Arc::new(Setup::start(world, repository, folder, shape).await?);
    setup
        .traffic(
            adapters(4),
            8.0,
            15_000,
            Instant::now() + Duration::from_secs(2),
        )
        .await
        .ok()?;
    sleep(Duration::from_secs(1)).await;
    let bytes = if trouble { 4_194_304 } else { 2_900 };
    let mut tasks = Vec::new();
    for number in 0..56usize {
        let mut request = setup.stream_call(&adapters(4)[number % 4], 15_000);
        let own = request.body.clone();
        request.body = own
            .iter()
            .copied()
            .cycle()
            .take(bytes)
            .collect::<Vec<u8>>()
            .into();
        let (entry, world) = (
            world.caller_address(number % setup.fronts),
            Arc::clone(world),
        );
        tasks.push(tokio::spawn(async move {
            let outcome = call(entry, &request).await;
            log_outcome(&world, &request, &outcome);
            outcome.status == 200 && outcome.is_complete
        }));
    }
    let mut served = 0;
    for task in tasks {
        served += usize::from(task.await.ok()?);
    }
    let mut exceeded = 0;
    for (name, peak_mb) in peak_memory_mb() {
        let is_exceeded = name.starts_with("side") && peak_mb > SIDE_MEMORY_MB;
        exceeded += usize::from(is_exceeded);
        world.log(format!(
            "{name} has used {peak_mb:.1} MB{}",
            if is_exceeded {
                ", more than its memory_mb"
            } else {
                ""
            }
        ));
    }
    world.log(format!("56 requests of {bytes} bytes, {served} served"));
    Some(exceeded)
}
