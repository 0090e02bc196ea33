//! Following the platform's store while it is restored from older copies of itself.

use {
    crate::fake_store::{Answer, FakeStore, Write, for_each_seed},
    arbtest::arbitrary::{Result, Unstructured},
    magnoliasail_core::gateway::{
        AnswerEra, AnswerUse, DiscardReason, Freshness, StoreFollow, StoreRead,
    },
    std::collections::BTreeMap,
};

/// Applies a page with writes of the keys `a`, `b` and so on, and returns the missing keys.
fn apply(
    follow: &mut StoreFollow,
    revision: u64,
    writes: &[(&str, u64)],
    has_more: bool,
) -> Vec<String> {
    follow.begin_page(revision);
    for (key, written) in writes {
        follow.record(key, *written, false);
    }
    follow.end_page(revision, has_more)
}

/// Returns a follower that watches era 1 from revision 100, with the key `a` of revision 90.
fn watching() -> StoreFollow {
    let mut follow = StoreFollow::default();
    assert_eq!(follow.judge(AnswerEra::Named(1)), AnswerUse::Apply);
    assert!(apply(&mut follow, 100, &[("a", 90)], false).is_empty());
    assert_eq!(follow.next_read(), StoreRead::Watch { revision: 100 });
    follow
}

const FIRST_PAGE: StoreRead = StoreRead::List { after: None };

#[test]
fn a_watch_answered_in_a_new_era_is_not_used_although_its_revision_exists_again() {
    let mut follow = watching();
    assert_eq!(follow.judge(AnswerEra::Named(2)), AnswerUse::ListAfresh);
    assert_eq!(follow.next_read(), FIRST_PAGE);
}

#[test]
fn a_response_of_an_earlier_era_is_discarded() {
    let mut follow = watching();
    follow.judge(AnswerEra::Named(2));
    let discarded = AnswerUse::Discard(DiscardReason::EarlierEra);
    assert_eq!(follow.judge(AnswerEra::Named(1)), discarded);
    assert_eq!(follow.next_read(), FIRST_PAGE);
    assert_eq!(follow.judge(AnswerEra::Named(2)), AnswerUse::Apply);
}

#[test]
fn a_list_starts_again_if_a_later_page_is_of_another_era() {
    let mut follow = StoreFollow::default();
    follow.judge(AnswerEra::Named(1));
    apply(&mut follow, 100, &[("a", 90), ("b", 91)], true);
    let second_page = StoreRead::List {
        after: Some("b".to_owned()),
    };
    assert_eq!(follow.next_read(), second_page);
    assert_eq!(follow.judge(AnswerEra::Named(2)), AnswerUse::ListAfresh);
    assert_eq!(follow.next_read(), FIRST_PAGE);
    assert_eq!(follow.judge(AnswerEra::Named(2)), AnswerUse::Apply);
    let missing = apply(&mut follow, 60, &[("a", 50)], false);
    assert_eq!(missing, ["b"]);
    assert_eq!(follow.next_read(), StoreRead::Watch { revision: 60 });
}

#[test]
fn revisions_of_an_earlier_era_do_not_suppress_changes() {
    let mut follow = watching();
    follow.judge(AnswerEra::Named(2));
    follow.begin_page(60);
    assert_eq!(follow.record("a", 50, false), Some(Freshness::Restored));
    assert!(follow.end_page(60, false).is_empty());
    follow.begin_page(61);
    assert_eq!(follow.record("a", 61, false), Some(Freshness::Written));
    assert_eq!(follow.record("a", 61, false), None);
}

#[test]
fn two_rollbacks_in_a_row_leave_the_newest_era_in_force() {
    let mut follow = watching();
    follow.judge(AnswerEra::Named(2));
    apply(&mut follow, 60, &[("a", 50)], false);
    assert_eq!(follow.judge(AnswerEra::Named(4)), AnswerUse::ListAfresh);
    follow.begin_page(95);
    // The second copy may be of the first era.
    assert_eq!(follow.record("a", 95, false), Some(Freshness::Restored));
    assert!(follow.end_page(95, false).is_empty());
    assert_eq!(
        follow.judge(AnswerEra::Named(3)),
        AnswerUse::Discard(DiscardReason::EarlierEra)
    );
    assert_eq!(follow.next_read(), StoreRead::Watch { revision: 95 });
}

#[test]
fn a_write_beyond_the_highest_known_revision_is_news_also_in_a_restored_list() {
    let mut follow = watching();
    follow.judge(AnswerEra::Named(2));
    follow.begin_page(130);
    assert_eq!(follow.record("a", 101, false), Some(Freshness::Written));
    assert_eq!(follow.record("b", 100, false), Some(Freshness::Restored));
}

#[test]
fn an_interrupted_list_of_a_new_era_continues_to_be_of_a_copy() {
    let mut follow = watching();
    follow.judge(AnswerEra::Named(2));
    apply(&mut follow, 60, &[("b", 40)], true);
    follow.list_afresh();
    follow.judge(AnswerEra::Named(2));
    follow.begin_page(70);
    assert_eq!(follow.record("c", 55, false), Some(Freshness::Restored));
    assert_eq!(follow.record("d", 65, false), Some(Freshness::Written));
}

#[test]
fn a_store_that_does_not_number_its_eras_is_followed_in_one_era() {
    let mut follow = StoreFollow::default();
    assert_eq!(follow.judge(AnswerEra::Unnamed), AnswerUse::Apply);
    apply(&mut follow, 100, &[("a", 90)], false);
    assert_eq!(follow.judge(AnswerEra::Unnamed), AnswerUse::Apply);
    follow.begin_page(110);
    assert_eq!(follow.record("a", 105, false), Some(Freshness::Written));
    assert_eq!(follow.judge(AnswerEra::Named(7)), AnswerUse::ListAfresh);
}

#[test]
fn a_response_without_a_readable_era_is_discarded_once_eras_are_known() {
    let mut follow = watching();
    assert_eq!(
        follow.judge(AnswerEra::Unnamed),
        AnswerUse::Discard(DiscardReason::EraMissing)
    );
    assert_eq!(
        follow.judge(AnswerEra::Unreadable),
        AnswerUse::Discard(DiscardReason::EraUnreadable)
    );
    assert_eq!(follow.next_read(), StoreRead::Watch { revision: 100 });
}

#[test]
fn a_list_ends_at_an_empty_page_that_announces_more() {
    let mut follow = StoreFollow::default();
    apply(&mut follow, 100, &[("a", 90)], true);
    assert!(apply(&mut follow, 100, &[], true).is_empty());
    assert_eq!(follow.next_read(), StoreRead::Watch { revision: 100 });
}

/// A follower with what it believes of the store.
#[derive(Debug, Default)]
struct Reader {
    follow: StoreFollow,
    contents: BTreeMap<String, u64>,
    newest_era: u64,
}

impl Reader {
    fn read(&mut self, answer: &Answer) {
        let answer_use = self.follow.judge(AnswerEra::Named(answer.era));
        if answer.era < self.newest_era {
            let discarded = AnswerUse::Discard(DiscardReason::EarlierEra);
            assert_eq!(answer_use, discarded, "an earlier era is never believed");
        }
        self.newest_era = self.newest_era.max(answer.era);
        match (answer_use, &answer.writes) {
            (AnswerUse::Apply, Some(writes)) => self.apply(writes, answer),
            (AnswerUse::Apply, None) => self.follow.list_afresh(),
            (AnswerUse::ListAfresh | AnswerUse::Discard(_), _) => {}
        }
    }

    fn apply(&mut self, writes: &[Write], answer: &Answer) {
        self.follow.begin_page(answer.revision);
        for write in writes {
            let is_removed = write.content.is_none();
            let freshness = self.follow.record(&write.key, write.revision, is_removed);
            if freshness.is_none() {
                continue;
            }
            match write.content {
                Some(content) => self.contents.insert(write.key.clone(), content),
                None => self.contents.remove(&write.key),
            };
        }
        for key in self.follow.end_page(answer.revision, answer.has_more) {
            self.contents.remove(&key);
        }
    }
}

/// Whatever is lost, late or rolled back: no earlier era is believed, and once the store is calm,
/// the reader knows exactly what the store has.
#[test]
fn a_reader_ends_up_with_the_content_of_the_store_after_any_history() {
    for_each_seed(|source| {
        let mut store = FakeStore::default();
        let mut reader = Reader::default();
        // States of the store that a late response may still show.
        let mut earlier_stores = Vec::new();
        while !source.is_empty() {
            change_store(source, &mut store, &mut earlier_stores)?;
            let read = reader.follow.next_read();
            match source.int_in_range(0..=5_u8)? {
                // The response is lost.
                0 => {}
                // The response is of an earlier era.
                1 => {
                    if let Some(earlier) = earlier_stores.last() {
                        let earlier: &FakeStore = earlier;
                        reader.read(&earlier.answer(&read));
                    }
                }
                _ => reader.read(&store.answer(&read)),
            }
        }
        let calm_reads = 10 + store.writes.len();
        for _ in 0..calm_reads {
            let read = reader.follow.next_read();
            reader.read(&store.answer(&read));
        }
        assert_eq!(reader.contents, store.contents());
        Ok(())
    });
}

fn change_store(
    source: &mut Unstructured<'_>,
    store: &mut FakeStore,
    earlier_stores: &mut Vec<FakeStore>,
) -> Result<()> {
    match source.int_in_range(0..=9_u8)? {
        0 | 1 => {
            earlier_stores.push(store.clone());
            store.roll_back(source.int_in_range(0..=6)?);
        }
        2 => store.compacted_revision = store.revision(),
        3 => {}
        _ => {
            let key = source.int_in_range(0..=6)?;
            store.write(key, source.ratio(1, 4)?);
        }
    }
    Ok(())
}

/// A write that is news is never taken for one of a copy, once the list of the era is complete, and
/// what a copy contains is never taken for news.
#[test]
fn writes_of_a_copy_are_told_from_writes_since() {
    for_each_seed(|source| {
        let mut store = FakeStore::default();
        let mut follow = StoreFollow::default();
        while !source.is_empty() {
            let known = store.writes.clone();
            change_store(source, &mut store, &mut Vec::new())?;
            let is_rollback = follow.judge(AnswerEra::Named(store.era)) == AnswerUse::ListAfresh;
            loop {
                let read = follow.next_read();
                let answer = store.answer(&read);
                let Some(writes) = answer.writes else {
                    follow.list_afresh();
                    continue;
                };
                follow.begin_page(answer.revision);
                for write in &writes {
                    let freshness =
                        follow.record(&write.key, write.revision, write.content.is_none());
                    let is_known = known.iter().any(|known| known.content == write.content);
                    if is_rollback && is_known && write.content.is_some() {
                        assert_eq!(freshness, Some(Freshness::Restored));
                    } else if freshness.is_some() {
                        assert_eq!(freshness, Some(Freshness::Written));
                    }
                }
                follow.end_page(answer.revision, answer.has_more);
                if matches!(follow.next_read(), StoreRead::Watch { .. }) {
                    break;
                }
            }
        }
        Ok(())
    });
}
