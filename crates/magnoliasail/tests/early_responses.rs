//! Answers that a server sends before it has read the request, and answers with a status that HTTP doesn't have.

mod common;

use {
    self::common::{assert_no_violations, run_with_fleet, small_fleet},
    magnoliasail_soak::{Call, CallKind, Caller, EarlyEnd, Fleet, Outcome, RawAnswer},
};

const CALLS: u32 = 8;
/// More than the buffers of a connection hold, and the most that the fleet's configuration allows.
const LONG_BODY_BYTES: usize = 1_000_000;
/// Less than the buffers of a connection hold.
const SHORT_BODY_BYTES: usize = 200_000;

/// Makes calls with long bodies to servers that all give this answer; returns the outcomes. The caller records a violation
/// if a part of an answer looks complete.
async fn outcomes_of(fleet: &Fleet, kind: CallKind, answer: RawAnswer) -> Vec<Outcome> {
    for server in &fleet.servers {
        server.set_raw_answer(Some(answer));
    }
    let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
    let mut outcomes = Vec::new();
    for number in 0..CALLS {
        let length = if number.is_multiple_of(2) {
            LONG_BODY_BYTES
        } else {
            SHORT_BODY_BYTES
        };
        let call = Call {
            id: format!("{answer:?}-{kind:?}-{number}")
                .replace(|c: char| !c.is_alphanumeric(), "-"),
            kind,
            content: format!("early-{number}"),
            body_bytes: length,
            ..Call::default()
        };
        outcomes.push(caller.call(&call).await);
    }
    for server in &fleet.servers {
        server.set_raw_answer(None);
    }
    outcomes
}

fn assert_never_complete(network: u8, kind: CallKind, end: EarlyEnd) {
    run_with_fleet(small_fleet(network), |fleet| async move {
        let outcomes = outcomes_of(&fleet, kind, RawAnswer::Early(end)).await;
        assert!(!outcomes.contains(&Outcome::Served), "{outcomes:?}");
        assert_no_violations(&fleet);
    });
}

/// Guards against a part of an answer that looks complete, because the server reset the connection while the request was
/// sent.
#[test]
fn part_of_an_answer_of_a_plain_server_that_resets_an_upload_never_looks_complete() {
    assert_never_complete(123, CallKind::Unsafe, EarlyEnd::Reset);
}

/// The same if what the server sends ends cleanly before the reset.
#[test]
fn part_of_an_answer_of_a_plain_server_that_ends_during_an_upload_never_looks_complete() {
    assert_never_complete(124, CallKind::Unsafe, EarlyEnd::EndThenReset);
}

#[test]
fn part_of_a_stream_of_an_engine_that_resets_an_upload_never_looks_complete() {
    assert_never_complete(125, CallKind::Stream, EarlyEnd::Reset);
}

#[test]
fn part_of_a_stream_of_an_engine_that_ends_during_an_upload_never_looks_complete() {
    assert_never_complete(126, CallKind::Stream, EarlyEnd::EndThenReset);
}

/// Guards against an answer with a status that is none.
#[test]
fn answers_with_a_status_that_is_none_are_failures_of_their_server() {
    for (network, kind) in [(127, CallKind::Unsafe), (128, CallKind::Stream)] {
        run_with_fleet(small_fleet(network), |fleet| async move {
            for status in ["000", "001", "099", "101"] {
                let outcomes = outcomes_of(&fleet, kind, RawAnswer::Status(status)).await;
                let is_failure = |outcome: &Outcome| match outcome {
                    Outcome::Failed(status) => status.as_u16() == 502,
                    outcome => *outcome == Outcome::NotRun,
                };
                assert!(outcomes.iter().all(is_failure), "{status}: {outcomes:?}");
            }
            assert_no_violations(&fleet);
        });
    }
}

/// A sound server may answer before it has read a long body, and says how long its answer is.
#[test]
fn early_answers_with_a_length_are_passed_on() {
    run_with_fleet(small_fleet(129), |fleet| async move {
        for (name, status) in [("413", 413), ("599", 599)] {
            let outcomes = outcomes_of(&fleet, CallKind::Unsafe, RawAnswer::Status(name)).await;
            let is_passed_on =
                |outcome: &Outcome| matches!(outcome, Outcome::Failed(passed) if *passed == status);
            let passed_on = outcomes.iter().filter(|outcome| is_passed_on(outcome));
            // The first requests meet connections that the servers close.
            assert!(passed_on.count() >= CALLS as usize - 2, "{outcomes:?}");
        }
        assert_no_violations(&fleet);
    });
}
