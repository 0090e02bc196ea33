//! Detection of an engine that is down, from missing reports.

use magnoliasail_core::gateway::{EngineWatch, MissingReport};

#[test]
fn two_unanswered_requests_in_a_row_mark_the_engine_down_until_it_reports() {
    let mut watch = EngineWatch::default();
    assert!(!watch.record_missing(MissingReport::Unanswered));
    assert!(watch.record_missing(MissingReport::Unanswered));
    assert!(
        !watch.record_missing(MissingReport::Unanswered),
        "the change is reported only once"
    );
    assert!(watch.record_report());
    assert!(!watch.record_report());
}

#[test]
fn requests_that_were_not_sent_do_not_count() {
    let mut watch = EngineWatch::default();
    for _ in 0..10 {
        assert!(!watch.record_missing(MissingReport::NotSent));
    }
    assert!(!watch.record_missing(MissingReport::Unanswered));
    assert!(!watch.record_missing(MissingReport::NotSent));
    assert!(watch.record_missing(MissingReport::Unanswered));
}

#[test]
fn an_engine_that_asks_for_a_pause_instead_of_reporting_is_not_down() {
    let mut watch = EngineWatch::default();
    for _ in 0..10 {
        assert!(!watch.record_missing(MissingReport::Paused));
    }
    assert!(!watch.record_report());
}

#[test]
fn a_report_resets_the_count_of_unanswered_requests() {
    let mut watch = EngineWatch::default();
    for _ in 0..10 {
        assert!(!watch.record_missing(MissingReport::Unanswered));
        assert!(!watch.record_report());
    }
}
