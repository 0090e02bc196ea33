//! Replacement of adapters by newer versions, at an engine with a delay.

use {
    super::fake_engine::{FakeEngine, MODEL, limits},
    magnoliasail_core::gateway::{
        AdapterVersion, EngineAction, EngineRequest, EngineScheduler, SchedulerSettings,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Time of a load.
const LOAD_MS: u64 = 250;
const RUN_MS: u64 = 60;
const REPORT_INTERVAL_MS: u64 = 20;
/// Time from a report to its arrival at the scheduler.
const STEP_MS: u64 = 10;
/// The delay of the engine within the spread.
const DELAY_MS: u64 = 1_900;

/// A request that has started, with what it began on.
#[derive(Clone, Copy, Debug)]
struct Run {
    version: u64,
    at_ms: u64,
}

/// An engine in virtual time, with a request for each of its adapters at a fixed interval.
struct Play {
    scheduler: EngineScheduler,
    engine: FakeEngine,
    now_ms: u64,
    adapters: usize,
    request_interval_ms: u64,
    next_key: u64,
    adapter_of: BTreeMap<u64, usize>,
    /// When loads complete, in the order of orders.
    loads: VecDeque<(u64, Arc<str>)>,
    /// When runs end.
    ends: BTreeSet<(u64, u64)>,
    runs: Vec<Run>,
}

impl Play {
    fn new(adapters: usize, request_interval_ms: u64) -> Self {
        let mut scheduler = EngineScheduler::new(SchedulerSettings {
            engine_seed: DELAY_MS,
            ..SchedulerSettings::default()
        });
        scheduler.configure(limits());
        Self {
            scheduler,
            engine: FakeEngine::with_model(),
            now_ms: 100_000,
            adapters,
            request_interval_ms,
            next_key: 1,
            adapter_of: BTreeMap::new(),
            loads: VecDeque::new(),
            ends: BTreeSet::new(),
            runs: Vec::new(),
        }
    }

    fn name(adapter: usize) -> String {
        format!("a{adapter}")
    }

    fn announce(&mut self, adapter: usize, version: u64) {
        let announced = AdapterVersion {
            model: MODEL.into(),
            adapter: Self::name(adapter).into(),
            version,
        };
        self.scheduler.announce(&announced, self.now_ms);
    }

    fn step(&mut self, input: impl FnOnce(&mut EngineScheduler, u64, &mut Vec<EngineAction>)) {
        let mut actions = VecDeque::new();
        let mut new = Vec::new();
        input(&mut self.scheduler, self.now_ms, &mut new);
        actions.extend(new);
        while let Some(action) = actions.pop_front() {
            match action {
                EngineAction::Start { key } => {
                    let adapter = self.adapter_of[&key];
                    let name = Self::name(adapter);
                    // A request beside the replacement of its adapter would be turned away.
                    assert!(!self.engine.loading.contains_key(&*name));
                    self.runs.push(Run {
                        version: self.engine.loaded[&*name],
                        at_ms: self.now_ms,
                    });
                    self.ends.insert((self.now_ms + RUN_MS, key));
                }
                EngineAction::Refuse { .. } => {}
                EngineAction::Order(order) => {
                    let outcome = self.engine.order(&order);
                    if let Some(adapter) = &order.adapter {
                        self.loads
                            .push_back((self.now_ms + LOAD_MS, adapter.clone()));
                    }
                    let mut new = Vec::new();
                    self.scheduler
                        .record_order_outcome(outcome, self.now_ms, &mut new);
                    actions.extend(new);
                }
            }
        }
    }

    /// Advances the time by one step.
    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(&(end_ms, key)) = self.ends.first()
            && end_ms <= self.now_ms
        {
            self.ends.pop_first();
            self.step(|scheduler, now_ms, actions| {
                scheduler.finish(key, true, now_ms, actions);
            });
        }
        while self
            .loads
            .front()
            .is_some_and(|&(at_ms, _)| at_ms <= self.now_ms)
        {
            let (_, adapter) = self.loads.pop_front().expect("there is one");
            if let Some(version) = self.engine.loading.remove(&adapter) {
                self.engine.loaded.insert(adapter, version);
            }
        }
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            let ticket = self.scheduler.report_ticket();
            let report = self.engine.report();
            self.step(|scheduler, now_ms, actions| {
                scheduler.apply_report(&report, ticket, now_ms, actions)
            });
        }
        if self.now_ms.is_multiple_of(self.request_interval_ms) {
            for adapter in 0..self.adapters {
                self.submit(adapter);
            }
        }
    }

    fn submit(&mut self, adapter: usize) {
        let key = self.next_key;
        self.next_key += 1;
        self.adapter_of.insert(key, adapter);
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            adapter: Some(format!("{MODEL}/{}", Self::name(adapter)).into()),
            rank: 1,
            prompt_tokens: 100,
            kv_tokens: 200,
            arrived_ms: self.now_ms,
            objective_ms: self.now_ms + 500,
            deadline_ms: self.now_ms + 5_000,
            ..EngineRequest::default()
        };
        self.step(|scheduler, now_ms, actions| scheduler.submit(request, now_ms, actions));
    }

    fn advance_by(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.advance();
        }
    }
}

/// Each replacement counts from the first newer version: further ones don't put it off.
#[test]
fn versions_announced_in_quick_succession_do_not_put_the_replacement_off() {
    const INTERVAL_MS: u64 = 1_000;
    const VERSIONS: u64 = 14;
    let mut play = Play::new(1, 50);
    play.advance_by(3_000);
    let first_ms = play.now_ms;
    for version in 2..=VERSIONS {
        play.announce(0, version);
        play.advance_by(INTERVAL_MS);
    }
    play.advance_by(3_000);
    let announced_ms = |version: u64| first_ms + (version - 2) * INTERVAL_MS;
    let outdated_runs = play.runs.iter().filter(|run| run.version < VERSIONS);
    let worst_ms = outdated_runs
        .map(|run| run.at_ms.saturating_sub(announced_ms(run.version + 1)))
        .max();
    assert!(
        worst_ms <= Some(DELAY_MS + LOAD_MS),
        "a run began {worst_ms:?} ms after a newer version was announced"
    );
    let last = play.runs.last().expect("a run");
    assert_eq!(last.version, VERSIONS);
}
