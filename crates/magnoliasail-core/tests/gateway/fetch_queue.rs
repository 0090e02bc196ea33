//! One queue of fetches over the fleet: a weight store that carries a few at once, and many engines.

use {
    magnoliasail_core::gateway::{
        FetchQueue, TransferLimit,
        message::{EngineFetches, PendingFetch},
    },
    std::collections::BTreeMap,
};

/// Time of a fetch while the store is not full.
const FETCH_MS: u64 = 250;
const OBJECTIVE_MS: u64 = 800;
const REPLAY_MS: u64 = 12_000;

/// A weight store that divides what it carries among the fetches in transit.
struct FakeStore {
    carried: usize,
    /// The work left of each fetch, in milliseconds, by engine and adapter, and when it began.
    in_transit: BTreeMap<(usize, u64), (f64, u64)>,
}

impl FakeStore {
    /// Advances by a millisecond; returns the fetches that end, with their times.
    fn advance(&mut self, now_ms: u64) -> Vec<(usize, u64, u64)> {
        let speed = (self.carried as f64 / self.in_transit.len().max(1) as f64).min(1.0);
        let mut ended = Vec::new();
        self.in_transit
            .retain(|&(engine, adapter), (left_ms, began_ms)| {
                *left_ms -= speed;
                if *left_ms <= 0.0 {
                    ended.push((engine, adapter, now_ms - *began_ms));
                }
                *left_ms > 0.0
            });
        ended
    }
}

/// What a replay showed.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    /// The most fetches in transit after the limit was learned.
    most_in_transit: usize,
    longest_wait_ms: u64,
}

/// Replays `per_s` adapters a second that no engine has, each for one request at one of `engines` engines.
fn replay(engines: usize, carried: usize, per_s: f64, has_queue: bool) -> Outcome {
    const LEARNED_MS: u64 = 2_000;
    let mut store = FakeStore {
        carried,
        in_transit: BTreeMap::new(),
    };
    let mut queue = FetchQueue::default();
    let mut waiting: Vec<BTreeMap<u64, u64>> = vec![BTreeMap::new(); engines];
    let mut received = vec![0; engines];
    let mut arrived = BTreeMap::new();
    let mut outcome = Outcome::default();
    let (mut due, mut next) = (0.0, 0_u64);
    for now_ms in 0..REPLAY_MS {
        due += per_s / 1_000.0;
        let mut changed = vec![Vec::new(); engines];
        let mut is_changed = vec![now_ms == 0; engines];
        while due >= 1.0 {
            due -= 1.0;
            next += 1;
            let engine = (next * 7 % engines as u64) as usize;
            waiting[engine].insert(next, now_ms);
            arrived.insert(next, now_ms);
            is_changed[engine] = true;
            outcome.asked += 1;
        }
        for (engine, adapter, took_ms) in store.advance(now_ms) {
            let waited_ms = now_ms - arrived[&adapter];
            outcome.in_time += u32::from(waited_ms <= OBJECTIVE_MS);
            outcome.longest_wait_ms = outcome.longest_wait_ms.max(waited_ms);
            changed[engine].push(took_ms as u32);
            is_changed[engine] = true;
        }
        if has_queue {
            for engine in (0..engines).filter(|&engine| is_changed[engine]) {
                let pending = waiting[engine]
                    .iter()
                    .map(|(&adapter, &since_ms)| PendingFetch {
                        adapter,
                        left_ms: (since_ms + OBJECTIVE_MS).checked_sub(now_ms + FETCH_MS),
                        waited_ms: now_ms - since_ms,
                        requests: 1,
                    });
                let fetches = EngineFetches {
                    number: now_ms + 1,
                    permits_received: received[engine],
                    in_transit: in_transit(&store, engine),
                    pending: pending.collect(),
                    ended_ms: std::mem::take(&mut changed[engine]),
                };
                queue.update(engine, &fetches, now_ms);
            }
            for (engine, adapter) in queue.permit(now_ms) {
                received[engine] += 1;
                waiting[engine].remove(&adapter);
                store
                    .in_transit
                    .insert((engine, adapter), (FETCH_MS as f64, now_ms));
            }
        } else {
            for (engine, waiting) in waiting.iter_mut().enumerate() {
                while in_transit(&store, engine) < 4
                    && let Some((adapter, _)) = waiting.pop_first()
                {
                    store
                        .in_transit
                        .insert((engine, adapter), (FETCH_MS as f64, now_ms));
                }
            }
        }
        if now_ms >= LEARNED_MS {
            outcome.most_in_transit = outcome.most_in_transit.max(store.in_transit.len());
        }
    }
    outcome
}

fn in_transit(store: &FakeStore, engine: usize) -> u32 {
    let keys = store.in_transit.keys();
    keys.filter(|&&(other, _)| other == engine).count() as u32
}

fn fetch(adapter: u64, left_ms: Option<u64>, waited_ms: u64) -> PendingFetch {
    PendingFetch {
        adapter,
        left_ms,
        waited_ms,
        requests: 1,
    }
}

fn fetches(number: u64, pending: Vec<PendingFetch>) -> EngineFetches {
    EngineFetches {
        number,
        pending,
        ..EngineFetches::default()
    }
}

/// Load: a cold start. Adapters are asked for a quarter faster than the store delivers them.
#[test]
fn a_queue_of_the_fleet_keeps_in_time_what_the_store_can_deliver() {
    for (engines, carried) in [(18, 8), (46, 40), (300, 200)] {
        let per_s = 1.25 * carried as f64 * 1_000.0 / FETCH_MS as f64;
        let pooled = replay(engines, carried, per_s, true);
        let alone = replay(engines, carried, per_s, false);
        let share = |outcome: &Outcome| f64::from(outcome.in_time) / f64::from(outcome.asked);
        assert!(share(&pooled) >= 0.6, "{engines}: {pooled:?}");
        assert!(
            share(&pooled) >= 2.0 * share(&alone),
            "{engines}: {pooled:?} {alone:?}"
        );
    }
}

/// Load: less than the store delivers.
#[test]
fn a_queue_of_the_fleet_delays_nothing_while_the_store_has_room() {
    for (engines, carried) in [(18, 8), (46, 104), (300, 200)] {
        let per_s = 0.7 * carried as f64 * 1_000.0 / FETCH_MS as f64;
        let pooled = replay(engines, carried, per_s, true);
        let ended = pooled.asked - carried as u32;
        assert!(pooled.in_time >= ended * 98 / 100, "{engines}: {pooled:?}");
    }
}

/// The bound is twice what the store carries; beyond it every fetch takes twice as long.
#[test]
fn fetches_in_transit_stay_near_what_the_store_carries() {
    for (engines, carried) in [(18, 8), (46, 40), (46, 104), (300, 200)] {
        let per_s = 2.0 * carried as f64 * 1_000.0 / FETCH_MS as f64;
        let pooled = replay(engines, carried, per_s, true);
        assert!(
            pooled.most_in_transit <= 2 * carried,
            "{engines}: {pooled:?}"
        );
    }
}

#[test]
fn the_most_urgent_fetch_that_can_be_in_time_goes_first_and_late_ones_last() {
    let mut queue = FetchQueue::default();
    // The first permit goes to the longest wait, and is used up here.
    queue.update(0, &fetches(1, vec![fetch(9, None, 0)]), 0);
    assert_eq!(queue.permit(0), [(0, 9)]);
    let pending = vec![
        fetch(1, None, 900),
        fetch(2, Some(300), 10),
        fetch(3, Some(50), 20),
    ];
    let message = EngineFetches {
        permits_received: 1,
        ..fetches(2, pending)
    };
    queue.update(0, &message, 10);
    assert_eq!(queue.permit(10), [(0, 3)]);
}

/// An entry that has just started knows nothing of permits that another one gave.
#[test]
fn a_queue_that_has_just_started_counts_what_engines_have_in_transit() {
    let mut queue = FetchQueue::default();
    for engine in 0..4 {
        let message = EngineFetches {
            in_transit: 2,
            ..fetches(1, vec![fetch(engine, Some(100), 0)])
        };
        queue.update(engine, &message, 0);
    }
    assert_eq!(queue.in_transit(), 8);
    assert!(queue.permit(0).is_empty(), "{queue:?}");
    queue.remove(0);
    queue.remove(1);
    assert_eq!(queue.in_transit(), 4);
}

/// Load: rare adapters, late already, beside a flood that is in time.
#[test]
fn a_late_fetch_gets_its_turn() {
    const ROUNDS: u64 = 96;
    /// At least one permit in this many goes to a late fetch.
    const MAX_INTERVAL: usize = 16;
    const FIRST_URGENT: u64 = 1_000;
    let mut queue = FetchQueue::default();
    let mut permitted = Vec::new();
    for number in 1..=ROUNDS {
        let urgent = fetch(FIRST_URGENT + number, Some(200), 0);
        let late = fetch(number, None, 5_000);
        let message = EngineFetches {
            permits_received: permitted.len() as u64,
            ..fetches(number, vec![urgent, late])
        };
        queue.update(0, &message, number);
        let permits = queue.permit(number);
        permitted.extend(permits.into_iter().map(|(_, adapter)| adapter));
    }
    let late = permitted.iter().filter(|&&adapter| adapter < FIRST_URGENT);
    assert!(
        late.count() >= permitted.len() / MAX_INTERVAL,
        "{permitted:?}"
    );
}

/// Absurd values of an engine harm neither the limit nor the process.
#[test]
fn absurd_messages_leave_a_limit_of_at_least_one() {
    arbtest::arbtest(|u| {
        let mut queue = FetchQueue::default();
        for now_ms in 0..20 {
            let message = EngineFetches {
                number: u.arbitrary()?,
                permits_received: u.arbitrary()?,
                in_transit: u.arbitrary::<u16>()?.into(),
                pending: vec![fetch(u.arbitrary()?, u.arbitrary()?, u.arbitrary()?)],
                ended_ms: vec![u.arbitrary()?],
            };
            queue.update(u.int_in_range(0..=3)?, &message, now_ms);
            queue.permit(now_ms);
            assert!(queue.limit() >= 1);
        }
        Ok(())
    });
}

#[test]
fn limit_is_what_the_store_carries_once_fetches_are_slow() {
    const CARRIED: u32 = 8;
    let mut limit = TransferLimit::default();
    limit.record_in_transit(1, 0);
    limit.record(FETCH_MS, 18, FETCH_MS);
    limit.record_in_transit(2 * CARRIED, FETCH_MS);
    for round in 1..20 {
        let now_ms = FETCH_MS + round * 2 * FETCH_MS;
        limit.record(2 * FETCH_MS, 18, now_ms);
    }
    assert!(
        (CARRIED..=CARRIED + 2).contains(&limit.get(18)),
        "{limit:?}"
    );
}
