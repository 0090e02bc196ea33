//! Tests of the engine scheduler: loads, evictions, versions, ranks and refusals.

use {
    super::{
        fake_engine::{MODEL, limits},
        scheduler_harness::Harness,
    },
    arbtest::arbtest,
    magnoliasail_core::gateway::{
        AdapterVersion, EngineAction, EngineLimits, EngineRefusal, EngineRequest, EngineScheduler,
        OrderKind, OrderOutcome, RateSource, RateStatement, RequestRate, RequestedPause,
        SchedulerSettings, ServerNotice, adapter_key,
    },
};

#[test]
fn requests_for_an_adapter_share_the_load_ordered_for_the_first() {
    let mut harness = Harness::new();
    let first = harness.submit("a", 1);
    let second = harness.submit("a", 1);
    assert_eq!(harness.orders, [(OrderKind::Load, Some("a".into()))]);
    assert!(harness.started.is_empty());
    harness.complete_loads();
    assert_eq!(harness.started, [first, second]);
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    let mut harness = Harness::new();
    for adapter in ["a", "b", "c", "d"] {
        harness.submit(adapter, 1);
    }
    harness.complete_loads();
    assert_eq!(harness.started.len(), 4);
    let waiting = harness.submit("e", 1);
    assert!(
        !harness
            .orders
            .iter()
            .any(|(kind, _)| *kind == OrderKind::Unload)
    );
    harness.finish(harness.started[0]);
    assert!(
        harness
            .orders
            .contains(&(OrderKind::Unload, Some("a".into())))
    );
    harness.complete_loads();
    assert!(harness.started.contains(&waiting));
}

/// The end of a request that an engine lost in a restart may arrive after the restarted engine has
/// loaded the same adapter for another request.
#[test]
fn the_late_end_of_a_request_from_before_a_restart_does_not_unpin_a_reloaded_adapter() {
    let mut harness = Harness::new();
    let lost = harness.submit("a", 1);
    harness.complete_loads();
    harness.engine.restart();
    harness.report();
    harness.complete_loads();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    assert!(harness.started.contains(&running));
    harness.finish(lost);
    for adapter in ["b", "c", "d", "e"] {
        harness.submit(adapter, 1);
    }
    assert!(
        !harness
            .orders
            .contains(&(OrderKind::Unload, Some("a".into())))
    );
}

/// While engines are replaced, one that accepts no connections completes the streams that it runs.
#[test]
fn requests_on_an_unreachable_engine_keep_running_and_waiting_ones_are_refused() {
    let mut harness = Harness::new();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    let waiting = harness.submit("b", 1);
    harness.step(|scheduler, now_ms, actions| scheduler.mark_unreachable(now_ms, actions));
    assert_eq!(harness.refused, [(waiting, EngineRefusal::EngineDown, 0)]);
    assert_eq!(harness.scheduler.load(), 1);
    let mut actions = Vec::new();
    let now_ms = harness.now_ms;
    let has_started = harness
        .scheduler
        .finish(running, true, now_ms, &mut actions);
    assert!(has_started);
}

#[test]
fn an_adapter_that_a_waiting_request_needs_is_not_evicted() {
    let mut harness = Harness::new();
    for adapter in ["a", "b", "c", "d"] {
        let key = harness.submit(adapter, 1);
        harness.complete_loads();
        harness.finish(key);
    }
    // Requests for `b` fill the batch, so that a request for `a` waits although `a` is resident.
    for _ in 0..limits().batch_slots {
        harness.submit("b", 0);
    }
    harness.submit("a", 1);
    harness.submit("e", 1);
    assert!(
        !harness
            .orders
            .contains(&(OrderKind::Unload, Some("a".into())))
    );
}

#[test]
fn a_burst_of_less_urgent_requests_does_not_delay_urgent_ones() {
    let mut harness = Harness::new();
    harness.submit("a", 2);
    harness.complete_loads();
    let low: Vec<u64> = (0..20).map(|_| harness.submit("a", 2)).collect();
    let urgent = harness.submit("a", 0);
    let first = harness.started[0];
    harness.finish(first);
    let last = harness.started.last().copied();
    assert_eq!(
        last,
        Some(urgent),
        "the urgent request starts before {} others",
        low.len()
    );
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once_with_a_retry_delay() {
    let mut harness = Harness::new();
    harness.submit("a", 1);
    harness.complete_loads();
    for _ in 0..60 {
        harness.submit("a", 1);
    }
    let late = harness.submit_within("a", 1, 300, 100);
    let (key, reason, retry_after_ms) = *harness.refused.last().expect("a refusal");
    assert_eq!((key, reason), (late, EngineRefusal::Overloaded));
    assert!(retry_after_ms > 300, "{retry_after_ms}");
}

#[test]
fn no_request_is_refused_while_the_batch_has_room() {
    let mut harness = Harness::new();
    harness.submit("a", 1);
    harness.complete_loads();
    for _ in 1..limits().batch_slots {
        harness.submit_within("a", 9, 50, 100);
    }
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
}

#[test]
fn long_prompts_do_not_exceed_the_kv_cache() {
    let mut harness = Harness::new();
    harness.submit_within("a", 1, 5_000, 6_000);
    harness.submit_within("a", 1, 5_000, 6_000);
    harness.complete_loads();
    assert_eq!(harness.started.len(), 1);
    harness.finish(1);
    assert_eq!(harness.started.len(), 2);
}

#[test]
fn after_an_announcement_requests_start_only_on_the_newer_version() {
    let mut harness = Harness::new();
    let key = harness.submit("a", 1);
    harness.complete_loads();
    harness.finish(key);
    harness.engine.newest.insert("a".into(), 2);
    let announced = AdapterVersion {
        model: MODEL.into(),
        adapter: "a".into(),
        version: 2,
    };
    let now_ms = harness.now_ms;
    harness.scheduler.announce(&announced, now_ms, now_ms);
    harness.now_ms += 10;
    harness.report();
    let next = harness.submit("a", 1);
    assert!(
        !harness.started.contains(&next),
        "the old version is being replaced"
    );
    harness.complete_loads();
    assert!(harness.started.contains(&next));
    assert_eq!(harness.scheduler.expected_version("m/a"), Some(2));
}

#[test]
fn a_draining_engine_refuses_new_and_waiting_requests() {
    let mut harness = Harness::new();
    let waiting = harness.submit("a", 1);
    let mut report = harness.engine.report();
    report.is_draining = true;
    let ticket = harness.scheduler.report_ticket();
    harness.step(|scheduler, now_ms, actions| {
        scheduler.apply_report(&report, ticket, now_ms, actions)
    });
    assert_eq!(harness.refused, [(waiting, EngineRefusal::Draining, 0)]);
    harness.submit("a", 1);
    assert_eq!(harness.refused.len(), 2);
}

#[test]
fn a_base_model_is_loaded_after_a_restart() {
    let mut harness = Harness::new();
    harness.engine.restart();
    harness.report();
    assert_eq!(harness.orders.last(), Some(&(OrderKind::Load, None)));
    harness.report();
    assert!(harness.scheduler.is_serving(harness.now_ms));
}

/// Guards against an engine that restarts again and again and takes the weight store's rate from others.
#[test]
fn base_models_of_an_engine_that_keeps_restarting_are_ordered_with_a_gap() {
    let mut harness = Harness::new();
    let model_loads = |harness: &Harness| {
        let loads = harness.orders.iter();
        loads
            .filter(|order| **order == (OrderKind::Load, None))
            .count()
    };
    harness.engine.restart();
    harness.report();
    assert_eq!(model_loads(&harness), 1);
    let first_load_ms = harness.now_ms;
    let gap_ms = SchedulerSettings::default().model_load_gap_ms;
    while harness.now_ms < first_load_ms + gap_ms {
        assert_eq!(model_loads(&harness), 1);
        harness.now_ms += gap_ms / 5;
        harness.engine.restart();
        harness.report();
    }
    assert_eq!(model_loads(&harness), 2);
}

#[test]
fn an_order_with_unknown_outcome_is_not_repeated_before_a_report() {
    let mut harness = Harness::new();
    harness.submit("a", 1);
    harness.complete_loads();
    let mut actions = Vec::new();
    let request = EngineRequest {
        key: 99,
        model: MODEL.into(),
        adapter: Some("m/b".into()),
        rank: 1,
        prompt_tokens: 1,
        kv_tokens: 1,
        arrived_ms: harness.now_ms,
        objective_ms: harness.now_ms + 500,
        deadline_ms: harness.now_ms + 5_000,
        ..EngineRequest::default()
    };
    harness
        .scheduler
        .submit(request, harness.now_ms, &mut actions);
    assert!(matches!(actions.as_slice(), [EngineAction::Order(_)]));
    actions.clear();
    harness
        .scheduler
        .record_order_outcome(OrderOutcome::Unknown, harness.now_ms, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}

/// After a cold restart of the whole fleet, every request misses and the weight store is slow.
#[test]
fn the_missing_adapter_with_the_most_requests_is_loaded_first() {
    let mut harness = Harness::new();
    for adapter in ["a", "b", "c", "d"] {
        harness.submit(adapter, 1);
    }
    // All slots are loading, so that further adapters wait.
    harness.submit("rare", 1);
    for _ in 0..3 {
        harness.submit("hot", 1);
    }
    harness.complete_loads();
    harness.finish(harness.started[0]);
    let loads: Vec<_> = harness
        .orders
        .iter()
        .filter(|(kind, _)| *kind == OrderKind::Load)
        .collect();
    assert_eq!(loads.last(), Some(&&(OrderKind::Load, Some("hot".into()))));
}

#[test]
fn a_slow_weight_store_lowers_the_number_of_concurrent_loads() {
    let mut harness = Harness::new();
    let key = harness.submit("first", 1);
    harness.now_ms += 250;
    harness.complete_loads();
    harness.finish(key);
    for round in 0..40 {
        let key = harness.submit_within(&round.to_string(), 1, 60_000, 1);
        harness.now_ms += 1_000;
        harness.complete_loads();
        harness.finish(key);
    }
    let before = harness.engine.loading.len();
    for adapter in ["p", "q", "r"] {
        harness.submit_within(adapter, 1, 60_000, 1);
    }
    assert_eq!((before, harness.engine.loading.len()), (0, 1));
}

/// When popularity shifts, more adapters are asked for than the weight store delivers in time.
#[test]
fn a_request_that_would_be_late_anyway_does_not_delay_one_that_can_be_in_time() {
    let mut harness = Harness::with_settings(SchedulerSettings {
        initial_run_ms: 100.0,
        ..SchedulerSettings::default()
    });
    for adapter in ["a", "b", "c", "d"] {
        harness.submit(adapter, 1);
        harness.now_ms += 250;
        harness.complete_loads();
    }
    let late = harness.submit("late", 1);
    harness.now_ms += 400;
    let fresh = harness.submit("fresh", 1);
    harness.finish(harness.started[0]);
    harness.complete_loads();
    assert!(harness.started.contains(&fresh));
    assert!(!harness.started.contains(&late));
    harness.finish(harness.started[1]);
    harness.complete_loads();
    assert!(harness.started.contains(&late), "it waits, and is served");
}

/// Loads an adapter and lets a request use it.
fn use_adapter(harness: &mut Harness, adapter: &str) {
    let key = harness.submit_within(adapter, 1, 60_000, 1);
    harness.complete_loads();
    harness.finish(key);
}

#[test]
fn an_evicted_adapter_becomes_a_copy_of_the_host_until_a_restart() {
    let mut harness = Harness::new();
    for adapter in ["a", "b", "c", "d", "e"] {
        use_adapter(&mut harness, adapter);
    }
    let copies: Vec<u64> = harness.scheduler.copied_keys().collect();
    assert_eq!(copies, [adapter_key("m/a")]);
    harness.engine.restart();
    harness.report();
    assert_eq!(harness.scheduler.copied_keys().count(), 0);
}

#[test]
fn only_the_newest_copies_of_the_host_are_kept() {
    let mut harness = Harness::new();
    for round in 0..300 {
        use_adapter(&mut harness, &round.to_string());
    }
    let copies: Vec<u64> = harness.scheduler.copied_keys().collect();
    assert!(!copies.contains(&adapter_key("m/1")));
    assert!(copies.contains(&adapter_key("m/295")));
}

/// A load from the host's memory uses nothing of the weight store.
#[test]
fn a_copy_on_the_host_loads_while_the_weight_store_is_busy() {
    let mut harness = Harness::new();
    for round in 0..40 {
        let key = harness.submit_within(&round.to_string(), 1, 60_000, 1);
        harness.now_ms += if round == 0 { 250 } else { 1_000 };
        harness.complete_loads();
        harness.finish(key);
    }
    harness.submit_within("fetched", 1, 60_000, 1);
    harness.submit_within("next", 1, 60_000, 1);
    let fetched: Vec<_> = harness.engine.loading.keys().cloned().collect();
    assert_eq!(fetched, ["fetched".into()], "one fetch at a time");
    harness.submit_within("30", 1, 60_000, 1);
    assert!(harness.engine.loading.contains_key("30"));
    assert!(!harness.engine.loading.contains_key("next"));
}

#[test]
fn a_request_whose_adapter_cannot_be_loaded_in_time_is_refused_at_once() {
    let mut harness = Harness::new();
    for round in 0..40 {
        let key = harness.submit_within(&round.to_string(), 1, 60_000, 1);
        harness.now_ms += 1_000;
        harness.complete_loads();
        harness.finish(key);
    }
    let late = harness.submit_within("cold", 1, 400, 1);
    let refusal = harness
        .refused
        .last()
        .map(|&(key, reason, _)| (key, reason));
    assert_eq!(refusal, Some((late, EngineRefusal::Overloaded)));
}

#[test]
fn a_refusal_while_the_model_loads_includes_the_time_until_it_is_ready() {
    let mut harness = Harness::new();
    harness.engine.restart();
    harness.report();
    let urgent = harness.submit_within("a", 1, 1_000, 1);
    let (key, reason, retry_after_ms) = *harness.refused.last().expect("a refusal");
    assert_eq!((key, reason), (urgent, EngineRefusal::Overloaded));
    assert!(retry_after_ms >= 2_000, "{retry_after_ms}");
}

#[test]
fn requests_are_refused_until_a_model_is_loading() {
    let mut harness = Harness::new();
    harness.engine.restart();
    let scheduler = EngineScheduler::new(SchedulerSettings::default());
    harness.scheduler = scheduler;
    let key = harness.submit("a", 1);
    let refusal = harness
        .refused
        .last()
        .map(|&(key, reason, _)| (key, reason));
    assert_eq!(refusal, Some((key, EngineRefusal::ModelAbsent)));
}

/// After a power loss of all engines, callers retry while base models are loading, and most
/// requests are for a few adapters.
#[test]
fn requests_wait_while_the_model_loads_and_the_most_requested_adapter_loads_first() {
    let mut harness = Harness::new();
    harness.engine.restart();
    harness.report();
    harness.orders.clear();
    let rare = harness.submit("rare", 1);
    let hot: Vec<u64> = (0..6).map(|_| harness.submit("hot", 1)).collect();
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
    assert!(harness.orders.is_empty(), "{:?}", harness.orders);
    harness.now_ms += 2_000;
    harness.report();
    let first = harness.orders.first().cloned();
    assert_eq!(first, Some((OrderKind::Load, Some("hot".into()))));
    harness.now_ms += 300;
    harness.complete_loads();
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
    for key in hot.into_iter().chain([rare]) {
        assert!(harness.started.contains(&key));
    }
}

/// Returns the limits of an engine whose memory holds so many adapters.
fn memory_for(adapters: u32) -> EngineLimits {
    let limits = limits();
    let model = &limits.models[0];
    let rest_mb = model.adapter_mb / 2.0;
    EngineLimits {
        weights_mb: model.weights_mb + f64::from(adapters) * model.adapter_mb + rest_mb,
        ..limits
    }
}

#[test]
fn random_inputs_never_exceed_the_limits_of_the_engine() {
    check_random_inputs(&limits());
}

#[test]
fn random_inputs_never_exceed_the_memory_of_the_engine() {
    for adapters in 0..limits().adapter_slots {
        check_random_inputs(&memory_for(adapters));
    }
}

/// Under random inputs, orders never crash the engine, and no request starts without its adapter or
/// beyond the batch size. The harness checks the latter two.
fn check_random_inputs(limits: &EngineLimits) {
    arbtest(|source| {
        let mut harness = Harness::with_limits(SchedulerSettings::default(), limits.clone());
        while !source.is_empty() {
            harness.now_ms += source.int_in_range(0..=200_u64)?;
            match source.int_in_range(0..=9_u8)? {
                0..=4 => {
                    let adapter = source.int_in_range(0..=9_u8)?;
                    let rank = source.int_in_range(0..=2_u32)?;
                    harness.submit(&adapter.to_string(), rank);
                }
                5 | 6 => {
                    if let Some(&key) = harness.running.keys().next() {
                        if source.arbitrary()? {
                            harness.finish(key);
                        } else {
                            harness.cancel(key);
                        }
                    }
                }
                7 if source.arbitrary()? => {
                    harness.engine.end_lingering_runs();
                    harness.report();
                }
                7 => harness.complete_loads(),
                8 => harness.report(),
                _ => {
                    let keys: Vec<u64> = std::mem::take(&mut harness.running).into_keys().collect();
                    harness.engine.restart();
                    harness.report();
                    for key in keys {
                        harness.finish(key);
                    }
                }
            }
            assert!(
                !harness.engine.has_crashed,
                "more adapters were ordered than there are slots or memory for"
            );
        }
        Ok(())
    });
}

/// Adapters in transit take memory from the order on.
#[test]
fn memory_that_holds_fewer_adapters_than_there_are_slots_bounds_the_loads() {
    const FITTING: u32 = 2;
    let mut harness = Harness::with_limits(SchedulerSettings::default(), memory_for(FITTING));
    for adapter in ["a", "b", "c"] {
        harness.submit(adapter, 1);
    }
    assert_eq!(harness.engine.loading.len(), FITTING as usize);
    harness.complete_loads();
    assert_eq!(harness.started.len(), FITTING as usize);
    assert_eq!(harness.orders.len(), FITTING as usize);
    harness.finish(harness.started[0]);
    assert_eq!(
        harness.orders[FITTING as usize..],
        [
            (OrderKind::Unload, Some("a".into())),
            (OrderKind::Load, Some("c".into()))
        ]
    );
    harness.complete_loads();
    assert_eq!(harness.started.len(), 3);
    assert!(!harness.engine.has_crashed);
}

#[test]
fn an_adapter_that_the_memory_can_never_hold_is_refused_and_evicts_none() {
    let mut harness = Harness::new();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    harness.finish(running);
    let mut shrunk = limits();
    shrunk.models[0].adapter_mb = shrunk.weights_mb;
    harness.scheduler.configure(shrunk);
    let refused = harness.submit("b", 1);
    assert_eq!(harness.refused, [(refused, EngineRefusal::NoSlot, 0)]);
    assert_eq!(harness.orders, [(OrderKind::Load, Some("a".into()))]);
    let resident = harness.submit("a", 1);
    assert!(harness.started.contains(&resident));
}

/// The operator may publish larger adapters while requests wait.
#[test]
fn no_adapter_is_evicted_for_one_that_the_memory_can_no_longer_hold() {
    let mut harness = Harness::with_limits(SchedulerSettings::default(), memory_for(2));
    let running = harness.submit("a", 1);
    harness.submit("b", 1);
    harness.complete_loads();
    harness.submit("c", 1);
    assert_eq!(harness.scheduler.waiting(), 1);
    let orders = harness.orders.len();
    let mut shrunk = limits();
    shrunk.models[0].adapter_mb = shrunk.weights_mb;
    harness.scheduler.configure(shrunk);
    harness.finish(running);
    assert_eq!(harness.orders.len(), orders, "{:?}", harness.orders);
}

#[test]
fn without_a_known_memory_only_the_slots_bound_the_loads() {
    let unknown = EngineLimits {
        weights_mb: 0.0,
        ..limits()
    };
    let slots = unknown.adapter_slots as usize;
    let mut harness = Harness::with_limits(SchedulerSettings::default(), unknown);
    for adapter in ["a", "b", "c", "d", "e"] {
        harness.submit(adapter, 1);
    }
    assert_eq!(harness.engine.loading.len(), slots);
}

const LEAVING: ServerNotice = ServerNotice {
    is_leaving: true,
    pause: None,
};

fn pause(seconds: f64) -> ServerNotice {
    ServerNotice {
        is_leaving: false,
        pause: Some(RequestedPause::from_seconds(Some(seconds))),
    }
}

impl Harness {
    fn hear(&mut self, notice: ServerNotice) {
        let started_ms = self.scheduler.started_ms();
        self.step(|scheduler, now_ms, actions| {
            scheduler.apply_notice(notice, started_ms, now_ms, actions);
        });
    }

    fn advance_to(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.step(|scheduler, now_ms, actions| scheduler.advance(now_ms, actions));
    }
}

#[test]
fn an_engine_that_says_it_leaves_gets_no_requests_or_orders_until_it_starts_anew() {
    let mut harness = Harness::new();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    let waiting = harness.submit("b", 1);
    let orders = harness.orders.len();
    harness.scheduler.announce(
        &AdapterVersion {
            model: MODEL.into(),
            adapter: "a".into(),
            version: 7,
        },
        harness.now_ms,
        harness.now_ms,
    );
    harness.hear(LEAVING);
    let later = harness.submit("a", 1);
    harness.advance_to(harness.now_ms + 5_000);
    harness.complete_loads();
    assert_eq!(harness.started, [running]);
    assert_eq!(
        harness.refused,
        [
            (waiting, EngineRefusal::Leaving, 0),
            (later, EngineRefusal::Leaving, 0)
        ]
    );
    assert_eq!(harness.orders.len(), orders);
    assert!(!harness.scheduler.is_serving(harness.now_ms));
    assert!(harness.scheduler.is_ending());
    assert_eq!(harness.scheduler.ready_in_ms(harness.now_ms), None);
    harness.finish(running);
    harness.engine.restart();
    harness.report();
    harness.report();
    let after = harness.submit("a", 1);
    harness.complete_loads();
    assert!(harness.started.contains(&after));
}

#[test]
fn a_paused_engine_gets_nothing_until_the_end_and_requests_wait_only_within_their_objective() {
    let mut harness = Harness::new();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    let orders = harness.orders.len();
    let start_ms = harness.now_ms;
    harness.hear(pause(0.25));
    let in_time = harness.submit("a", 1);
    let needs_load = harness.submit("b", 1);
    harness.advance_to(start_ms + 249);
    assert_eq!(harness.started, [running]);
    assert_eq!(harness.orders.len(), orders);
    assert!(harness.refused.is_empty());
    assert_eq!(harness.scheduler.ready_in_ms(harness.now_ms), Some(1));
    harness.advance_to(start_ms + 250);
    assert_eq!(harness.started, [running, in_time]);
    assert_eq!(harness.orders.len(), orders + 1);
    harness.complete_loads();
    assert_eq!(harness.started, [running, in_time, needs_load]);
}

/// The end of a pause says nothing about an engine that is leaving.
#[test]
fn the_end_of_a_pause_is_no_time_to_retry_at_a_leaving_engine() {
    let mut harness = Harness::new();
    harness.complete_loads();
    harness.hear(pause(4.0));
    harness.hear(LEAVING);
    let refused = harness.submit("a", 1);
    assert_eq!(harness.refused, [(refused, EngineRefusal::Leaving, 0)]);
}

#[test]
fn requests_that_a_pause_makes_late_are_refused_with_the_time_left() {
    let mut harness = Harness::new();
    harness.submit("a", 1);
    harness.complete_loads();
    let waiting = harness.submit("b", 1);
    harness.hear(pause(0.2));
    assert!(harness.refused.is_empty());
    harness.hear(pause(4.0));
    harness.advance_to(harness.now_ms + 1_000);
    let later = harness.submit("a", 1);
    assert_eq!(
        harness.refused,
        [
            (waiting, EngineRefusal::Paused, 4_000),
            (later, EngineRefusal::Paused, 3_000)
        ]
    );
}

#[test]
fn what_an_earlier_start_of_an_engine_said_does_not_bind_a_later_one() {
    let mut harness = Harness::new();
    let earlier_ms = harness.scheduler.started_ms();
    harness.engine.restart();
    harness.report();
    for notice in [LEAVING, pause(9.0)] {
        harness.step(|scheduler, now_ms, actions| {
            scheduler.apply_notice(notice, earlier_ms, now_ms, actions);
        });
    }
    harness.report();
    let request = harness.submit("a", 1);
    harness.complete_loads();
    assert!(harness.started.contains(&request));
}

/// Pauses, leaving and restarts in any order beside requests.
#[test]
fn an_engine_gets_nothing_that_it_has_asked_not_to_get() {
    arbtest(|u| {
        let mut harness = Harness::new();
        let (mut is_leaving, mut paused_until_ms) = (false, 0);
        while !u.is_empty() {
            harness.now_ms += u.int_in_range(0..=800_u64)?;
            let now_ms = harness.now_ms;
            let sent_before = harness.started.len() + harness.orders.len();
            let is_shut = is_leaving || paused_until_ms > now_ms;
            match u.int_in_range(0..=6_u8)? {
                0 => {
                    harness.hear(LEAVING);
                    is_leaving = true;
                }
                1 => {
                    let seconds = u.int_in_range(1..=30_u64)? as f64 / 10.0;
                    harness.hear(pause(seconds));
                    paused_until_ms = paused_until_ms.max(now_ms + (seconds * 1_000.0) as u64);
                }
                2 => {
                    harness.engine.restart();
                    (is_leaving, paused_until_ms) = (false, 0);
                    harness.report();
                    continue;
                }
                3 => {
                    let adapter = u.choose(&["a", "b", "c", "d", "e", "f"])?;
                    harness.submit(adapter, 1);
                }
                4 => {
                    if let Some(&key) = harness.running.keys().next() {
                        harness.finish(key);
                    }
                }
                5 => harness.complete_loads(),
                _ => harness.advance_to(now_ms),
            }
            let sent = harness.started.len() + harness.orders.len() - sent_before;
            assert!(!is_shut || sent == 0, "{sent} sent at {now_ms} ms");
            let is_ready = !harness.engine.report().models.is_empty();
            if !is_leaving && paused_until_ms <= now_ms && is_ready {
                harness.report();
                assert!(harness.scheduler.is_serving(now_ms), "shut at {now_ms} ms");
            }
        }
        Ok(())
    });
}

impl Harness {
    fn hear_rate(&mut self, statement: RateStatement) {
        let started_ms = self.scheduler.started_ms();
        let sent_ms = self.now_ms;
        let source = RateSource::Request;
        self.step(|scheduler, now_ms, actions| {
            scheduler.apply_rate(statement, source, started_ms, sent_ms, now_ms, actions);
        });
    }
}

/// Four requests a second, so that one of two that arrive together waits and the third would be too late.
#[test]
fn requests_wait_for_the_rate_of_their_engine_only_within_their_objective() {
    let mut harness = Harness::new();
    let running = harness.submit("a", 1);
    harness.complete_loads();
    let rate = RequestRate::from_per_s(4.0).expect("a rate");
    harness.hear_rate(RateStatement::Named(rate));
    let start_ms = harness.now_ms;
    let waiting = harness.submit("a", 1);
    let refused = harness.submit("a", 1);
    assert_eq!(
        harness.refused,
        [(refused, EngineRefusal::RateLimited, 500)]
    );
    assert_eq!(harness.scheduler.rate_delay_ms(start_ms), Some(250));
    harness.advance_to(start_ms + 249);
    assert_eq!(harness.started, [running]);
    harness.advance_to(start_ms + 250);
    assert_eq!(harness.started, [running, waiting]);
    harness.hear_rate(RateStatement::Unnamed);
    let free = harness.submit("a", 1);
    assert_eq!(harness.started, [running, waiting, free]);
}

/// An urgent request takes the next time; the one that has waited for it is refused in good time.
#[test]
fn a_request_that_urgent_ones_overtake_is_refused_at_its_objective() {
    let mut harness = Harness::new();
    harness.submit("a", 1);
    harness.complete_loads();
    let rate = RequestRate::from_per_s(4.0).expect("a rate");
    harness.hear_rate(RateStatement::Named(rate));
    let start_ms = harness.now_ms;
    let overtaken = harness.submit("a", 2);
    for step in 1..=2 {
        harness.advance_to(start_ms + step * 240);
        harness.submit("a", 0);
        harness.advance_to(start_ms + step * 250);
    }
    harness.advance_to(start_ms + 501);
    let refusal = harness.refused.iter().find(|(key, ..)| *key == overtaken);
    assert_eq!(
        refusal.map(|refusal| refusal.1),
        Some(EngineRefusal::RateLimited)
    );
}
