//! Tests of an agent that several entries use, over links as entries open them.

mod common;

use {
    self::common::{
        assert_no_violations,
        links::{open_link, send},
        run_with_fleet, small_fleet,
    },
    magnoliasail_core::gateway::{
        EngineRefusal, Quarantine,
        message::{QuarantineChange, Submit, SuspectRequest, ToAgentKind, ToEntryKind},
        part_fingerprint,
    },
    magnoliasail_soak::{Call, CallKind, Caller, Fleet, Outcome, PROPAGATION_TIME},
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

const FINGERPRINT: u64 = 7;

/// Returns the reason for which the agent refuses the next attempt.
async fn next_refusal(received: &mut mpsc::UnboundedReceiver<ToEntryKind>) -> Option<u32> {
    let refusal = async {
        loop {
            match received.recv().await {
                Some(ToEntryKind::Refused(refused)) => return Some(refused.reason),
                Some(_) => {}
                None => return None,
            }
        }
    };
    timeout(Duration::from_secs(5), refusal).await.ok()?
}

/// An entry that has not heard of a quarantine yet must not be able to crash the engine again.
#[test]
fn agent_refuses_what_another_entry_has_quarantined() {
    run_with_fleet(small_fleet(89), |fleet| async move {
        let (first_entry, _first_received) = open_link(&fleet, 0).await;
        let (second_entry, mut received) = open_link(&fleet, 0).await;
        let change = QuarantineChange {
            fingerprint: FINGERPRINT,
            is_ended: false,
            age_ms: 0,
            ..QuarantineChange::default()
        };
        send(&first_entry, ToAgentKind::Quarantine(change)).await;
        // A message on the other link may overtake the first one.
        sleep(Duration::from_millis(200)).await;
        for (request, parts) in [(FINGERPRINT, vec![]), (1, vec![2, FINGERPRINT])] {
            let submit = Submit {
                attempt: request,
                deadline_ms: 2_000,
                objective_ms: 500,
                method: "POST".to_owned(),
                target: "/resumable/x".to_owned(),
                suspect: Some(SuspectRequest { request, parts }),
                ..Submit::default()
            };
            send(&second_entry, ToAgentKind::Submit(submit)).await;
            let reason = next_refusal(&mut received).await;
            assert_eq!(reason, Some(EngineRefusal::Quarantined as u32));
        }
        assert_no_violations(&fleet);
    });
}

/// Returns whether the agent says, on a new link, that the fingerprint is quarantined.
async fn is_known_to_agent(fleet: &Fleet) -> bool {
    let (_outbox, mut received) = open_link(fleet, 0).await;
    let known = async {
        loop {
            match received.recv().await {
                Some(ToEntryKind::Quarantine(change)) => {
                    return change.fingerprint == FINGERPRINT && !change.is_ended;
                }
                Some(_) => {}
                None => return false,
            }
        }
    };
    timeout(Duration::from_secs(2), known)
        .await
        .unwrap_or(false)
}

/// An entry must hand on to a restarted agent what it has learned from the agent before.
#[test]
fn restarted_agent_is_told_what_is_quarantined_by_an_entry_that_learned_it_from_an_agent() {
    const ENTRY: usize = 0;
    const AGENT: usize = 1;
    run_with_fleet(small_fleet(88), |mut fleet| async move {
        let (outbox, _received) = open_link(&fleet, 0).await;
        let change = QuarantineChange {
            fingerprint: FINGERPRINT,
            is_ended: false,
            age_ms: 10_000,
            ..QuarantineChange::default()
        };
        send(&outbox, ToAgentKind::Quarantine(change)).await;
        sleep(Duration::from_millis(200)).await;
        for process in [ENTRY, AGENT] {
            fleet.restart(process).expect("the process starts again");
            sleep(PROPAGATION_TIME).await;
        }
        assert!(is_known_to_agent(&fleet).await, "{}", fleet.output());
        assert_no_violations(&fleet);
    });
}

/// Entries may decide alike within milliseconds, and one of them ends it again. Guards against the other going
/// on refusing sound content for a day, because no completion that comes later concerns it.
#[test]
fn end_of_a_quarantine_by_one_entry_is_told_to_the_other() {
    run_with_fleet(small_fleet(87), |fleet| async move {
        let (first_entry, _first_received) = open_link(&fleet, 0).await;
        let (second_entry, mut received) = open_link(&fleet, 0).await;
        let start = QuarantineChange {
            fingerprint: FINGERPRINT,
            is_ended: false,
            age_ms: 0,
            ..QuarantineChange::default()
        };
        // New links are told what was decided in the last two seconds.
        sleep(Duration::from_millis(Quarantine::CONFIRMATION_MS + 500)).await;
        for entry in [&first_entry, &second_entry] {
            send(entry, ToAgentKind::Quarantine(start)).await;
        }
        sleep(Duration::from_millis(200)).await;
        let end = QuarantineChange {
            is_ended: true,
            ..start
        };
        send(&first_entry, ToAgentKind::Quarantine(end)).await;
        let told = async {
            loop {
                match received.recv().await {
                    Some(ToEntryKind::Quarantine(change)) if change.is_ended => {
                        return change.fingerprint;
                    }
                    Some(_) => {}
                    None => return 0,
                }
            }
        };
        let told = timeout(Duration::from_secs(5), told).await;
        assert_eq!(told, Ok(FINGERPRINT));
        assert_no_violations(&fleet);
    });
}

/// Guards against an agent that has missed the end of a quarantine and refuses for a day what its entry allows.
#[test]
fn agent_that_missed_the_end_of_a_quarantine_is_told_of_it_at_its_first_refusal() {
    const PART: &str = "bb";
    const CALLS: u32 = 6;
    run_with_fleet(small_fleet(86), |fleet| async move {
        // New links are told what was decided in the last two seconds.
        sleep(Duration::from_millis(Quarantine::CONFIRMATION_MS + 500)).await;
        let (to_first, _first_received) = open_link(&fleet, 0).await;
        let (to_second, _second_received) = open_link(&fleet, 1).await;
        let start = QuarantineChange {
            fingerprint: part_fingerprint(PART),
            is_ended: false,
            age_ms: 1_000,
            is_part: true,
        };
        let end = QuarantineChange {
            is_ended: true,
            age_ms: 0,
            ..start
        };
        send(&to_first, ToAgentKind::Quarantine(start)).await;
        // The entry hears of the end from the other agent only, whose engine then leaves.
        for change in [start, end] {
            send(&to_second, ToAgentKind::Quarantine(change)).await;
        }
        fleet.servers[1].set_draining(true);
        fleet.publish_server(1);
        sleep(PROPAGATION_TIME).await;
        let mut caller = Caller::new(fleet.entry_address(0), fleet.ledger.clone());
        let mut outcomes = Vec::new();
        for number in 0..CALLS {
            let call = Call {
                id: format!("part-{number}"),
                kind: CallKind::ResumableStream,
                content: format!("part-{number}"),
                prompt_parts: format!("{PART}:50,own{number}:20"),
                ..Call::default()
            };
            outcomes.push(caller.call(&call).await);
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(outcomes[0], Outcome::NotRun, "{}", fleet.output());
        let later = &outcomes[1..];
        let is_served = |outcome: &Outcome| *outcome == Outcome::Served;
        assert!(
            later.iter().all(is_served),
            "{outcomes:?}\n{}",
            fleet.output()
        );
        assert_no_violations(&fleet);
    });
}
