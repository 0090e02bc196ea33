//! Tests of servers in trouble that send bytes without end.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{
        Call, CallKind, Caller, EndlessAnswer, Outcome, PROPAGATION_TIME, RawAnswer,
    },
    tokio::time::sleep,
};

const ANSWERS: [EndlessAnswer; 3] = [
    EndlessAnswer::Garbage,
    EndlessAnswer::Head,
    EndlessAnswer::Body,
];
/// Few enough for the retries that a young entry may spend.
const CALLS: u32 = 4;

/// Makes calls while the first server of each kind sends answers without end; returns the outcomes.
fn outcomes_beside_endless_answers(network: u8, kind: CallKind) -> Vec<Outcome> {
    let (sender, outcomes) = std::sync::mpsc::channel();
    run_with_fleet(small_fleet(network), |fleet| async move {
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        for answer in ANSWERS {
            for server in [0, 2] {
                fleet.servers[server].set_raw_answer(Some(RawAnswer::Endless(answer)));
            }
            for number in 0..CALLS {
                let call = Call {
                    id: format!("{answer:?}-{kind:?}-{number}"),
                    kind,
                    content: format!("{answer:?}-{number}"),
                    ..Call::default()
                };
                let _ = sender.send(caller.call(&call).await);
            }
            for server in [0, 2] {
                fleet.servers[server].set_raw_answer(None);
            }
            sleep(PROPAGATION_TIME).await;
        }
        assert_no_violations(&fleet);
    });
    outcomes.iter().collect()
}

/// Guards against memory that a single server can exhaust, and against other requests that suffer.
#[test]
fn streams_beside_answers_without_end_continue_at_another_engine() {
    let outcomes = outcomes_beside_endless_answers(95, CallKind::ResumableStream);
    let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
    assert!(outcomes.iter().all(is_served), "{outcomes:?}");
}

#[test]
fn safe_requests_beside_answers_without_end_are_served_by_another_server() {
    let outcomes = outcomes_beside_endless_answers(96, CallKind::Safe);
    let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
    assert!(outcomes.iter().all(is_served), "{outcomes:?}");
}

#[test]
fn unsafe_requests_get_an_error_before_their_deadline_if_their_answer_has_no_end() {
    let outcomes = outcomes_beside_endless_answers(97, CallKind::Unsafe);
    let is_final = |outcome: &Outcome| matches!(outcome, Outcome::Served | Outcome::Failed(_));
    assert!(outcomes.iter().all(is_final), "{outcomes:?}");
}

/// Guards against reading the rest of an answer to a health check for its connection's sake, without a limit that several
/// at a time keep within the memory. Each unframed answer is followed by such a check.
#[test]
fn answers_to_health_checks_without_end_are_broken_off() {
    run_with_fleet(small_fleet(98), |fleet| async move {
        for server in [2, 3] {
            fleet.servers[server].set_unframed_answers(true);
            fleet.servers[server].set_endless_health(true);
        }
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        for number in 0..CALLS {
            let call = Call {
                id: format!("health-{number}"),
                kind: CallKind::Safe,
                ..Call::default()
            };
            assert_eq!(caller.call(&call).await, Outcome::Served);
        }
        // The servers go on writing for longer than they count.
        sleep(2 * PROPAGATION_TIME).await;
        assert_no_violations(&fleet);
        assert!(
            fleet.output().contains("response_too_long"),
            "{}",
            fleet.output()
        );
    });
}
