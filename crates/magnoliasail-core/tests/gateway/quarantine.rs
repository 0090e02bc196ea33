//! Quarantine of requests that crash servers.

use {
    magnoliasail_core::gateway::{
        CrashDetector, Quarantine,
        message::{CompletionNotice, CrashReport, QuarantineChange, SuspectRequest},
    },
    std::net::IpAddr,
};

const NOW_MS: u64 = 100_000;
/// Time between two crashes.
const STEP_MS: u64 = 5_000;
const POISON: u64 = 7;
const SERVICE: u64 = 1;
const OTHER_SERVICE: u64 = 2;

fn request(fingerprint: u64) -> SuspectRequest {
    SuspectRequest {
        request: fingerprint,
        parts: Vec::new(),
    }
}

/// A crash of a server at which the poison and another request were running.
fn crash(server_start: u64) -> CrashReport {
    CrashReport {
        server_start,
        requests: vec![request(POISON), request(1_000 + server_start)],
        service: SERVICE,
    }
}

fn is_quarantined(quarantine: &Quarantine, fingerprint: u64, now_ms: u64) -> bool {
    quarantine.left_ms(&request(fingerprint), now_ms).is_some()
}

fn quarantine_after_crashes(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..count {
        quarantine.record_crash(&crash(number), NOW_MS + number * STEP_MS);
    }
    quarantine
}

#[test]
fn request_is_refused_from_its_third_crash_on_and_those_beside_it_are_not() {
    let end_ms = NOW_MS + 3 * STEP_MS;
    assert!(!is_quarantined(
        &quarantine_after_crashes(2),
        POISON,
        end_ms
    ));
    let quarantine = quarantine_after_crashes(3);
    assert!(is_quarantined(&quarantine, POISON, end_ms));
    assert!((0..3).all(|number| !is_quarantined(&quarantine, 1_000 + number, end_ms)));
}

#[test]
fn crash_that_is_reported_twice_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        assert!(quarantine.record_crash(&crash(1), NOW_MS).is_empty());
    }
    assert!(!is_quarantined(&quarantine, POISON, NOW_MS));
}

#[test]
fn crashes_of_one_server_count_although_its_new_start_is_not_known_yet() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&crash(1), NOW_MS + number * STEP_MS);
    }
    assert!(is_quarantined(&quarantine, POISON, NOW_MS + 3 * STEP_MS));
}

#[test]
fn request_that_completes_between_crashes_is_never_refused() {
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        let now_ms = NOW_MS + number * STEP_MS;
        assert!(quarantine.record_crash(&crash(number), now_ms).is_empty());
        if number % 2 == 1 {
            quarantine.record_completion(&request(POISON), now_ms + 1);
        }
        assert!(!is_quarantined(&quarantine, POISON, now_ms + 2));
    }
}

#[test]
fn content_that_completes_all_the_time_is_not_refused_when_all_servers_crash_at_once() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&request(POISON), NOW_MS - 1);
    for server_start in 0..74 {
        quarantine.record_crash(&crash(server_start), NOW_MS + server_start);
    }
    assert!(!is_quarantined(&quarantine, POISON, NOW_MS + 100));
}

#[test]
fn content_that_begins_to_crash_servers_is_refused_after_three_separate_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&request(POISON), NOW_MS - 1);
    for number in 0..30 {
        quarantine.record_crash(&crash(number), NOW_MS + number * 100);
    }
    assert!(is_quarantined(&quarantine, POISON, NOW_MS + 3_000));
}

#[test]
fn completion_of_a_quarantined_request_ends_its_quarantine_everywhere() {
    let mut quarantine = quarantine_after_crashes(3);
    let mut other = Quarantine::default();
    let now_ms = NOW_MS + 3 * STEP_MS;
    for change in quarantine.changes_to_replay(now_ms).collect::<Vec<_>>() {
        assert!(other.apply(change, now_ms));
        assert!(!other.apply(change, now_ms));
    }
    assert!(is_quarantined(&other, POISON, now_ms));
    let lifted = quarantine.record_completion(&request(POISON), now_ms);
    let expected = QuarantineChange {
        fingerprint: POISON,
        is_ended: true,
        ..QuarantineChange::default()
    };
    assert_eq!(lifted, [expected]);
    assert!(other.apply(expected, now_ms));
    assert!(!is_quarantined(&quarantine, POISON, now_ms));
    assert!(!is_quarantined(&other, POISON, now_ms));
}

#[test]
fn quarantine_that_is_passed_on_is_not_prolonged() {
    let first = quarantine_after_crashes(3);
    let started_ms = NOW_MS + 2 * STEP_MS;
    let later_ms = started_ms + Quarantine::RETENTION_MS / 2;
    let mut second = Quarantine::default();
    for change in first.changes_to_replay(later_ms).collect::<Vec<_>>() {
        second.apply(change, later_ms);
    }
    let end_ms = started_ms + Quarantine::RETENTION_MS;
    assert!(is_quarantined(&second, POISON, end_ms - 1));
    assert!(!is_quarantined(&second, POISON, end_ms));
}

#[test]
fn crashes_of_many_other_requests_end_no_quarantine() {
    let mut quarantine = quarantine_after_crashes(3);
    let now_ms = NOW_MS + 3 * STEP_MS;
    for server_start in 10..20 {
        let requests = (0..10_000).map(|number| request(server_start * 10_000 + number));
        let report = CrashReport {
            server_start,
            requests: requests.collect(),
            service: SERVICE,
        };
        quarantine.record_crash(&report, now_ms);
    }
    assert!(is_quarantined(&quarantine, POISON, now_ms));
}

#[test]
fn requests_broken_off_by_an_engine_that_answers_are_no_suspects() {
    let mut detector = CrashDetector::default();
    detector.record_broken_off(request(POISON), NOW_MS);
    detector.record_broken_off(request(1), NOW_MS + 20);
    detector.record_alive(NOW_MS + 10);
    assert_eq!(detector.take_suspects(NOW_MS + 30), [request(1)]);
    assert!(detector.take_suspects(NOW_MS + 31).is_empty());
    detector.record_broken_off(request(POISON), NOW_MS);
    assert!(detector.take_suspects(NOW_MS + STEP_MS).is_empty());
}

/// Guards against taking a request for sound although the server crashed as it completed.
#[test]
fn completed_request_is_a_suspect_until_the_server_has_outlived_it() {
    let mut detector = CrashDetector::default();
    detector.record_completed(request(1), NOW_MS);
    detector.record_completed(request(POISON), NOW_MS + 20);
    assert_eq!(detector.record_alive(NOW_MS + 10), [request(1)]);
    assert!(!detector.is_empty(NOW_MS + 30));
    assert_eq!(detector.take_suspects(NOW_MS + 30), [request(POISON)]);
    assert!(detector.record_alive(NOW_MS + 40).is_empty());
    detector.record_completed(request(POISON), NOW_MS);
    assert!(detector.take_suspects(NOW_MS + 2_001).is_empty());
}

/// A server may run on what its caller has cancelled, so that its answers do not clear it.
#[test]
fn cancelled_request_stays_a_suspect_for_a_moment_although_the_server_answers() {
    let mut detector = CrashDetector::default();
    detector.record_cancelled(request(POISON), NOW_MS);
    detector.record_alive(NOW_MS + 100);
    assert!(!detector.is_empty(NOW_MS + 200));
    assert_eq!(detector.take_suspects(NOW_MS + 200), [request(POISON)]);
    assert!(detector.is_empty(NOW_MS + 200));
    detector.record_cancelled(request(POISON), NOW_MS);
    assert!(detector.is_empty(NOW_MS + 2_001));
    assert!(detector.take_suspects(NOW_MS + 2_001).is_empty());
}

#[test]
fn the_latest_cancelled_requests_are_kept_within_a_limit() {
    const LIMIT: usize = 256;
    let mut detector = CrashDetector::default();
    for fingerprint in 0..1_000 {
        detector.record_cancelled(request(fingerprint), NOW_MS);
    }
    let suspects = detector.take_suspects(NOW_MS);
    assert_eq!(suspects.len(), LIMIT);
    assert_eq!(suspects.last(), Some(&request(999)));
}

/// The first part of all prompts, and the part that crashes engines.
const FIRST_PART: u64 = 1;
const BAD_PART: u64 = 2;

fn prompt(fingerprint: u64, parts: &[u64]) -> SuspectRequest {
    SuspectRequest {
        request: fingerprint,
        parts: parts.to_vec(),
    }
}

/// A crash by a request with the bad part, beside a sound request with a part of its own.
fn part_crash(server_start: u64, request: u64) -> CrashReport {
    let victim = prompt(5_000 + server_start, &[FIRST_PART, 9_000 + server_start]);
    CrashReport {
        server_start,
        requests: vec![prompt(request, &[FIRST_PART, BAD_PART]), victim],
        service: SERVICE,
    }
}

fn is_part_quarantined(quarantine: &Quarantine, part: u64, now_ms: u64) -> bool {
    quarantine.left_ms(&prompt(0, &[part]), now_ms).is_some()
}

#[test]
fn part_is_refused_after_crashes_by_three_different_requests_and_the_shared_part_is_not() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let now_ms = NOW_MS + number * 100;
        quarantine.record_completion(&prompt(8_000 + number, &[FIRST_PART]), now_ms);
        assert!(!is_part_quarantined(&quarantine, BAD_PART, now_ms));
        quarantine.record_crash(&part_crash(number, 100 + number), now_ms);
    }
    let now_ms = NOW_MS + 300;
    assert!(is_part_quarantined(&quarantine, BAD_PART, now_ms));
    assert!(!is_part_quarantined(&quarantine, FIRST_PART, now_ms));
    assert!((0..3).all(|number| !is_part_quarantined(&quarantine, 9_000 + number, now_ms)));
}

#[test]
fn request_that_crashes_servers_does_not_condemn_the_parts_of_its_prompt() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&part_crash(number, 100), NOW_MS + number * 100);
    }
    let now_ms = NOW_MS + 300;
    assert!(is_quarantined(&quarantine, 100, now_ms));
    assert!(!is_part_quarantined(&quarantine, BAD_PART, now_ms));
}

#[test]
fn crash_beside_a_quarantined_request_condemns_nothing_else() {
    let mut quarantine = quarantine_after_crashes(3);
    let now_ms = NOW_MS + 3 * STEP_MS;
    for number in 10..20 {
        let mut report = part_crash(number, 100 + number);
        report.requests.push(request(POISON));
        assert!(quarantine.record_crash(&report, now_ms).is_empty());
    }
}

#[test]
fn completion_seen_by_another_process_ends_a_quarantine_that_the_crashes_do_not_justify() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&part_crash(number, 100 + number), NOW_MS + number);
    }
    assert!(is_part_quarantined(&quarantine, FIRST_PART, NOW_MS + 3));
    let mut other = Quarantine::default();
    other.record_completion(&prompt(8_000, &[FIRST_PART]), NOW_MS - 500);
    assert_eq!(other.completion_notice(BAD_PART, NOW_MS + 4), None);
    let notice = other.completion_notice(FIRST_PART, NOW_MS + 4);
    let notice = notice.expect("the part has completed");
    let ended = quarantine.apply_completion(notice, NOW_MS + 5);
    assert_eq!(ended.map(|change| change.is_ended), Some(true));
    assert!(!is_part_quarantined(&quarantine, FIRST_PART, NOW_MS + 6));
    assert!(is_part_quarantined(&quarantine, BAD_PART, NOW_MS + 6));
}

#[test]
fn completion_before_separate_crashes_ends_no_quarantine() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let report = part_crash(number, 100 + number);
        quarantine.record_crash(&report, NOW_MS + number * STEP_MS);
    }
    let now_ms = NOW_MS + 3 * STEP_MS;
    let notice = CompletionNotice {
        fingerprint: BAD_PART,
        age_ms: now_ms - NOW_MS + 1,
    };
    assert_eq!(quarantine.apply_completion(notice, now_ms), None);
    assert!(is_part_quarantined(&quarantine, BAD_PART, now_ms));
}

#[test]
fn process_that_starts_is_told_of_a_quarantined_part_once_others_could_object() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let mut report = part_crash(number, 100 + number);
        report.requests = vec![prompt(100 + number, &[BAD_PART])];
        quarantine.record_crash(&report, NOW_MS + number);
    }
    let started_ms = NOW_MS + 2;
    let replayed = |at_ms| quarantine.changes_to_replay(at_ms).count();
    assert!(is_part_quarantined(&quarantine, BAD_PART, started_ms));
    assert_eq!(replayed(started_ms + 100), 0);
    assert_eq!(replayed(started_ms + Quarantine::CONFIRMATION_MS), 1);
}

#[test]
fn part_at_few_of_the_crashes_of_one_moment_is_not_refused() {
    const RARE_PART: u64 = 3;
    let mut quarantine = Quarantine::default();
    for number in 0..24 {
        let mut report = part_crash(number, 100 + number);
        report.requests.truncate(1);
        report.requests[0].parts = vec![if number % 8 == 7 {
            RARE_PART
        } else {
            400 + number
        }];
        quarantine.record_crash(&report, NOW_MS + number);
    }
    assert!(!is_part_quarantined(&quarantine, RARE_PART, NOW_MS + 30));
}

#[test]
fn part_that_completed_before_is_refused_after_separate_crashes_beside_it() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&prompt(8_000, &[BAD_PART]), NOW_MS - 1);
    for number in 0..60 {
        let now_ms = NOW_MS + number * 50;
        quarantine.record_completion(&prompt(8_001, &[FIRST_PART]), now_ms - 1);
        quarantine.record_crash(&part_crash(number, 100 + number / 2), now_ms);
    }
    assert!(is_part_quarantined(&quarantine, BAD_PART, NOW_MS + 3_000));
}

#[test]
fn quarantine_that_has_ended_is_not_started_again_by_a_process_that_missed_the_end() {
    let now_ms = NOW_MS + 3 * STEP_MS;
    let mut quarantine = quarantine_after_crashes(3);
    let stale: Vec<_> = quarantine.changes_to_replay(now_ms).collect();
    quarantine.record_completion(&request(POISON), now_ms);
    let mut other = quarantine_after_crashes(3);
    for change in stale {
        assert!(!quarantine.apply(change, now_ms));
    }
    assert!(!is_quarantined(&quarantine, POISON, now_ms));
    for change in quarantine.changes_to_replay(now_ms).collect::<Vec<_>>() {
        other.apply(change, now_ms);
    }
    assert!(!is_quarantined(&other, POISON, now_ms));
}

/// Guards against servers of another service that reset connections: each of their broken-off requests is
/// reported as a crash, and they ended the quarantine of a part. Seed 6004 of the soak failed because of it.
#[test]
fn requests_broken_off_by_servers_of_another_service_end_no_quarantine() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&part_crash(number, 100 + number), NOW_MS + number);
    }
    for number in 10..30 {
        let report = CrashReport {
            server_start: number,
            requests: vec![request(10_000 + number)],
            service: OTHER_SERVICE,
        };
        quarantine.record_crash(&report, NOW_MS + number);
    }
    assert!(is_part_quarantined(&quarantine, BAD_PART, NOW_MS + 40));
}

/// An entry that starts meanwhile must not wait for the confirmation of a quarantine that is only renewed.
#[test]
fn renewed_quarantine_of_a_part_is_replayed_once_its_first_start_is_confirmed() {
    let mut quarantine = Quarantine::default();
    let start = QuarantineChange {
        fingerprint: BAD_PART,
        is_part: true,
        ..QuarantineChange::default()
    };
    quarantine.apply(start, NOW_MS);
    quarantine.apply(start, NOW_MS + Quarantine::CONFIRMATION_MS - 1);
    let replayed = |at_ms| quarantine.changes_to_replay(at_ms).count();
    assert_eq!(replayed(NOW_MS + Quarantine::CONFIRMATION_MS - 1), 0);
    assert_eq!(replayed(NOW_MS + Quarantine::CONFIRMATION_MS), 1);
}

#[test]
fn quarantine_of_a_request_is_replayed_at_once() {
    let quarantine = quarantine_after_crashes(3);
    let now_ms = NOW_MS + 2 * STEP_MS;
    assert_eq!(quarantine.changes_to_replay(now_ms).count(), 1);
}

/// The VM and the service of an engine.
fn engine(number: u64) -> (IpAddr, u64) {
    ([10, 0, 0, number as u8].into(), SERVICE)
}

/// Guards sound requests that share their first part with those on which engines crash once their answers look complete.
#[test]
fn part_that_a_crashing_server_seemed_to_complete_is_refused_and_the_shared_part_is_not() {
    let mut quarantine = Quarantine::default();
    let sound = prompt(1_000, &[FIRST_PART]);
    quarantine.record_completion(&sound, NOW_MS);
    let mut now_ms = NOW_MS;
    for number in 1..=4 {
        now_ms += STEP_MS;
        let bad = prompt(number, &[FIRST_PART, BAD_PART]);
        quarantine.record_unproven_completion(bad, None, engine(number), now_ms - 10);
        let (vm, service) = engine(number);
        quarantine.refute_completions(vm, service);
        quarantine.record_crash(&part_crash(number, number), now_ms);
        quarantine.record_proven_completions(now_ms + STEP_MS - 20);
    }
    assert!(is_part_quarantined(&quarantine, BAD_PART, now_ms));
    assert!(!is_part_quarantined(&quarantine, FIRST_PART, now_ms));
}

#[test]
fn completion_counts_once_no_crash_of_its_server_was_reported_for_a_second() {
    let mut quarantine = Quarantine::default();
    for server in 1..=3 {
        quarantine.record_crash(&crash(server), NOW_MS + server);
    }
    let now_ms = NOW_MS + STEP_MS;
    assert!(is_quarantined(&quarantine, POISON, now_ms));
    quarantine.record_unproven_completion(request(POISON), Some("id".into()), engine(4), now_ms);
    quarantine.record_unproven_completion(request(POISON), None, engine(5), now_ms + 1);
    let (vm, service) = engine(4);
    quarantine.refute_completions(vm, OTHER_SERVICE);
    quarantine.refute_completions(vm, service);
    assert!(
        quarantine
            .record_proven_completions(now_ms + 1_000)
            .is_empty()
    );
    assert!(is_quarantined(&quarantine, POISON, now_ms + 1_000));
    let proven = quarantine.record_proven_completions(now_ms + 1_001);
    assert_eq!(proven.len(), 1);
    assert_eq!(proven[0].ended.len(), 1);
    assert!(!is_quarantined(&quarantine, POISON, now_ms + 1_001));
}

/// Guards against an agent that refuses for a day what no entry refuses: one entry ends a quarantine while the other
/// starts it.
#[test]
fn start_of_a_quarantine_that_crosses_its_end_does_not_outlast_it() {
    let start = QuarantineChange {
        fingerprint: BAD_PART,
        is_part: true,
        ..QuarantineChange::default()
    };
    let end = QuarantineChange {
        is_ended: true,
        ..start
    };
    for delay_ms in [0, 1, 30, 498] {
        for changes in [
            [start, end, start],
            [end, start, start],
            [start, start, end],
        ] {
            let mut agent = Quarantine::default();
            for (change, at_ms) in changes.into_iter().zip([0, 1, 1 + delay_ms]) {
                agent.apply(change, NOW_MS + at_ms);
            }
            let now_ms = NOW_MS + STEP_MS;
            assert!(
                !is_part_quarantined(&agent, BAD_PART, now_ms),
                "{changes:?}"
            );
        }
    }
    let mut agent = Quarantine::default();
    agent.apply(end, NOW_MS);
    agent.apply(start, NOW_MS + 500);
    assert!(is_part_quarantined(&agent, BAD_PART, NOW_MS + 500));
}

/// Guards against further crashes by a part whose quarantine ended because other servers crashed for another reason.
/// Seed 46149 of the soak failed because of it.
#[test]
fn part_that_crashes_servers_beside_a_loss_of_others_is_refused_again_at_its_next_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&part_crash(number, 100 + number), NOW_MS + number * 100);
    }
    assert!(is_part_quarantined(&quarantine, BAD_PART, NOW_MS + 300));
    let loss_ms = NOW_MS + 1_500;
    for number in 10..14 {
        let report = CrashReport {
            server_start: number,
            requests: vec![prompt(8_000 + number, &[FIRST_PART])],
            service: SERVICE,
        };
        quarantine.record_crash(&report, loss_ms);
    }
    assert!(!is_part_quarantined(&quarantine, BAD_PART, loss_ms));
    // The other entry has ended it too, and an agent passes that on.
    let end = QuarantineChange {
        fingerprint: BAD_PART,
        is_ended: true,
        age_ms: 0,
        is_part: true,
    };
    quarantine.apply(end, loss_ms + 2);
    let now_ms = loss_ms + 1_500;
    quarantine.record_completion(&prompt(8_000, &[FIRST_PART]), now_ms - 100);
    quarantine.record_crash(&part_crash(20, 200), now_ms);
    assert!(is_part_quarantined(&quarantine, BAD_PART, now_ms));
    assert!(!is_part_quarantined(&quarantine, FIRST_PART, now_ms));
}
