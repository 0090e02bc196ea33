//! What a client that crashes servers does to others that send the same content or name the same parts, and they to
//! its quarantine.

use magnoliasail_core::gateway::{
    Quarantine,
    message::{CrashReport, SuspectRequest},
    request_fingerprint,
};

const NOW_MS: u64 = 100_000;
const STEP_MS: u64 = 2_000;
const SHARED_PART: u64 = 1;

/// The account whose requests crash servers.
const ATTACKER: &[u8] = b"attacker";

fn lookup_of(caller: &[u8]) -> u64 {
    request_fingerprint(caller, "example.com", "GET", "/popular", b"")
}

fn lookup() -> u64 {
    lookup_of(ATTACKER)
}

fn crash(number: u64, requests: Vec<SuspectRequest>) -> CrashReport {
    CrashReport {
        server_start: number,
        requests,
        service: 1,
    }
}

/// Crashes servers by content that differs from that of others of the same account in a header only;
/// `complete` is called between two crashes. Returns whether the content is refused to the account.
fn is_content_refused(complete: impl Fn(&mut Quarantine, u64)) -> bool {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let now_ms = NOW_MS + number * STEP_MS;
        let sent = SuspectRequest::new(lookup(), []);
        quarantine.record_crash(&crash(number, vec![sent]), now_ms);
        complete(&mut quarantine, now_ms + 1);
    }
    let sent = SuspectRequest::new(lookup(), []);
    quarantine.left_ms(&sent, NOW_MS + 6 * STEP_MS).is_some()
}

/// Guards against a request that crashes servers and is never refused, because equal content of another account
/// completes between the crashes.
#[test]
fn content_that_crashes_servers_is_refused_although_it_completes_for_another_account() {
    let sound = SuspectRequest::new(lookup_of(b"sound"), []);
    assert!(is_content_refused(|quarantine, now_ms| {
        quarantine.record_completion(&sound, now_ms);
        assert!(quarantine.left_ms(&sound, now_ms).is_none());
    }));
}

/// Guards other accounts against the refusal of their equal content.
#[test]
fn content_that_crashes_servers_for_one_account_is_not_refused_to_another() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let sent = SuspectRequest::new(lookup(), []);
        quarantine.record_crash(&crash(number, vec![sent]), NOW_MS + number * STEP_MS);
    }
    let left_ms = |caller| {
        let sent = SuspectRequest::new(lookup_of(caller), []);
        quarantine.left_ms(&sent, NOW_MS + 3 * STEP_MS)
    };
    assert!(left_ms(ATTACKER).is_some());
    assert!(left_ms(b"sound").is_none());
}

/// Guards other clients of the account whose equal content completes, here or at another process, while one client
/// crashes servers.
#[test]
fn content_that_completes_for_other_clients_is_not_refused_because_one_client_crashes_servers() {
    let sent = SuspectRequest::new(lookup(), []);
    assert!(!is_content_refused(|quarantine, now_ms| {
        quarantine.record_completion(&sent, now_ms);
    }));
    assert!(!is_content_refused(|quarantine, now_ms| {
        let mut other = Quarantine::default();
        other.record_completion(&sent, now_ms);
        let notice = other.completion_notice(lookup(), now_ms + 1);
        quarantine.apply_completion(notice.expect("it has completed"), now_ms + 1);
    }));
}

/// The harm that remains: the fingerprint has no header but the account.
#[test]
fn content_that_completes_for_nobody_between_crashes_is_refused_to_all_clients_of_the_account() {
    assert!(is_content_refused(|_, _| {}));
}

/// Guards a client whose part others name beside what crashes servers.
#[test]
fn part_that_completed_is_not_refused_because_a_client_names_it_beside_one_that_crashes_servers() {
    const BAD_PART: u64 = 2;
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&SuspectRequest::new(10, [SHARED_PART]), NOW_MS - 1);
    for number in 0..6 {
        let bad = SuspectRequest::new(100 + number, [SHARED_PART, BAD_PART]);
        quarantine.record_crash(&crash(number, vec![bad]), NOW_MS + number * STEP_MS);
    }
    let left_ms = |part| quarantine.left_ms(&SuspectRequest::new(11, [part]), NOW_MS + 13_000);
    assert!(left_ms(SHARED_PART).is_none());
    assert!(left_ms(BAD_PART).is_some());
}

/// The harm that remains: a client whose requests crash servers for another reason names the part alone.
#[test]
fn part_that_completes_for_nobody_between_crashes_is_refused_to_all_clients() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&SuspectRequest::new(10, [SHARED_PART]), NOW_MS - 1);
    for number in 0..3 {
        let bad = SuspectRequest::new(100 + number, [SHARED_PART]);
        quarantine.record_crash(&crash(number, vec![bad]), NOW_MS + number * STEP_MS);
    }
    let sound = SuspectRequest::new(11, [SHARED_PART]);
    assert!(quarantine.left_ms(&sound, NOW_MS + 3 * STEP_MS).is_some());
}
