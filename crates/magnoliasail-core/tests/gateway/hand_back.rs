//! Requests that wait where they would be late: handed back while another engine may serve them in time, and
//! prompts that are held back while an engine is slowed down.

use {
    super::fake_engine::{MODEL, limits, scheduler_with_model},
    magnoliasail_core::gateway::{
        EngineAction, EngineLimits, EngineRefusal, EngineRequest, EngineScheduler, WorkTime,
        plain_wait_ms,
    },
};

const NOW_MS: u64 = 100_000;
const OBJECTIVE_MS: u64 = 500;

fn request(key: u64, adapter: Option<&str>) -> EngineRequest {
    EngineRequest {
        key,
        model: MODEL.into(),
        adapter: adapter.map(|adapter| format!("{MODEL}/{adapter}").into()),
        prompt_tokens: 500,
        kv_tokens: 600,
        arrived_ms: NOW_MS,
        objective_ms: NOW_MS + OBJECTIVE_MS,
        deadline_ms: NOW_MS + 5_000,
        may_move: true,
        ..EngineRequest::default()
    }
}

fn submit(scheduler: &mut EngineScheduler, request: EngineRequest) -> Vec<EngineAction> {
    let mut actions = Vec::new();
    scheduler.submit(request, NOW_MS, &mut actions);
    actions
}

fn refusals(actions: &[EngineAction]) -> Vec<(u64, EngineRefusal)> {
    let refusal = |action: &EngineAction| match action {
        EngineAction::Refuse { key, reason, .. } => Some((*key, *reason)),
        EngineAction::Start { .. } | EngineAction::Order(_) => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Load: more adapters are missing at one engine than it may load at once.
#[test]
fn a_request_that_waits_behind_the_loads_of_others_is_handed_back() {
    let mut scheduler = scheduler_with_model(limits(), NOW_MS);
    for key in 1..=4 {
        let hurried = request(key, Some(&format!("a{key}")));
        assert_eq!(refusals(&submit(&mut scheduler, hurried)), []);
    }
    // Alone, it would be in time.
    let hurried = EngineRequest {
        objective_ms: NOW_MS + 310,
        ..request(5, Some("a5"))
    };
    let refused = refusals(&submit(&mut scheduler, hurried.clone()));
    assert_eq!(refused, [(5, EngineRefusal::LateHere)]);
    // Where it has nowhere to go, it waits.
    let stays = EngineRequest {
        key: 6,
        may_move: false,
        ..hurried
    };
    assert_eq!(refusals(&submit(&mut scheduler, stays)), []);
}

#[test]
fn a_request_that_is_late_by_its_own_load_is_not_handed_back() {
    let mut scheduler = scheduler_with_model(limits(), NOW_MS);
    let hurried = EngineRequest {
        objective_ms: NOW_MS + 50,
        ..request(1, Some("a1"))
    };
    assert_eq!(refusals(&submit(&mut scheduler, hurried)), []);
}

#[test]
fn a_request_without_a_slot_is_handed_back_while_it_can_still_be_in_time() {
    let mut scheduler = scheduler_with_model(
        EngineLimits {
            adapter_slots: 1,
            ..limits()
        },
        NOW_MS,
    );
    let pinned = submit(&mut scheduler, request(1, Some("a1")));
    assert_eq!(refusals(&pinned), []);
    let waiting = EngineRequest {
        // Its deadline leaves the engine time, so that it is accepted.
        objective_ms: NOW_MS + 4_000,
        ..request(2, Some("a2"))
    };
    assert_eq!(refusals(&submit(&mut scheduler, waiting)), []);
    let mut actions = Vec::new();
    scheduler.advance(NOW_MS + 500, &mut actions);
    assert_eq!(refusals(&actions), []);
    scheduler.advance(NOW_MS + 1_000, &mut actions);
    assert_eq!(refusals(&actions), [(2, EngineRefusal::LateHere)]);
}

/// Returns how many of ten requests for the base model start at once.
fn started_of_ten(scheduler: &mut EngineScheduler) -> usize {
    let mut started = 0;
    for key in 1..=10 {
        let stays = EngineRequest {
            may_move: false,
            ..request(key, None)
        };
        let actions = submit(scheduler, stays);
        let is_start = |action: &&EngineAction| matches!(action, EngineAction::Start { .. });
        started += actions.iter().filter(is_start).count();
    }
    started
}

/// Load: others on the VM slow an engine down while prompts arrive.
#[test]
fn a_slowed_engine_reads_few_prompts_at_once() {
    let paced = EngineLimits {
        batch_slots: 32,
        kv_tokens: 100_000,
        tokens_per_event: 5,
        pause_objective_ms: 300,
        ..limits()
    };
    let mut usual = scheduler_with_model(paced.clone(), NOW_MS);
    usual.record_work_time(120, NOW_MS);
    assert_eq!(started_of_ten(&mut usual), 10);
    let mut slowed = scheduler_with_model(paced, NOW_MS);
    slowed.record_work_time(120, NOW_MS - 2_000);
    slowed.record_work_time(300, NOW_MS);
    assert_eq!(started_of_ten(&mut slowed), 1);
    // The next prompt follows as soon as the first was read.
    let mut actions = Vec::new();
    slowed.record_first_event(1, NOW_MS + 90, &mut actions);
    assert_eq!(actions, [EngineAction::Start { key: 2 }]);
    // What slows it down passes without a further statement.
    let mut actions = Vec::new();
    slowed.advance(NOW_MS + 600, &mut actions);
    assert_eq!(actions.len(), 8, "{actions:?}");
}

#[test]
fn the_usual_time_of_work_is_not_that_of_a_slow_moment() {
    let mut work_time = WorkTime::default();
    assert_eq!(work_time.percent(NOW_MS), 100.0);
    work_time.record(120, NOW_MS);
    assert_eq!(work_time.slowdown(NOW_MS), 1.0);
    work_time.record(300, NOW_MS + 100);
    assert!(work_time.slowdown(NOW_MS + 100) > 2.4);
    assert_eq!(work_time.percent(NOW_MS + 100), 300.0);
    // The statement is too old to say anything about now.
    assert_eq!(work_time.slowdown(NOW_MS + 600), 1.0);
    assert!(work_time.percent(NOW_MS + 600) < 125.0);
    work_time.record(55, NOW_MS + 700);
    assert_eq!(work_time.percent(NOW_MS + 5_000), 55.0);
}

#[test]
fn a_plain_server_whose_work_takes_longer_is_chosen_later() {
    assert!(plain_wait_ms(2, 6, 100.0) < plain_wait_ms(2, 6, 250.0));
    assert!(plain_wait_ms(0, 6, 250.0) > plain_wait_ms(4, 6, 100.0));
    assert!(plain_wait_ms(0, 6, 55.0) < plain_wait_ms(0, 6, 100.0));
}
