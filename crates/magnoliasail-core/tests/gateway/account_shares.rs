//! Shares of accounts at a full engine: who is served, who waits, who is refused.

use {
    super::fake_engine::{MODEL, limits, scheduler_with_model},
    magnoliasail_core::gateway::{EngineAction, EngineLimits, EngineRefusal, EngineRequest},
    std::collections::BTreeMap,
};

const BATCH_SLOTS: u32 = 8;
const RUN_MS: u64 = 400;
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 4_000;
const REPLAY_MS: u64 = 20_000;
/// Requests per second that the engine completes.
const CAPACITY_PER_S: f64 = BATCH_SLOTS as f64 * 1_000.0 / RUN_MS as f64;

/// The demand of one account.
#[derive(Clone, Copy)]
struct Demand {
    account: &'static str,
    per_s: f64,
    rank: u32,
    prompt_tokens: u64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            account: "",
            per_s: 1.0,
            rank: 0,
            prompt_tokens: 500,
        }
    }
}

/// What became of the requests of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    started: u32,
    refused: u32,
    /// Refused requests whose deadline had passed while they waited.
    expired: u32,
}

/// Replays demands at one engine whose runs all take the same time; returns the outcome of each account.
fn replay(demands: &[Demand]) -> BTreeMap<&'static str, Outcome> {
    let engine_limits = EngineLimits {
        batch_slots: BATCH_SLOTS,
        kv_tokens: 1_000_000,
        ..limits()
    };
    let mut scheduler = scheduler_with_model(engine_limits, 0);
    let mut outcomes: BTreeMap<&str, Outcome> = BTreeMap::new();
    let mut accounts = BTreeMap::new();
    let mut ends: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut due = vec![0.0; demands.len()];
    let mut next_key = 0;
    for now_ms in 0..REPLAY_MS {
        let mut actions = Vec::new();
        for (demand, due) in demands.iter().zip(&mut due) {
            *due += demand.per_s / 1_000.0;
            if *due < 1.0 {
                continue;
            }
            *due -= 1.0;
            next_key += 1;
            accounts.insert(next_key, demand.account);
            outcomes.entry(demand.account).or_default().sent += 1;
            let request = EngineRequest {
                key: next_key,
                model: MODEL.into(),
                account: (!demand.account.is_empty()).then(|| demand.account.into()),
                rank: demand.rank,
                prompt_tokens: demand.prompt_tokens,
                kv_tokens: demand.prompt_tokens,
                arrived_ms: now_ms,
                objective_ms: now_ms + OBJECTIVE_MS,
                deadline_ms: now_ms + DEADLINE_MS,
                ..EngineRequest::default()
            };
            scheduler.submit(request, now_ms, &mut actions);
        }
        while let Some(entry) = ends.first_entry()
            && entry.key().0 <= now_ms
        {
            let (_, key) = *entry.key();
            entry.remove();
            scheduler.finish(key, true, now_ms, &mut actions);
        }
        scheduler.advance(now_ms, &mut actions);
        for action in actions {
            match action {
                EngineAction::Start { key } => {
                    ends.insert((now_ms + RUN_MS, key), ());
                    outcomes.entry(accounts[&key]).or_default().started += 1;
                }
                EngineAction::Refuse { key, reason, .. } => {
                    let outcome = outcomes.entry(accounts[&key]).or_default();
                    outcome.refused += 1;
                    outcome.expired += u32::from(reason == EngineRefusal::Expired);
                }
                EngineAction::Order(_) => {}
            }
        }
    }
    outcomes
}

fn started_per_s(outcome: &Outcome) -> f64 {
    f64::from(outcome.started) * 1_000.0 / REPLAY_MS as f64
}

/// Load: one account asks for eight times its usual while the engine is full.
#[test]
fn a_flooding_account_takes_nothing_from_those_below_their_share() {
    let usual = Demand {
        per_s: CAPACITY_PER_S / 5.0,
        ..Demand::default()
    };
    let accounts = ["a", "b", "c", "d"];
    let mut demands: Vec<Demand> = accounts.map(|account| Demand { account, ..usual }).to_vec();
    demands[0].per_s = usual.per_s * 8.0;
    let outcomes = replay(&demands);
    for account in &accounts[1..] {
        let outcome = outcomes[account];
        assert!(
            started_per_s(&outcome) >= 0.9 * usual.per_s,
            "{account}: {outcome:?}"
        );
    }
    // The flood gets what the others leave.
    let flood = started_per_s(&outcomes["a"]);
    assert!(
        flood >= 0.9 * (CAPACITY_PER_S - 3.0 * usual.per_s),
        "{flood}"
    );
    assert!(outcomes["a"].refused > 0);
}

/// Load: two accounts flood, one of them with requests of eight times the size.
#[test]
fn accounts_that_flood_share_the_work_equally_whatever_the_size_of_their_requests() {
    let small = Demand {
        account: "small",
        per_s: CAPACITY_PER_S * 4.0,
        prompt_tokens: 500,
        ..Demand::default()
    };
    let large = Demand {
        account: "large",
        prompt_tokens: 4_000,
        ..small
    };
    let outcomes = replay(&[small, large]);
    let tokens =
        |outcome: Outcome, demand: Demand| f64::from(outcome.started) * demand.prompt_tokens as f64;
    let ratio = tokens(outcomes["large"], large) / tokens(outcomes["small"], small);
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {outcomes:?}");
}

/// Load: a flood of a more urgent rank. Rank goes before shares.
#[test]
fn a_light_account_is_not_held_back_by_its_equals_but_by_a_more_urgent_rank() {
    let flood = Demand {
        account: "flood",
        per_s: CAPACITY_PER_S * 3.0,
        rank: 1,
        ..Demand::default()
    };
    let urgent = Demand {
        account: "urgent",
        per_s: CAPACITY_PER_S / 2.0,
        rank: 0,
        ..flood
    };
    let light = Demand {
        account: "light",
        per_s: CAPACITY_PER_S / 8.0,
        rank: 1,
        ..flood
    };
    let outcomes = replay(&[flood, urgent, light]);
    for demand in [urgent, light] {
        let outcome = outcomes[demand.account];
        assert!(
            started_per_s(&outcome) >= 0.9 * demand.per_s,
            "{}: {outcome:?}",
            demand.account
        );
    }
    let rest = CAPACITY_PER_S - urgent.per_s - light.per_s;
    assert!(
        started_per_s(&outcomes["flood"]) >= 0.9 * rest,
        "{outcomes:?}"
    );
}

/// Without accounts, requests start in the order of rank and objective, as if there were no shares.
#[test]
fn without_accounts_the_order_of_starts_is_that_of_rank_and_objective() {
    let engine_limits = EngineLimits {
        batch_slots: 1,
        kv_tokens: 1_000_000,
        ..limits()
    };
    let mut scheduler = scheduler_with_model(engine_limits, 0);
    let mut expected = Vec::new();
    let mut started = Vec::new();
    let mut record = |actions: Vec<EngineAction>| {
        for action in actions {
            if let EngineAction::Start { key } = action {
                started.push(key);
            }
        }
    };
    for key in 1..=40 {
        let rank = (key * 7 % 3) as u32;
        let objective_ms = 60_000 + key * 13 % 40;
        expected.push((key > 1, rank, objective_ms, key));
        let request = EngineRequest {
            key,
            model: MODEL.into(),
            rank,
            prompt_tokens: key * 31 % 17 * 100,
            objective_ms,
            deadline_ms: 120_000,
            ..EngineRequest::default()
        };
        let mut actions = Vec::new();
        scheduler.submit(request, 0, &mut actions);
        record(actions);
    }
    expected.sort_unstable();
    for &(.., key) in &expected {
        let mut actions = Vec::new();
        scheduler.finish(key, true, 1, &mut actions);
        record(actions);
    }
    let expected: Vec<u64> = expected.into_iter().map(|(.., key)| key).collect();
    assert_eq!(started, expected);
}

/// A caller may name any number of tokens; what it names must not stop the engine from serving others.
#[test]
fn absurd_token_counts_harm_only_their_own_account() {
    let absurd = Demand {
        account: "absurd",
        per_s: CAPACITY_PER_S,
        prompt_tokens: u64::MAX,
        ..Demand::default()
    };
    let usual = Demand {
        account: "usual",
        per_s: CAPACITY_PER_S / 2.0,
        ..Demand::default()
    };
    let outcomes = replay(&[absurd, usual]);
    let started = started_per_s(&outcomes["usual"]);
    assert!(started >= 0.9 * usual.per_s, "{outcomes:?}");
}

/// Load: one account floods an engine that has no other work. What cannot start in time is refused at once.
#[test]
fn what_waits_behind_its_own_account_too_long_is_refused_at_its_arrival() {
    let flood = Demand {
        account: "flood",
        per_s: CAPACITY_PER_S * 4.0,
        ..Demand::default()
    };
    let outcome = replay(&[flood])["flood"];
    assert!(
        started_per_s(&outcome) >= 0.9 * CAPACITY_PER_S,
        "{outcome:?}"
    );
    assert!(outcome.refused > outcome.sent / 2, "{outcome:?}");
    assert!(outcome.expired * 20 <= outcome.refused, "{outcome:?}");
}
