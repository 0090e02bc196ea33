//! Which missing reports say that an engine is down.

use magnoliasail_core::gateway::{EngineWatch, MissingReport};

#[test]
fn an_engine_that_leaves_reports_unanswered_is_down_until_it_answers() {
    let mut watch = EngineWatch::default();
    assert!(!watch.record_missing(MissingReport::Unanswered));
    assert!(watch.record_missing(MissingReport::Unanswered));
    assert!(
        !watch.record_missing(MissingReport::Unanswered),
        "it is told once"
    );
    assert!(watch.record_report());
    assert!(!watch.record_report());
}

#[test]
fn a_report_that_was_not_asked_for_says_nothing_of_the_engine() {
    let mut watch = EngineWatch::default();
    for _ in 0..10 {
        assert!(!watch.record_missing(MissingReport::NotSent));
    }
    assert!(!watch.record_missing(MissingReport::Unanswered));
    assert!(!watch.record_missing(MissingReport::NotSent));
    assert!(watch.record_missing(MissingReport::Unanswered));
}

#[test]
fn one_lost_answer_is_forgotten_with_the_next_report() {
    let mut watch = EngineWatch::default();
    for _ in 0..10 {
        assert!(!watch.record_missing(MissingReport::Unanswered));
        assert!(!watch.record_report());
    }
}
