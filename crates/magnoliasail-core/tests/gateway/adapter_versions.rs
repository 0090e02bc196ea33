//! Announced versions of adapters.

use magnoliasail_core::gateway::{AdapterVersion, AdapterVersions};

fn announcement(version: u64) -> AdapterVersion {
    AdapterVersion {
        model: "base".into(),
        adapter: "a".into(),
        version,
    }
}

/// An older copy of the store contains older announcements.
#[test]
fn an_older_or_equal_version_is_ignored() {
    let mut versions = AdapterVersions::default();
    assert!(versions.apply(&announcement(7)));
    for older in [6, 7] {
        assert!(!versions.apply(&announcement(older)));
        assert_eq!(versions.newest("base/a"), 7);
    }
    assert!(versions.apply(&announcement(8)));
}
