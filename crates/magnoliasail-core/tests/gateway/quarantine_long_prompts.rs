//! Quarantine of parts that are anywhere in prompts as long as a header can carry.

use magnoliasail_core::gateway::{
    CrashDetector, Quarantine,
    message::{CrashReport, SuspectRequest},
};

const NOW_MS: u64 = 100_000;
const STEP_MS: u64 = 700;
const FIRST_PART: u64 = 1;
const BAD_PART: u64 = 2;
/// Parts of a header of 16 KB whose ids have three digits or less.
const MAX_PARTS: u64 = 4_000;
/// Limit on the fingerprints in a report that names parts.
const MAX_REPORTED_PARTS: usize = 65_536;
/// Limit on the suspects that are remembered.
const MAX_SUSPECTS: usize = 131_072;

/// A prompt with a first part that all share, and parts of its own.
fn prompt(request: u64, parts: u64) -> SuspectRequest {
    let own = (1..parts).map(|part| request * 10_000 + part);
    SuspectRequest::new(request, std::iter::once(FIRST_PART).chain(own))
}

/// What is reported of a crash at which this many requests were running, the first of them with the bad
/// part at this place.
fn crash(
    detector: &mut CrashDetector,
    number: u64,
    requests: u64,
    (bad_part, place): (u64, usize),
) -> CrashReport {
    let at_ms = NOW_MS + number * STEP_MS;
    for index in 0..requests {
        let mut suspect = prompt(1_000 + number * requests + index, MAX_PARTS);
        if index == 0 {
            suspect.parts[place] = bad_part;
        }
        detector.record_broken_off(suspect, at_ms);
    }
    CrashReport {
        server_start: number,
        requests: detector.take_suspects(at_ms),
        service: 1,
    }
}

/// Returns the number of crashes until the bad part is refused, out of at most `max_crashes`.
fn crashes_until_found(requests: u64, bad: (u64, usize), max_crashes: u64) -> Option<u64> {
    let mut detector = CrashDetector::default();
    let mut quarantine = Quarantine::default();
    let bad_prompt = SuspectRequest::new(11, [bad.0]);
    (0..max_crashes).find(|&number| {
        let now_ms = NOW_MS + number * STEP_MS;
        quarantine.record_completion(&SuspectRequest::new(12, [FIRST_PART]), now_ms - 1);
        let report = crash(&mut detector, number, requests, bad);
        let parts: usize = report.requests.iter().map(|each| each.parts.len()).sum();
        assert!(parts <= MAX_REPORTED_PARTS, "{parts} parts in a report");
        quarantine.record_crash(&report, now_ms);
        let suspects = quarantine.suspect_count();
        assert!(suspects <= MAX_SUSPECTS, "{suspects} suspects");
        quarantine.left_ms(&bad_prompt, now_ms).is_some()
    })
}

/// Guards against parts that are not found because prompts have many, or because other requests at the
/// same crash have many more.
#[test]
fn part_at_any_place_of_the_longest_prompts_is_refused_after_three_crashes() {
    for place in [0, 31, 32, 33, 500, 2_000, MAX_PARTS as usize - 1] {
        for requests in [1, 4, 16] {
            let last = crashes_until_found(requests, (BAD_PART, place), 3);
            assert_eq!(last, Some(2), "place {place}, {requests} requests");
        }
    }
}

/// Guards against reports that leave out the same parts each time.
#[test]
fn part_is_found_also_if_reports_hold_only_a_sample_of_all_parts() {
    const MAX_CRASHES: u64 = 60;
    for bad_part in BAD_PART..BAD_PART + 8 {
        let last = crashes_until_found(64, (bad_part, 500), MAX_CRASHES);
        assert!(last.is_some(), "part {bad_part}");
    }
}

#[test]
fn part_that_a_prompt_names_several_times_counts_once() {
    let suspect = SuspectRequest::new(1, [7, 8, 7, 7, 9, 8]);
    assert_eq!(suspect.parts, [7, 8, 9]);
}

/// Guards against cancelled requests with long prompts, of which callers can make many.
#[test]
fn parts_of_cancelled_requests_are_kept_within_a_limit() {
    let mut detector = CrashDetector::default();
    for request in 0..200 {
        detector.record_cancelled(prompt(request, MAX_PARTS), NOW_MS);
    }
    let suspects = detector.take_suspects(NOW_MS);
    assert_eq!(suspects.len(), 200);
    let parts: usize = suspects.iter().map(|suspect| suspect.parts.len()).sum();
    assert!(parts <= MAX_REPORTED_PARTS, "{parts} parts");
    assert!(parts >= MAX_REPORTED_PARTS / 8, "{parts} parts");
}
