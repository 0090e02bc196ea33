//! Parts that sound prompts share with those that crash servers.

use magnoliasail_core::gateway::{
    Quarantine,
    message::{CrashReport, SuspectRequest},
};

const NOW_MS: u64 = 100_000;
/// Time between two crashes; those of content that has completed count separately.
const STEP_MS: u64 = 2_000;
const FIRST_PART: u64 = 1;
const BAD_PART: u64 = 2;

fn prompt(request: u64, parts: &[u64]) -> SuspectRequest {
    SuspectRequest::new(request, parts.iter().copied())
}

/// A crash by a request with the bad part, beside a sound request with a part of its own.
fn crash(number: u64, request: u64) -> CrashReport {
    let sound = prompt(5_000 + number, &[FIRST_PART, 9_000 + number]);
    CrashReport {
        server_start: number,
        requests: vec![
            sound,
            prompt(request, &[FIRST_PART, 7_000 + number, BAD_PART]),
        ],
        service: 1,
    }
}

fn is_refused(quarantine: &Quarantine, part: u64, now_ms: u64) -> bool {
    quarantine.left_ms(&prompt(11, &[part]), now_ms).is_some()
}

/// A process that has seen the first part complete before servers crash.
fn quarantine_with_completed_first_part() -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&prompt(12, &[FIRST_PART]), NOW_MS - 1);
    quarantine
}

/// Guards against the refusal of the first part of all prompts while all servers are down so often that
/// none of them completes.
#[test]
fn shared_part_is_not_refused_beside_the_one_that_crashes_servers_though_nothing_completes() {
    let mut quarantine = quarantine_with_completed_first_part();
    for number in 0..3 {
        quarantine.record_crash(&crash(number, 100 + number), NOW_MS + number * STEP_MS);
    }
    let now_ms = NOW_MS + 3 * STEP_MS;
    assert!(is_refused(&quarantine, BAD_PART, now_ms));
    assert!(!is_refused(&quarantine, FIRST_PART, now_ms));
}

/// The same while each request is sent once more, so that the crashes have fewer different bad requests than
/// sound ones.
#[test]
fn shared_part_is_not_refused_while_each_bad_request_crashes_two_servers() {
    let mut quarantine = quarantine_with_completed_first_part();
    for number in 0..6 {
        let now_ms = NOW_MS + number * STEP_MS;
        quarantine.record_crash(&crash(number, 100 + number / 2), now_ms);
        assert!(!is_refused(&quarantine, FIRST_PART, now_ms));
    }
    assert!(is_refused(&quarantine, BAD_PART, NOW_MS + 6 * STEP_MS));
}

/// The same at a process that has started since, and hears of the completion from another one.
#[test]
fn completion_seen_elsewhere_ends_the_quarantine_of_a_part_that_another_one_explains() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&crash(number, 100 + number), NOW_MS + number * STEP_MS);
    }
    let now_ms = NOW_MS + 2 * STEP_MS + 1;
    assert!(is_refused(&quarantine, FIRST_PART, now_ms));
    let other = quarantine_with_completed_first_part();
    let notice = other.completion_notice(FIRST_PART, now_ms);
    let ended = quarantine.apply_completion(notice.expect("the part has completed"), now_ms);
    assert_eq!(ended.map(|change| change.is_ended), Some(true));
    assert!(!is_refused(&quarantine, FIRST_PART, now_ms));
    assert!(is_refused(&quarantine, BAD_PART, now_ms));
}

/// What has completed may begin to crash servers, and is refused if nothing else explains the crashes.
#[test]
fn shared_part_that_begins_to_crash_servers_is_refused() {
    let mut quarantine = quarantine_with_completed_first_part();
    for number in 0..3 {
        let mut report = crash(number, 100 + number);
        report.requests.truncate(1);
        quarantine.record_crash(&report, NOW_MS + number * STEP_MS);
    }
    assert!(is_refused(&quarantine, FIRST_PART, NOW_MS + 3 * STEP_MS));
}
