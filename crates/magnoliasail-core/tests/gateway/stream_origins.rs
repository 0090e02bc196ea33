//! Which software versions may go on with a stream that its caller resumes.

use {
    magnoliasail_core::gateway::{
        OriginEvidence, OriginRecord, OriginVerdict, RequestMetadata, StreamOrigins,
        VersionConstraint, VersionHistory,
        message::{ListedVersion, OriginAnswer, ServiceVersions, StreamOrigin},
        pick_witnesses,
    },
    std::{net::IpAddr, sync::Arc},
};

const NOW_MS: u64 = 100_000;

fn origin(key: u64, version: &str) -> StreamOrigin {
    StreamOrigin {
        key,
        software_version: Some(version.to_owned()),
    }
}

fn known_version(origins: &StreamOrigins, key: u64, now_ms: u64) -> Option<String> {
    let version = origins.get(key, now_ms)?.software_version?;
    Some(version.as_ref().to_owned())
}

fn record(version: &str, is_forwarded: bool, age_ms: u64) -> OriginRecord {
    OriginRecord {
        software_version: Some(version.into()),
        is_forwarded,
        age_ms,
    }
}

fn verdict(records: &[OriginRecord]) -> OriginVerdict {
    let mut evidence = OriginEvidence::default();
    for record in records {
        evidence.add(record.clone());
    }
    evidence.verdict()
}

fn known(version: &str) -> OriginVerdict {
    OriginVerdict::Known(only(version))
}

fn listed(version: &str, age_ms: u64) -> ListedVersion {
    ListedVersion {
        software_version: Some(version.to_owned()),
        age_ms,
    }
}

fn only(version: &str) -> VersionConstraint {
    VersionConstraint::Only(Some(version.into()))
}

#[test]
fn origin_is_kept_for_its_retention_time() {
    let mut origins = StreamOrigins::default();
    origins.record(&origin(1, "v1"), NOW_MS);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert_eq!(
        known_version(&origins, 1, end_ms - 1),
        Some("v1".to_owned())
    );
    assert_eq!(known_version(&origins, 1, end_ms), None);
    assert_eq!(known_version(&origins, 2, NOW_MS), None);
}

#[test]
fn origin_that_is_recorded_again_is_replaced_and_kept_longer() {
    let mut origins = StreamOrigins::default();
    origins.record(&origin(1, "v1"), NOW_MS);
    origins.record(&origin(1, "v2"), NOW_MS + 1_000);
    origins.record(&origin(2, "v1"), NOW_MS + StreamOrigins::RETENTION_MS);
    let later_ms = NOW_MS + StreamOrigins::RETENTION_MS + 500;
    assert_eq!(known_version(&origins, 1, later_ms), Some("v2".to_owned()));
}

#[test]
fn oldest_origin_is_dropped_when_the_capacity_is_reached() {
    let mut origins = StreamOrigins::default();
    for key in 0..=StreamOrigins::CAPACITY as u64 {
        origins.record(&origin(key, "v1"), NOW_MS);
    }
    assert_eq!(known_version(&origins, 0, NOW_MS), None);
    assert_eq!(known_version(&origins, 1, NOW_MS), Some("v1".to_owned()));
}

#[test]
fn resumed_stream_may_run_only_at_the_version_that_began_it() {
    let constraint = VersionConstraint::from(&origin(1, "v1"));
    assert!(constraint.allows(Some("v1")));
    assert!(!constraint.allows(Some("v2")));
    assert!(!constraint.allows(None));
    assert!(VersionConstraint::Any.allows(Some("v2")));
    assert!(VersionConstraint::Only(None).allows(None));
}

#[test]
fn attempts_of_one_stream_have_the_same_key() {
    let first = RequestMetadata {
        id: Some("first".into()),
        ..RequestMetadata::default()
    };
    let resumed = RequestMetadata {
        id: Some("second".into()),
        resumes: Some("first".into()),
        ..RequestMetadata::default()
    };
    assert_eq!(first.stream_key(), resumed.stream_key());
    assert_eq!(RequestMetadata::default().stream_key(), None);
}

#[test]
fn version_that_left_recently_still_counts() {
    let service: Arc<str> = "s".into();
    let (old, new): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let mut history = VersionHistory::default();
    assert_eq!(history.only_version("s", NOW_MS), None);
    history.record(&service, Some(&old), NOW_MS);
    assert_eq!(history.only_version("s", NOW_MS), Some(only("v1")));
    let later_ms = NOW_MS + 1_000;
    history.record(&service, Some(&new), later_ms);
    assert_eq!(history.only_version("s", later_ms), None);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert_eq!(history.only_version("s", end_ms), Some(only("v2")));
}

#[test]
fn versions_of_a_service_are_known_from_its_first_row_on() {
    let service: Arc<str> = "s".into();
    let mut history = VersionHistory::default();
    history.record(&service, None, NOW_MS);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert_eq!(
        history.known_for_ms("s", end_ms),
        StreamOrigins::RETENTION_MS
    );
    assert_eq!(history.known_for_ms("other", end_ms), 0);
}

#[test]
fn forwarded_event_counts_more_than_one_that_was_only_made_whatever_comes_first() {
    let mut origins = StreamOrigins::default();
    origins.record(&origin(1, "v1"), NOW_MS);
    origins.record_begun(&origin(1, "v2"), NOW_MS + 10);
    assert_eq!(
        known_version(&origins, 1, NOW_MS + 10),
        Some("v1".to_owned())
    );
    origins.record_begun(&origin(2, "v2"), NOW_MS);
    origins.record(&origin(2, "v1"), NOW_MS + 10);
    assert_eq!(
        known_version(&origins, 2, NOW_MS + 10),
        Some("v1".to_owned())
    );

    let (made, forwarded) = (record("v2", false, 5), record("v1", true, 900));
    assert_eq!(verdict(&[made.clone(), forwarded.clone()]), known("v1"));
    assert_eq!(verdict(&[forwarded, made]), known("v1"));
}

#[test]
fn latest_of_several_forwarded_events_counts_in_any_order() {
    let (older, newer) = (record("v1", true, 40), record("v2", true, 10));
    assert_eq!(verdict(&[older.clone(), newer.clone()]), known("v2"));
    assert_eq!(verdict(&[newer, older]), known("v2"));
}

/// Either engine's event may have reached the caller, so that no version is safe.
#[test]
fn engines_of_two_versions_that_made_an_event_prove_nothing() {
    let (first, second) = (record("v1", false, 40), record("v2", false, 10));
    assert_eq!(
        verdict(&[first.clone(), second]),
        OriginVerdict::Conflicting
    );
    assert_eq!(verdict(&[first.clone(), first]), known("v1"));
    assert_eq!(verdict(&[]), OriginVerdict::Unknown);
}

#[test]
fn answer_carries_the_record_of_an_agent() {
    let known = record("v1", true, 30);
    assert_eq!(
        OriginAnswer::new(1, Some(known.clone()), Vec::new()).record(),
        Some(known)
    );
    assert_eq!(OriginAnswer::new(1, None, Vec::new()).record(), None);
}

/// A process that starts after the servers of the old version have left sees only the new version.
#[test]
fn restarted_process_learns_from_another_one_which_versions_left() {
    let service: Arc<str> = "s".into();
    let (old, new): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let mut agent = VersionHistory::new(true);
    agent.record(&service, Some(&old), NOW_MS);
    agent.record(&service, Some(&new), NOW_MS + 1_000);

    let restart_ms = NOW_MS + 5_000;
    let mut entry = VersionHistory::new(false);
    entry.record(&service, Some(&new), restart_ms);
    assert_eq!(entry.only_version("s", restart_ms), Some(only("v2")));
    assert_eq!(entry.known_for_ms("s", restart_ms), 0);
    for versions in agent.snapshot(restart_ms) {
        entry.add(&versions, restart_ms);
    }
    assert_eq!(entry.known_for_ms("s", restart_ms), u64::MAX);
    assert_eq!(entry.only_version("s", restart_ms), None);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert_eq!(entry.only_version("s", end_ms), Some(only("v2")));
}

#[test]
fn all_versions_are_known_from_the_first_start_on() {
    let service: Arc<str> = "s".into();
    let mut history = VersionHistory::new(true);
    history.record(&service, None, NOW_MS);
    assert_eq!(history.known_for_ms("s", NOW_MS), u64::MAX);
    assert_eq!(history.known_for_ms("other", NOW_MS), 0);
}

/// A process that has read the list anew has not seen the versions that came and left meanwhile.
#[test]
fn versions_are_known_only_since_changes_were_missed() {
    let service: Arc<str> = "s".into();
    let mut history = VersionHistory::new(true);
    history.record(&service, None, NOW_MS);
    history.record_gap(NOW_MS + 1_000);
    history.record(&"other".into(), None, NOW_MS + 1_500);
    assert_eq!(history.known_for_ms("s", NOW_MS + 3_000), 2_000);
    assert_eq!(history.known_for_ms("other", NOW_MS + 3_000), 1_500);
}

#[test]
fn time_for_which_versions_are_known_is_passed_on_and_grows() {
    let half_ms = StreamOrigins::RETENTION_MS / 2;
    let told = ServiceVersions {
        service: "s".to_owned(),
        versions: vec![listed("v1", 0)],
        known_for_ms: half_ms,
    };
    let mut history = VersionHistory::new(false);
    history.add(&told, NOW_MS);
    assert_eq!(history.known_for_ms("s", NOW_MS), half_ms);
    assert_eq!(history.known_for_ms("s", NOW_MS + half_ms), 2 * half_ms);
    let shorter = ServiceVersions {
        known_for_ms: 0,
        ..told
    };
    history.add(&shorter, NOW_MS + half_ms);
    assert_eq!(history.known_for_ms("s", NOW_MS + half_ms), 2 * half_ms);
}

/// A process that sends many versions cannot fill the memory, nor make one of them count as the only one.
#[test]
fn versions_that_do_not_fit_leave_the_history_unknown() {
    const COUNT: u64 = 10_000;
    let told = ServiceVersions {
        service: "s".to_owned(),
        versions: (0..COUNT)
            .map(|number| listed(&number.to_string(), 0))
            .collect(),
        known_for_ms: u64::MAX,
    };
    let mut history = VersionHistory::new(true);
    history.add(&told, NOW_MS);
    assert_eq!(history.known_for_ms("s", NOW_MS), 0);
    let kept = history
        .snapshot(NOW_MS)
        .iter()
        .map(|known| known.versions.len())
        .sum::<usize>();
    assert!(kept < COUNT as usize / 100, "{kept} versions are kept");
}

#[test]
fn a_few_agents_that_are_silent_or_have_just_started_do_not_keep_the_others_from_being_heard() {
    for (answers, asked, is_representative) in [
        (0, 0, false),
        (0, 8, false),
        (3, 8, false),
        (4, 8, true),
        (1, 1, true),
    ] {
        let mut evidence = OriginEvidence::default();
        for _ in 0..answers {
            evidence.add_answer(None, true);
        }
        for _ in answers..asked {
            evidence.add_answer(None, false);
        }
        assert_eq!(
            evidence.is_representative(asked),
            is_representative,
            "{answers} of {asked}"
        );
    }
}

#[test]
fn witnesses_of_a_stream_are_few_and_the_same_for_every_entry() {
    let agents: Vec<IpAddr> = (1..=200).map(|host| [10, 0, 0, host].into()).collect();
    let reversed = agents.iter().rev().copied().collect();
    let witnesses = pick_witnesses(7, agents.clone());
    assert_eq!(witnesses, pick_witnesses(7, reversed));
    assert_eq!(witnesses.len(), 8);
    assert_ne!(witnesses, pick_witnesses(8, agents));
}
