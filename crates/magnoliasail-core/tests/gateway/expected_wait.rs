//! The expected time until an engine's first event, as its agent reports it and entries use it.

use {
    super::fake_engine::{MODEL, limits, scheduler_with_model},
    magnoliasail_core::gateway::{
        EngineAction, EngineLimits, EngineRequest, EngineScheduler, SchedulerSettings,
        UnreportedWork, message::EngineState,
    },
};

/// Prompt tokens that the engines of these tests read in a millisecond.
const TOKENS_PER_MS: u64 = 10;

fn scheduler() -> EngineScheduler {
    let engine_limits = EngineLimits {
        batch_slots: 64,
        kv_tokens: 1_000_000,
        ..limits()
    };
    scheduler_with_model(engine_limits, 0)
}

/// Submits a request for the base model, which starts at once.
fn submit(scheduler: &mut EngineScheduler, key: u64, rank: u32, prompt_tokens: u64, now_ms: u64) {
    let request = EngineRequest {
        key,
        model: MODEL.into(),
        adapter: None,
        rank,
        prompt_tokens,
        kv_tokens: prompt_tokens,
        arrived_ms: now_ms,
        objective_ms: now_ms + 1_000,
        deadline_ms: now_ms + 10_000,
        ..EngineRequest::default()
    };
    let mut actions = Vec::new();
    scheduler.submit(request, now_ms, &mut actions);
    assert_eq!(actions, [EngineAction::Start { key }]);
}

/// Lets the engine read prompts one after another for long enough that the rate is known.
fn measure_rate(scheduler: &mut EngineScheduler, mut now_ms: u64) -> u64 {
    for key in 1_000..1_100 {
        submit(scheduler, key, 0, 100 * TOKENS_PER_MS, now_ms);
        now_ms += 100;
        scheduler.record_first_event(key, now_ms, &mut Vec::new());
        scheduler.finish(key, true, now_ms, &mut Vec::new());
        // An idle engine reads nothing, which does not lower the measured rate.
        now_ms += 400;
    }
    now_ms
}

#[test]
fn the_prompts_that_an_engine_has_yet_to_read_delay_the_next_request() {
    let mut scheduler = scheduler();
    let now_ms = measure_rate(&mut scheduler, 1);
    assert_eq!(scheduler.expected_first_event_ms(0), 0);
    submit(&mut scheduler, 1, 0, 300 * TOKENS_PER_MS, now_ms);
    submit(&mut scheduler, 2, 0, 200 * TOKENS_PER_MS, now_ms);
    let expected_ms = scheduler.expected_first_event_ms(0);
    assert!((450..550).contains(&expected_ms), "{expected_ms}");
    scheduler.record_first_event(1, now_ms + 300, &mut Vec::new());
    let expected_ms = scheduler.expected_first_event_ms(0);
    assert!((180..220).contains(&expected_ms), "{expected_ms}");
    scheduler.finish(2, false, now_ms + 310, &mut Vec::new());
    assert_eq!(scheduler.expected_first_event_ms(0), 0);
}

#[test]
fn less_urgent_prompts_do_not_delay_urgent_requests() {
    let mut scheduler = scheduler();
    let now_ms = measure_rate(&mut scheduler, 1);
    submit(&mut scheduler, 1, 2, 5_000, now_ms);
    assert_eq!(scheduler.expected_first_event_ms(0), 0);
    assert!(scheduler.expected_first_event_ms(2) > 300);
}

#[test]
fn a_full_batch_delays_the_next_request_by_its_turnover() {
    let mut scheduler = scheduler();
    let now_ms = measure_rate(&mut scheduler, 1);
    for key in 1..=64 {
        submit(&mut scheduler, key, 0, 1, now_ms);
        scheduler.record_first_event(key, now_ms, &mut Vec::new());
    }
    let turnover_ms = scheduler.batch_turnover_ms();
    assert!(turnover_ms > 0.0);
    assert_eq!(scheduler.expected_first_event_ms(0), turnover_ms as u64);
}

#[test]
fn an_engine_without_limits_has_a_finite_expected_wait() {
    let mut scheduler = EngineScheduler::new(SchedulerSettings::default());
    scheduler.configure(EngineLimits::default());
    assert!(scheduler.expected_first_event_ms(0) < 60_000);
    assert!(scheduler.expected_fetch_ms(0) < 60_000);
    assert!(scheduler.batch_turnover_ms().is_finite());
    assert!(scheduler.prompt_tokens_per_ms() > 0.0);
}

#[test]
fn an_entry_adds_what_it_has_sent_since_the_last_report() {
    let state = EngineState {
        load: 3,
        slots: 12,
        urgent_wait_ms: 40,
        bulk_wait_ms: 90,
        prompt_tokens_per_s: 10_000,
        batch_turnover_us: 30_000,
        ..EngineState::default()
    };
    let mut unreported = UnreportedWork::default();
    for _ in 0..5 {
        unreported.add(200, 1_000);
    }
    let (requests, tokens) = unreported.totals(1_100);
    let reading_ms =
        state.first_event_ms(0, requests, tokens) - state.first_event_ms(0, requests, 0);
    assert!((reading_ms - 100.0).abs() < 0.01, "{reading_ms}");
    // The batch has 9 free places, so that the last 10 of 19 requests wait for its turnover.
    let queue_ms = state.first_event_ms(2, 19, 0) - state.first_event_ms(2, 9, 0);
    assert!((queue_ms - 300.0).abs() < 0.01, "{queue_ms}");
}

#[test]
fn a_fuller_batch_has_a_later_first_event() {
    let wait_ms = |load| {
        let state = EngineState {
            load,
            slots: 64,
            ..EngineState::default()
        };
        state.first_event_ms(0, 0, 0)
    };
    assert!(wait_ms(0) < wait_ms(20));
    assert!(wait_ms(20) < wait_ms(60));
}

/// An agent reports no state that equals the one before, so what was sent long ago is included.
#[test]
fn sent_requests_count_as_reported_after_some_time() {
    let mut unreported = UnreportedWork::default();
    unreported.add(500, 1_000);
    assert_eq!(unreported.totals(1_100), (1, 500));
    assert_eq!(unreported.totals(2_000), (0, 0));
    unreported.add(200, 2_000);
    assert_eq!(unreported.totals(2_000), (1, 200));
}

#[test]
fn a_state_is_reported_only_if_placement_would_notice_the_difference() {
    let state = EngineState {
        load: 3,
        slots: 12,
        urgent_wait_ms: 40,
        ..EngineState::default()
    };
    let similar = EngineState {
        load: 5,
        urgent_wait_ms: 60,
        ..state
    };
    assert!(!state.differs_from(&similar));
    for different in [
        EngineState {
            urgent_wait_ms: 90,
            ..state
        },
        EngineState { load: 14, ..state },
        EngineState {
            fetch_ms: 400,
            ..state
        },
        EngineState {
            entries: 7,
            ..state
        },
    ] {
        assert!(state.differs_from(&different), "{different:?}");
    }
}

/// A state of an agent that does not report rates has zeros in their place.
#[test]
fn a_state_without_rates_gives_a_finite_wait() {
    let wait_ms = EngineState::default().first_event_ms(0, 10, 100_000);
    assert!(wait_ms.is_finite(), "{wait_ms}");
}
