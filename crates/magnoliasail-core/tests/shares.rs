//! Property tests: shares, budgets and limits hold under any mix of demand.

use {
    arbtest::arbtest,
    magnoliasail_core::{Admission, AdmissionDecision, AdmissionSettings, LoadBudget, RetryBudget},
    std::collections::HashMap,
};

const SEEDS: u64 = 200;
/// Bytes of random input per seed.
const INPUT_BYTES: u64 = 4_096;

fn for_each_seed<P>(mut property: P)
where
    P: FnMut(&mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()>,
{
    for seed in 1..=SEEDS {
        arbtest(&mut property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

#[test]
fn a_population_with_demand_gets_at_least_95_percent_of_its_share() {
    const ROUNDS: u64 = 4_000;
    for_each_seed(|choices| {
        let shares: [u32; 3] = [
            choices.int_in_range(1..=9)?,
            choices.int_in_range(1..=9)?,
            choices.int_in_range(1..=9)?,
        ];
        let names = ["a", "b", "c"];
        let mut admission = Admission::new(AdmissionSettings {
            max_in_flight: 8,
            max_queue: 10_000,
        });
        for (name, share) in names.iter().zip(shares) {
            admission.set_population(name, share, 1_000, 1e9, 0);
        }
        let mut population_of = HashMap::new();
        let mut running = Vec::new();
        let mut served = [0_u64; 3];
        // Every population always has queued requests; the first floods.
        for number in 0..ROUNDS {
            for (index, name) in names.iter().enumerate() {
                let copies = if index == 0 { 3 } else { 1 };
                for copy in 0..copies {
                    let id = number * 100 + (index * 10 + copy) as u64;
                    population_of.insert(id, index);
                    if admission.offer(0, name, id) == AdmissionDecision::Admitted {
                        running.push(index);
                    }
                }
            }
            if let Some(index) = running.pop() {
                admission.release(names[index]);
            }
            while let Some(id) = admission.next_request() {
                let index = population_of[&id];
                served[index] += 1;
                running.insert(0, index);
            }
        }
        let total_served: u64 = served.iter().sum();
        let total_share: u32 = shares.iter().sum();
        for (index, share) in shares.iter().enumerate() {
            let expected = total_served as f64 * f64::from(*share) / f64::from(total_share);
            // A population whose demand is met in full may get less than its share.
            let demand = ROUNDS as f64;
            let min = 0.95 * expected.min(demand) - 8.0;
            let actual = served[index] as f64;
            assert!(
                actual >= min,
                "{shares:?}: {served:?}, expected {expected} for {index}"
            );
        }
        Ok(())
    });
}

#[test]
fn a_flood_is_refused_early_with_a_retry_delay() {
    let mut admission = Admission::new(AdmissionSettings {
        max_in_flight: 1,
        max_queue: 2,
    });
    admission.set_population("flood", 1, 100, 1e9, 0);
    let decisions: Vec<AdmissionDecision> =
        (0..5).map(|id| admission.offer(0, "flood", id)).collect();
    assert_eq!(
        decisions[..3],
        [
            AdmissionDecision::Admitted,
            AdmissionDecision::Queued,
            AdmissionDecision::Queued
        ]
    );
    for decision in &decisions[3..] {
        let has_retry_delay = matches!(decision, AdmissionDecision::Refused { retry_after_ms, .. } if *retry_after_ms > 0);
        assert!(has_retry_delay, "{decision:?}");
    }
}

#[test]
fn load_budgets_exceed_the_fleet_rate_by_at_most_one_burst_per_process() {
    const PROCESSES: usize = 6;
    const RATE_PER_S: f64 = 7.0;
    const BURST_LOADS: f64 = 2.0;
    const DURATION_S: u64 = 20;
    let mut budgets = vec![LoadBudget::new(RATE_PER_S, 0); PROCESSES];
    for budget in &mut budgets {
        budget.set_peers(PROCESSES, 0);
    }
    let mut loads = 0.0;
    for now_ms in (0..DURATION_S * 1_000).step_by(10) {
        for process in 0..PROCESSES {
            if budgets[process].take(now_ms, 9) {
                loads += 1.0;
                for budget in &mut budgets {
                    budget.record_load(now_ms);
                }
            }
        }
    }
    let allowed = RATE_PER_S * DURATION_S as f64 + BURST_LOADS * PROCESSES as f64;
    assert!(loads <= 1.1 * allowed, "{loads} loads, {allowed} allowed");
    assert!(
        loads >= 0.9 * RATE_PER_S * DURATION_S as f64,
        "only {loads} loads"
    );
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    for_each_seed(|choices| {
        let mut budget = RetryBudget::new(0.1, 5.0);
        let (mut first_attempts, mut retries) = (0_u32, 0_u32);
        for _ in 0..1_000 {
            if choices.arbitrary()? {
                budget.deposit();
                first_attempts += 1;
            } else if budget.withdraw() {
                retries += 1;
            }
        }
        let max_retries = 0.1 * f64::from(first_attempts) + 5.0;
        assert!(
            f64::from(retries) <= max_retries,
            "{retries} retries, {first_attempts} first attempts"
        );
        Ok(())
    });
}
