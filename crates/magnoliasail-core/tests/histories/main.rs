//! Random histories of a small simulated fleet, with every invariant checked after every step.
//!
//! The environment variable `HISTORIES` sets the number of histories (1,000 by default) and
//! `FIRST_SEED` the first seed. `cargo xtask histories` runs large numbers of them.
//!
//! A history is almost fully determined by its seed; the iteration order of hash maps can still
//! vary between processes, which changes the run of a few seeds (6441 for example).

mod fleet;
mod history;
mod invariants;
mod link;
mod mutation;
mod platform;
mod server;

use {
    self::{
        invariants::{Invariant, Summary, Violation},
        mutation::Mutation,
    },
    arbtest::arbtest,
    std::env,
};

/// Bytes of random input per history.
const HISTORY_BYTES: u32 = 6_000;
/// Number of histories within which every mutation must be detected.
const MUTATION_HISTORIES: u32 = 400;

/// Runs one history and returns its first violation, if any, and its summary.
fn run_history(seed: u32, mutation: Option<Mutation>) -> (Option<Violation>, Summary) {
    let mut result = (None, Summary::default());
    arbtest(|choices| {
        result = history::run(choices, mutation)?;
        Ok(())
    })
    .seed(u64::from(seed) << 32 | u64::from(HISTORY_BYTES))
    .run();
    result
}

fn env_number(name: &str, default: u32) -> u32 {
    env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

#[test]
fn every_invariant_holds_in_random_histories() {
    let first = env_number("FIRST_SEED", 1);
    let count = env_number("HISTORIES", 1_000);
    let mut total = Summary::default();
    for seed in first..first + count {
        let (violation, summary) = run_history(seed, None);
        if let Some(violation) = violation {
            panic!("seed {seed}: {violation}");
        }
        total.add(&summary);
    }
    assert!(
        total.is_complete(),
        "the histories do not cover every outcome: {total:?}"
    );
    println!("{count} histories from seed {first} have no violation: {total:?}");
}

/// Returns whether any history with the mutation violates the invariant.
fn is_detected(mutation: Mutation, invariant: Invariant) -> bool {
    (1..=MUTATION_HISTORIES).any(|seed| {
        run_history(seed, Some(mutation))
            .0
            .is_some_and(|violation| violation.invariant == invariant)
    })
}

macro_rules! mutations {
    ($($name:ident: $mutation:ident => $invariant:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            assert!(is_detected(Mutation::$mutation, Invariant::$invariant));
        })*
    };
}

mutations!(
    an_engine_that_runs_the_wrong_adapter_is_detected: RunWrongAdapter => ExactAdapter,
    a_pin_that_is_released_early_is_detected: ReleasePinsEarly => NoEvictionInUse,
    a_truncated_answer_is_detected: TruncateAnswers => CompleteAnswer,
    a_misrouted_answer_is_detected: MisrouteAnswers => CompleteAnswer,
    a_false_not_run_outcome_is_detected: ReportNotRun => NotRunIsAccurate,
    a_lost_job_ledger_is_detected: LoseJobLedger => AtMostOnce,
    two_holders_of_one_lease_are_detected: DuplicateLease => AtMostOnce,
    an_ignored_drain_is_detected: IgnoreDrains => NoNewWorkWhenLeaving,
    a_reverted_table_is_detected: RevertTables => TableNeverReverts,
    a_dropped_final_answer_is_detected: DropFinalAnswers => EveryRequestIsAnswered,
    a_repeated_final_answer_is_detected: RepeatFinalAnswers => OneFinalAnswer,
);
