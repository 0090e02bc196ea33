//! Which software versions may go on with a stream that its caller resumes.

use {
    magnoliasail_core::gateway::{
        RequestMetadata, StreamOrigins, VersionConstraint, VersionHistory, message::StreamOrigin,
    },
    std::sync::Arc,
};

const NOW_MS: u64 = 100_000;

fn origin(key: u64, version: &str) -> StreamOrigin {
    StreamOrigin {
        key,
        software_version: Some(version.to_owned()),
    }
}

fn known_version(origins: &StreamOrigins, key: u64, now_ms: u64) -> Option<&str> {
    origins.get(key, now_ms)?.software_version.as_deref()
}

fn only(version: &str) -> VersionConstraint {
    VersionConstraint::Only(Some(version.into()))
}

#[test]
fn origin_is_kept_for_its_retention_time() {
    let mut origins = StreamOrigins::default();
    origins.record(origin(1, "v1"), NOW_MS);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert_eq!(known_version(&origins, 1, end_ms - 1), Some("v1"));
    assert_eq!(known_version(&origins, 1, end_ms), None);
    assert_eq!(known_version(&origins, 2, NOW_MS), None);
}

#[test]
fn origin_that_is_recorded_again_is_replaced_and_kept_longer() {
    let mut origins = StreamOrigins::default();
    origins.record(origin(1, "v1"), NOW_MS);
    origins.record(origin(1, "v2"), NOW_MS + 1_000);
    origins.record(origin(2, "v1"), NOW_MS + StreamOrigins::RETENTION_MS);
    let later_ms = NOW_MS + StreamOrigins::RETENTION_MS + 500;
    assert_eq!(known_version(&origins, 1, later_ms), Some("v2"));
}

#[test]
fn oldest_origin_is_dropped_when_the_capacity_is_reached() {
    let mut origins = StreamOrigins::default();
    for key in 0..=StreamOrigins::CAPACITY as u64 {
        origins.record(origin(key, "v1"), NOW_MS);
    }
    assert_eq!(known_version(&origins, 0, NOW_MS), None);
    assert_eq!(known_version(&origins, 1, NOW_MS), Some("v1"));
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
fn service_covers_resumable_streams_only_after_the_retention_time() {
    let service: Arc<str> = "s".into();
    let mut history = VersionHistory::default();
    history.record(&service, None, NOW_MS);
    let end_ms = NOW_MS + StreamOrigins::RETENTION_MS;
    assert!(!history.covers_resumable_streams("s", end_ms - 1));
    assert!(history.covers_resumable_streams("s", end_ms));
    assert!(!history.covers_resumable_streams("other", end_ms));
}
