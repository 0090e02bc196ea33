//! When the changes that a follower reads can have been written, and how pauses of the process show.

use magnoliasail_core::gateway::{ReadAges, RecentPauses};

/// The pause of a follower between two reads.
const BETWEEN_READS_MS: u64 = 500;
const TICK_MS: u64 = 250;
const MAX_TICK_GAP_MS: u64 = 350;
/// Within this time of the response a change counts as written, if nothing held it up.
const USUAL_MS: u64 = 300;

/// A follower whose process ticks, with the time of its clock.
struct Follower {
    ages: ReadAges,
    pauses: RecentPauses,
    now_ms: u64,
}

impl Follower {
    /// Creates a follower that has just read the list.
    fn new() -> Self {
        let mut follower = Self {
            ages: ReadAges::default(),
            pauses: RecentPauses::new(MAX_TICK_GAP_MS, 10_000),
            now_ms: 10_000,
        };
        assert_eq!(follower.read(false, |follower| follower.run(5)), None);
        follower
    }

    /// Lets the process run, with ticks.
    fn run(&mut self, time_ms: u64) {
        for _ in 0..time_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.pauses.observe(self.now_ms);
        }
        self.now_ms += time_ms % TICK_MS;
    }

    /// Lets the process stand still.
    fn stand_still(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
    }

    /// Makes a call whose response takes as long as `wait`, and returns the earliest time of its changes.
    fn read(&mut self, is_watch: bool, wait: impl FnOnce(&mut Self)) -> Option<u64> {
        self.ages.begin_call(is_watch, self.now_ms);
        wait(self);
        let began_ms = self.ages.call_began_ms();
        let running_until_ms = self.pauses.running_until_ms(began_ms, self.now_ms);
        let written_ms = self.ages.record_response(running_until_ms);
        self.ages.end_read();
        written_ms
    }
}

#[test]
fn change_that_ends_a_quiet_watch_is_new() {
    let mut follower = Follower::new();
    follower.run(BETWEEN_READS_MS);
    let written_ms = follower.read(true, |follower| follower.run(4_000));
    assert_eq!(written_ms, Some(follower.now_ms - USUAL_MS));
}

#[test]
fn change_that_is_read_at_once_may_be_as_old_as_the_read_before() {
    let mut follower = Follower::new();
    let read_ms = follower.now_ms;
    follower.run(BETWEEN_READS_MS);
    let written_ms = follower.read(true, |follower| follower.run(5));
    assert!(written_ms <= Some(read_ms), "{written_ms:?}");
    assert!(written_ms >= Some(read_ms - USUAL_MS), "{written_ms:?}");
}

/// The response was ready at the start of the pause, or at its end: the clock does not tell.
#[test]
fn change_that_is_read_after_a_pause_counts_from_its_beginning() {
    for has_tick_first in [false, true] {
        let mut follower = Follower::new();
        follower.run(BETWEEN_READS_MS);
        let mut stopped_ms = 0;
        let written_ms = follower.read(true, |follower| {
            follower.run(1_000);
            stopped_ms = follower.now_ms;
            follower.stand_still(4_000);
            if has_tick_first {
                follower.pauses.observe(follower.now_ms);
            }
        });
        assert!(written_ms <= Some(stopped_ms), "{written_ms:?}");
    }
}

#[test]
fn change_that_is_read_after_a_pause_between_reads_counts_from_the_read_before() {
    let mut follower = Follower::new();
    let read_ms = follower.now_ms;
    follower.stand_still(4_000);
    follower.run(BETWEEN_READS_MS);
    let written_ms = follower.read(true, |follower| follower.run(5));
    assert!(written_ms <= Some(read_ms), "{written_ms:?}");
}

/// What the read in which the process stood still does not show may have been written before its end.
#[test]
fn change_after_a_read_that_a_pause_held_up_counts_from_before_the_pause() {
    let mut follower = Follower::new();
    follower.run(BETWEEN_READS_MS);
    let mut stopped_ms = 0;
    follower.read(true, |follower| {
        follower.run(1_000);
        stopped_ms = follower.now_ms;
        follower.stand_still(4_000);
    });
    follower.run(BETWEEN_READS_MS);
    let written_ms = follower.read(true, |follower| follower.run(5));
    assert!(written_ms <= Some(stopped_ms), "{written_ms:?}");
    follower.run(BETWEEN_READS_MS);
    let written_ms = follower.read(true, |follower| follower.run(5));
    assert!(written_ms > Some(stopped_ms + 4_000), "{written_ms:?}");
}

/// A list that takes long is no watch that was held, and a new list may show what was written since the last read.
#[test]
fn changes_of_a_list_count_from_the_read_before() {
    let mut follower = Follower::new();
    let read_ms = follower.now_ms;
    follower.run(8_000);
    let written_ms = follower.read(false, |follower| follower.run(900));
    assert!(written_ms <= Some(read_ms), "{written_ms:?}");
}

/// A page shows what was written up to its own call only, whatever the later pages of the list took.
#[test]
fn list_of_several_pages_counts_as_read_at_its_first_page() {
    let mut ages = ReadAges::default();
    for began_ms in [1_000, 4_000] {
        ages.begin_call(false, began_ms);
        assert_eq!(ages.record_response(began_ms + 10), None);
    }
    ages.end_read();
    ages.begin_call(true, 4_600);
    assert_eq!(ages.record_response(4_610), Some(1_000));
}

#[test]
fn pause_counts_before_and_after_the_tick_that_ends_it() {
    let mut pauses = RecentPauses::new(MAX_TICK_GAP_MS, 1_000);
    assert_eq!(pauses.observe(1_250), None);
    assert_eq!(pauses.running_until_ms(1_000, 1_600), 1_600);
    assert_eq!(pauses.running_until_ms(1_000, 1_601), 1_250);
    assert_eq!(pauses.observe(5_000), Some(3_750));
    assert_eq!(pauses.running_until_ms(5_000, 5_010), 1_250);
    assert_eq!(pauses.running_until_ms(5_001, 5_010), 5_010);
}
