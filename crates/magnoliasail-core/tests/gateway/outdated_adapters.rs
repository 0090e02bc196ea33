//! Replacement of adapters by newer versions, at an engine with a delay.

use {
    super::fake_engine::{FakeEngine, MODEL, limits},
    magnoliasail_core::gateway::{
        AdapterVersion, EngineAction, EngineRefusal, EngineRequest, EngineScheduler,
        RequestedPause, SchedulerSettings, ServerNotice,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Time of a load.
const LOAD_MS: u64 = 250;
const RUN_MS: u64 = 60;
const OBJECTIVE_MS: u64 = 500;
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

/// A refusal of a request that has waited for some time.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    reason: EngineRefusal,
    retry_after_ms: u64,
    waited_ms: u64,
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
    load_ms: u64,
    runs: Vec<Run>,
    arrivals_ms: BTreeMap<u64, u64>,
    refusals: Vec<Refusal>,
}

impl Play {
    fn new(adapters: usize, request_interval_ms: u64) -> Self {
        Self::with_settings(adapters, request_interval_ms, SchedulerSettings::default())
    }

    fn with_settings(
        adapters: usize,
        request_interval_ms: u64,
        settings: SchedulerSettings,
    ) -> Self {
        let mut scheduler = EngineScheduler::new(SchedulerSettings {
            engine_seed: DELAY_MS,
            ..settings
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
            load_ms: LOAD_MS,
            runs: Vec::new(),
            arrivals_ms: BTreeMap::new(),
            refusals: Vec::new(),
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
        self.scheduler
            .announce(&announced, self.now_ms, self.now_ms);
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
                EngineAction::Refuse {
                    key,
                    reason,
                    retry_after_ms,
                } => self.refusals.push(Refusal {
                    reason,
                    retry_after_ms,
                    waited_ms: self.now_ms - self.arrivals_ms[&key],
                }),
                EngineAction::Order(order) => {
                    let outcome = self.engine.order(&order);
                    if let Some(adapter) = &order.adapter {
                        self.loads
                            .push_back((self.now_ms + self.load_ms, adapter.clone()));
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
                self.submit_one(adapter, false);
            }
        }
    }

    fn submit_one(&mut self, adapter: usize, may_move: bool) {
        let key = self.next_key;
        self.next_key += 1;
        self.adapter_of.insert(key, adapter);
        self.arrivals_ms.insert(key, self.now_ms);
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            adapter: Some(format!("{MODEL}/{}", Self::name(adapter)).into()),
            rank: 1,
            prompt_tokens: 100,
            kv_tokens: 200,
            arrived_ms: self.now_ms,
            objective_ms: self.now_ms + OBJECTIVE_MS,
            deadline_ms: self.now_ms + 5_000,
            may_move,
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

/// The time after an announcement in which older versions may serve.
const MAX_OUTDATED_MS: u64 = 4_200;

fn bounded() -> SchedulerSettings {
    SchedulerSettings {
        max_outdated_ms: Some(MAX_OUTDATED_MS),
        ..SchedulerSettings::default()
    }
}

impl Play {
    /// Returns the number of runs that began on an older version than `version` after `from_ms`.
    fn older_runs(&self, version: u64, from_ms: u64) -> usize {
        let is_older = |run: &&Run| run.version < version && run.at_ms > from_ms;
        self.runs.iter().filter(is_older).count()
    }
}

/// All adapters get a new version at once, and the weight store takes seconds for each.
#[test]
fn no_request_begins_on_an_older_version_past_its_bound_however_long_replacements_take() {
    const SLOW_LOAD_MS: u64 = 2_500;
    let adapters = limits().adapter_slots as usize;
    let settings = SchedulerSettings {
        max_concurrent_loads: 1,
        ..bounded()
    };
    let mut play = Play::with_settings(adapters, 50, settings);
    play.advance_by(4_000);
    assert_eq!(play.engine.loaded.len(), adapters);
    play.load_ms = SLOW_LOAD_MS;
    let announced_ms = play.now_ms;
    for adapter in 0..adapters {
        play.announce(adapter, 2);
    }
    play.advance_by(4 * SLOW_LOAD_MS + DELAY_MS + 1_000);
    assert!(
        play.older_runs(2, announced_ms + DELAY_MS) > 0,
        "what is not replaced yet serves within the bound"
    );
    assert_eq!(play.older_runs(2, announced_ms + MAX_OUTDATED_MS), 0);
    assert!(play.engine.loaded.values().all(|&version| version == 2));
    let refusals = play.refusals.iter();
    let outdated: Vec<&Refusal> = refusals
        .filter(|refusal| refusal.reason == EngineRefusal::OutdatedAdapter)
        .collect();
    let has_retry_delay = |refusal: &&Refusal| refusal.retry_after_ms > 0;
    assert!(outdated.iter().all(has_retry_delay), "{outdated:?}");
    assert!(!outdated.is_empty());
    let before = play.runs.len();
    play.advance_by(500);
    assert!(
        play.runs.len() >= before + 4 * adapters,
        "all are served again"
    );
}

/// Returns an engine whose only adapter is outdated and cannot be replaced.
fn with_outdated_adapter() -> Play {
    const RUNS_END_MS: u64 = 200;
    let mut play = Play::with_settings(1, 50, bounded());
    play.advance_by(3_000);
    play.adapters = 0;
    play.advance_by(RUNS_END_MS);
    assert_eq!(play.scheduler.load(), 0);
    // Without the engine's count of orders, none is issued.
    let stale_ticket = play.scheduler.report_ticket() + 1;
    let report = play.engine.report();
    play.step(|scheduler, now_ms, actions| {
        scheduler.mark_unreachable(now_ms, actions);
        scheduler.apply_report(&report, stale_ticket, now_ms, actions);
    });
    play.announce(0, 2);
    play
}

/// Tokens of a long prompt.
const TOKENS: u64 = 4_000;

/// Returns whether a request with a prompt starts on an outdated adapter that cannot be replaced, behind a
/// prompt that is being read: `margin_ms` and the time to read so many long prompts before it has to begin.
fn starts_on_outdated(
    prompt_tokens: u64,
    tokens_ahead: u64,
    margin_ms: u64,
    readings: u64,
) -> bool {
    let mut play = with_outdated_adapter();
    let reading_ms = (TOKENS as f64 / play.scheduler.prompt_tokens_per_ms()).ceil() as u64;
    assert!(reading_ms > 10, "{reading_ms}");
    let at_ms = play.now_ms + MAX_OUTDATED_MS - margin_ms - readings * reading_ms;
    let mut starts = |key: u64, adapter: Option<Arc<str>>, prompt_tokens: u64| {
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            adapter,
            prompt_tokens,
            kv_tokens: prompt_tokens,
            arrived_ms: at_ms,
            objective_ms: at_ms + 5_000,
            deadline_ms: at_ms + 5_000,
            ..EngineRequest::default()
        };
        let mut actions = Vec::new();
        play.scheduler.submit(request, at_ms, &mut actions);
        actions.contains(&EngineAction::Start { key })
    };
    if tokens_ahead > 0 {
        assert!(starts(90_001, None, tokens_ahead));
    }
    let adapter = format!("{MODEL}/{}", Play::name(0));
    starts(90_002, Some(adapter.into()), prompt_tokens)
}

/// A request begins with its first token, once the engine has read the prompts before it and its own.
#[test]
fn requests_start_on_an_outdated_adapter_only_if_their_prompts_are_read_in_time() {
    const MARGIN_MS: u64 = 300;
    assert!(starts_on_outdated(0, 0, MARGIN_MS, 0));
    assert!(!starts_on_outdated(0, 0, MARGIN_MS - 1, 0));
    assert!(!starts_on_outdated(TOKENS, 0, MARGIN_MS, 0));
    assert!(!starts_on_outdated(0, TOKENS, MARGIN_MS, 0));
    assert!(starts_on_outdated(TOKENS, 0, MARGIN_MS, 1));
    assert!(!starts_on_outdated(TOKENS, TOKENS, MARGIN_MS, 1));
    assert!(starts_on_outdated(TOKENS, TOKENS, MARGIN_MS, 2));
}

#[test]
fn a_request_waits_for_a_replacement_only_within_its_objective() {
    for may_move in [false, true] {
        let mut play = with_outdated_adapter();
        play.now_ms += MAX_OUTDATED_MS;
        let arrived_ms = play.now_ms;
        play.submit_one(0, may_move);
        assert!(play.refusals.is_empty());
        while play.refusals.is_empty() {
            play.now_ms += STEP_MS;
            play.step(|scheduler, now_ms, actions| scheduler.advance(now_ms, actions));
            assert!(play.now_ms <= arrived_ms + OBJECTIVE_MS + STEP_MS);
        }
        let refusal = play.refusals[0];
        if may_move {
            assert_eq!(refusal.reason, EngineRefusal::LateHere);
            assert!(refusal.waited_ms <= OBJECTIVE_MS / 2, "{refusal:?}");
        } else {
            assert_eq!(refusal.reason, EngineRefusal::OutdatedAdapter);
            assert!(refusal.retry_after_ms > 0);
        }
    }
}

/// A process that starts reads versions without the times of their announcements.
#[test]
fn versions_from_before_the_start_of_a_process_leave_no_time_for_older_ones() {
    let mut play = Play::with_settings(1, 50, bounded());
    play.advance_by(3_000);
    let announced = AdapterVersion {
        model: MODEL.into(),
        adapter: Play::name(0).into(),
        version: 2,
    };
    let announced_ms = play.now_ms;
    play.scheduler.announce(&announced, 0, announced_ms);
    play.advance_by(1_000);
    assert_eq!(play.older_runs(2, announced_ms), 0);
    assert_eq!(play.runs.last().expect("a run").version, 2);
}

/// An engine gets neither requests nor orders in a pause.
#[test]
fn replacements_that_are_due_at_the_end_of_a_pause_precede_the_requests_that_waited() {
    for (pause_s, announced_after_ms) in [(9.0, 1_000), (3.0, 500)] {
        let mut play = Play::with_settings(1, 50, bounded());
        play.advance_by(3_000);
        let notice = ServerNotice {
            pause: Some(RequestedPause::from_seconds(Some(pause_s))),
            ..ServerNotice::default()
        };
        play.step(|scheduler, now_ms, actions| {
            scheduler.apply_notice(notice, Some(1), now_ms, actions);
        });
        let pause_ms = (pause_s * 1_000.0) as u64;
        let end_ms = play.now_ms + pause_ms;
        play.advance_by(announced_after_ms);
        play.announce(0, 2);
        play.advance_by(pause_ms + 1_000 - announced_after_ms);
        let is_after = |run: &&Run| run.at_ms >= end_ms;
        let first = play.runs.iter().find(is_after).expect("a run");
        assert_eq!(first.version, 2, "after a pause of {pause_s} s: {first:?}");
    }
}
