//! The scheduler of one engine: loads, evictions, versions, ranks and refusals.

use {
    super::engine::{FakeEngine, MODEL, limits},
    arbtest::arbtest,
    magnoliasail_core::gateway::{
        AdapterVersion, EngineAction, EngineRefusal, EngineRequest, EngineScheduler, OrderKind,
        OrderOutcome, SchedulerSettings,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A scheduler with an engine that answers at once; loads arrive when the test says so.
struct Bench {
    scheduler: EngineScheduler,
    engine: FakeEngine,
    now_ms: u64,
    next_key: u64,
    running: BTreeMap<u64, Arc<str>>,
    adapters: BTreeMap<u64, Arc<str>>,
    started: Vec<u64>,
    refused: Vec<(u64, EngineRefusal, u64)>,
    orders: Vec<(OrderKind, Option<Arc<str>>)>,
}

impl Bench {
    fn new() -> Self {
        let mut scheduler = EngineScheduler::new(SchedulerSettings {
            replacement_spread_ms: 1,
            ..SchedulerSettings::default()
        });
        scheduler.configure(limits());
        let mut bench = Self {
            scheduler,
            engine: FakeEngine::ready(),
            now_ms: 100_000,
            next_key: 1,
            running: BTreeMap::new(),
            adapters: BTreeMap::new(),
            started: Vec::new(),
            refused: Vec::new(),
            orders: Vec::new(),
        };
        bench.report();
        bench
    }

    fn submit(&mut self, adapter: &str, rank: u32) -> u64 {
        self.submit_within(adapter, rank, 5_000, 100)
    }

    fn submit_within(&mut self, adapter: &str, rank: u32, deadline_ms: u64, kv_tokens: u64) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        let adapter: Arc<str> = format!("{MODEL}/{adapter}").into();
        self.adapters.insert(key, Arc::clone(&adapter));
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            adapter: Some(adapter),
            rank,
            kv_tokens,
            arrived_ms: self.now_ms,
            objective_ms: self.now_ms + 500,
            deadline_ms: self.now_ms + deadline_ms,
        };
        self.decide(|scheduler, now_ms, actions| scheduler.submit(request, now_ms, actions));
        key
    }

    fn finish(&mut self, key: u64) {
        self.running.remove(&key);
        self.decide(|scheduler, now_ms, actions| {
            scheduler.finish(key, true, now_ms, actions);
        });
    }

    fn report(&mut self) {
        let ticket = self.scheduler.report_ticket();
        let report = self.engine.report();
        self.decide(|scheduler, now_ms, actions| {
            scheduler.apply_report(&report, ticket, now_ms, actions)
        });
    }

    fn arrive(&mut self) {
        self.engine.arrive();
        self.report();
    }

    fn decide(&mut self, act: impl FnOnce(&mut EngineScheduler, u64, &mut Vec<EngineAction>)) {
        let mut actions = Vec::new();
        act(&mut self.scheduler, self.now_ms, &mut actions);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                EngineAction::Start { key } => self.start(key),
                EngineAction::Refuse {
                    key,
                    reason,
                    retry_after_ms,
                } => self.refused.push((key, reason, retry_after_ms)),
                EngineAction::Order(order) => {
                    self.orders.push((order.kind, order.adapter.clone()));
                    if order.kind == OrderKind::Unload {
                        let name =
                            format!("{MODEL}/{}", order.adapter.as_deref().unwrap_or_default());
                        assert!(
                            !self.running.values().any(|used| **used == *name),
                            "{name} was in use"
                        );
                    }
                    let outcome = self.engine.order(&order);
                    self.scheduler
                        .record_order_outcome(outcome, self.now_ms, &mut actions);
                }
            }
        }
    }

    fn start(&mut self, key: u64) {
        let adapter = Arc::clone(&self.adapters[&key]);
        let short = adapter.split_once('/').expect("a full name").1;
        assert!(
            self.engine.loaded.contains_key(short),
            "{adapter} is not loaded"
        );
        self.started.push(key);
        self.running.insert(key, adapter);
        assert!(self.running.len() <= limits().batch_slots as usize);
    }
}

#[test]
fn the_load_is_ordered_with_the_first_request_and_shared_by_the_next() {
    let mut bench = Bench::new();
    let first = bench.submit("a", 1);
    let second = bench.submit("a", 1);
    assert_eq!(bench.orders, [(OrderKind::Load, Some("a".into()))]);
    assert!(bench.started.is_empty());
    bench.arrive();
    assert_eq!(bench.started, [first, second]);
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    let mut bench = Bench::new();
    for adapter in ["a", "b", "c", "d"] {
        bench.submit(adapter, 1);
    }
    bench.arrive();
    assert_eq!(bench.started.len(), 4);
    let waits = bench.submit("e", 1);
    assert!(
        !bench
            .orders
            .iter()
            .any(|(kind, _)| *kind == OrderKind::Unload)
    );
    bench.finish(bench.started[0]);
    assert!(
        bench
            .orders
            .contains(&(OrderKind::Unload, Some("a".into())))
    );
    bench.arrive();
    assert!(bench.started.contains(&waits));
}

#[test]
fn an_adapter_that_waiting_requests_want_is_not_the_victim() {
    let mut bench = Bench::new();
    for adapter in ["a", "b", "c", "d"] {
        let key = bench.submit(adapter, 1);
        bench.arrive();
        bench.finish(key);
    }
    // The batch is full of `b`, so that a request for `a` waits although `a` is resident.
    for _ in 0..limits().batch_slots {
        bench.submit("b", 0);
    }
    bench.submit("a", 1);
    bench.submit("e", 1);
    assert!(
        !bench
            .orders
            .contains(&(OrderKind::Unload, Some("a".into())))
    );
}

#[test]
fn a_burst_of_less_urgent_requests_does_not_delay_urgent_ones() {
    let mut bench = Bench::new();
    bench.submit("a", 2);
    bench.arrive();
    let low: Vec<u64> = (0..20).map(|_| bench.submit("a", 2)).collect();
    let urgent = bench.submit("a", 0);
    let first = bench.started[0];
    bench.finish(first);
    let last = bench.started.last().copied();
    assert_eq!(
        last,
        Some(urgent),
        "the urgent request starts before {} others",
        low.len()
    );
}

#[test]
fn what_cannot_finish_in_time_is_refused_at_once_with_the_time_of_a_place() {
    let mut bench = Bench::new();
    bench.submit("a", 1);
    bench.arrive();
    for _ in 0..60 {
        bench.submit("a", 1);
    }
    let late = bench.submit_within("a", 1, 300, 100);
    let (key, reason, retry_after_ms) = *bench.refused.last().expect("a refusal");
    assert_eq!((key, reason), (late, EngineRefusal::Overloaded));
    assert!(retry_after_ms > 300, "{retry_after_ms}");
}

#[test]
fn nothing_is_refused_while_places_are_free() {
    let mut bench = Bench::new();
    bench.submit("a", 1);
    bench.arrive();
    for _ in 1..limits().batch_slots {
        bench.submit_within("a", 9, 50, 100);
    }
    assert!(bench.refused.is_empty(), "{:?}", bench.refused);
}

#[test]
fn long_prompts_do_not_overrun_the_memory_of_the_engine() {
    let mut bench = Bench::new();
    bench.submit_within("a", 1, 5_000, 6_000);
    bench.submit_within("a", 1, 5_000, 6_000);
    bench.arrive();
    assert_eq!(bench.started.len(), 1);
    bench.finish(1);
    assert_eq!(bench.started.len(), 2);
}

#[test]
fn a_newer_version_is_loaded_and_requests_begin_on_no_older_one() {
    let mut bench = Bench::new();
    let key = bench.submit("a", 1);
    bench.arrive();
    bench.finish(key);
    bench.engine.newest.insert("a".into(), 2);
    let announced = AdapterVersion {
        model: MODEL.into(),
        adapter: "a".into(),
        version: 2,
    };
    let now_ms = bench.now_ms;
    bench.scheduler.announce(&announced, now_ms);
    bench.now_ms += 10;
    bench.report();
    let next = bench.submit("a", 1);
    assert!(
        !bench.started.contains(&next),
        "the old version is being replaced"
    );
    bench.arrive();
    assert!(bench.started.contains(&next));
    assert_eq!(bench.scheduler.expected_version("m/a"), Some(2));
}

#[test]
fn a_draining_engine_gets_nothing_new_and_its_queue_is_given_back() {
    let mut bench = Bench::new();
    let waiting = bench.submit("a", 1);
    let mut report = bench.engine.report();
    report.is_draining = true;
    let ticket = bench.scheduler.report_ticket();
    bench.decide(|scheduler, now_ms, actions| {
        scheduler.apply_report(&report, ticket, now_ms, actions)
    });
    assert_eq!(bench.refused, [(waiting, EngineRefusal::Draining, 0)]);
    bench.submit("a", 1);
    assert_eq!(bench.refused.len(), 2);
}

#[test]
fn an_engine_that_restarts_empty_gets_its_base_model_again() {
    let mut bench = Bench::new();
    bench.engine.restart();
    bench.report();
    assert_eq!(bench.orders.last(), Some(&(OrderKind::Load, None)));
    bench.report();
    assert!(bench.scheduler.is_serving());
}

#[test]
fn an_order_whose_answer_is_lost_is_not_given_again_before_a_report() {
    let mut bench = Bench::new();
    bench.submit("a", 1);
    bench.arrive();
    let mut actions = Vec::new();
    let request = EngineRequest {
        key: 99,
        model: MODEL.into(),
        adapter: Some("m/b".into()),
        rank: 1,
        kv_tokens: 1,
        arrived_ms: bench.now_ms,
        objective_ms: bench.now_ms + 500,
        deadline_ms: bench.now_ms + 5_000,
    };
    bench.scheduler.submit(request, bench.now_ms, &mut actions);
    assert!(matches!(actions.as_slice(), [EngineAction::Order(_)]));
    actions.clear();
    bench
        .scheduler
        .record_order_outcome(OrderOutcome::Unknown, bench.now_ms, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}

/// The load after a whole fleet restarted cold: every request misses, and the store is slow.
#[test]
fn in_a_cold_fleet_the_adapter_that_most_requests_want_is_loaded_first() {
    let mut bench = Bench::new();
    for adapter in ["a", "b", "c", "d"] {
        bench.submit(adapter, 1);
    }
    // All slots are loading; the rest waits.
    bench.submit("rare", 1);
    for _ in 0..3 {
        bench.submit("hot", 1);
    }
    bench.arrive();
    bench.finish(bench.started[0]);
    let loads: Vec<_> = bench
        .orders
        .iter()
        .filter(|(kind, _)| *kind == OrderKind::Load)
        .collect();
    assert_eq!(loads.last(), Some(&&(OrderKind::Load, Some("hot".into()))));
}

#[test]
fn fewer_loads_are_under_way_at_once_when_the_store_is_slow() {
    let mut bench = Bench::new();
    let key = bench.submit("first", 1);
    bench.now_ms += 250;
    bench.arrive();
    bench.finish(key);
    for round in 0..40 {
        let key = bench.submit_within(&round.to_string(), 1, 60_000, 1);
        bench.now_ms += 1_000;
        bench.arrive();
        bench.finish(key);
    }
    let before = bench.engine.loading.len();
    for adapter in ["p", "q", "r"] {
        bench.submit_within(adapter, 1, 60_000, 1);
    }
    assert_eq!((before, bench.engine.loading.len()), (0, 1));
}

#[test]
fn a_request_whose_adapter_cannot_be_there_in_time_is_refused_at_once() {
    let mut bench = Bench::new();
    for round in 0..40 {
        let key = bench.submit_within(&round.to_string(), 1, 60_000, 1);
        bench.now_ms += 1_000;
        bench.arrive();
        bench.finish(key);
    }
    let hopeless = bench.submit_within("cold", 1, 400, 1);
    let refusal = bench.refused.last().map(|&(key, reason, _)| (key, reason));
    assert_eq!(refusal, Some((hopeless, EngineRefusal::Overloaded)));
}

#[test]
fn callers_that_cannot_wait_for_a_model_that_is_loading_learn_when_it_is_ready() {
    let mut bench = Bench::new();
    bench.engine.restart();
    bench.report();
    let in_a_hurry = bench.submit_within("a", 1, 1_000, 1);
    let (key, reason, retry_after_ms) = *bench.refused.last().expect("a refusal");
    assert_eq!((key, reason), (in_a_hurry, EngineRefusal::Overloaded));
    assert!(retry_after_ms >= 2_000, "{retry_after_ms}");
}

#[test]
fn an_engine_without_a_model_refuses_until_one_is_loading() {
    let mut bench = Bench::new();
    bench.engine.restart();
    let scheduler = EngineScheduler::new(SchedulerSettings::default());
    bench.scheduler = scheduler;
    let key = bench.submit("a", 1);
    let refusal = bench.refused.last().map(|&(key, reason, _)| (key, reason));
    assert_eq!(refusal, Some((key, EngineRefusal::ModelAbsent)));
}

/// The load right after all engines lost power: callers come back while base models are loaded, and
/// most of them ask for a few adapters.
#[test]
fn requests_wait_for_a_model_that_is_loading_and_the_most_wanted_adapters_come_first() {
    let mut bench = Bench::new();
    bench.engine.restart();
    bench.report();
    bench.orders.clear();
    let rare = bench.submit("rare", 1);
    let wanted: Vec<u64> = (0..6).map(|_| bench.submit("hot", 1)).collect();
    assert!(bench.refused.is_empty(), "{:?}", bench.refused);
    assert!(bench.orders.is_empty(), "{:?}", bench.orders);
    bench.now_ms += 2_000;
    bench.report();
    let first = bench.orders.first().cloned();
    assert_eq!(first, Some((OrderKind::Load, Some("hot".into()))));
    bench.now_ms += 300;
    bench.arrive();
    assert!(bench.refused.is_empty(), "{:?}", bench.refused);
    for key in wanted.into_iter().chain([rare]) {
        assert!(bench.started.contains(&key));
    }
}

/// Plays random histories: an engine never crashes from its orders, and nothing starts without its
/// adapter or beyond the batch.
#[test]
fn random_histories_never_overrun_the_engine() {
    arbtest(|source| {
        let mut bench = Bench::new();
        while !source.is_empty() {
            bench.now_ms += source.int_in_range(0..=200_u64)?;
            match source.int_in_range(0..=9_u8)? {
                0..=4 => {
                    let adapter = source.int_in_range(0..=9_u8)?;
                    let rank = source.int_in_range(0..=2_u32)?;
                    bench.submit(&adapter.to_string(), rank);
                }
                5 | 6 => {
                    if let Some(&key) = bench.running.keys().next() {
                        bench.finish(key);
                    }
                }
                7 => bench.arrive(),
                8 => bench.report(),
                _ => {
                    let keys: Vec<u64> = std::mem::take(&mut bench.running).into_keys().collect();
                    bench.engine.restart();
                    bench.report();
                    for key in keys {
                        bench.finish(key);
                    }
                }
            }
            assert!(
                !bench.engine.has_crashed,
                "the engine was told to hold too many adapters"
            );
        }
        Ok(())
    });
}
