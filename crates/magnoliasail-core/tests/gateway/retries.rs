//! Retry budgets over all entries and over any window.

use {
    arbtest::arbtest,
    magnoliasail_core::gateway::{RetryBudget, RetryWindow},
};

const RATIO: f64 = 0.2;
const FLOOR: f64 = 58.0;
const WINDOW_MS: u64 = 10_000;
const BUDGET: RetryBudget = RetryBudget {
    ratio: RATIO,
    floor: FLOOR,
    window_ms: WINDOW_MS,
};
const SMALL_BUDGET: RetryBudget = RetryBudget {
    floor: 10.0,
    ..BUDGET
};
/// When the entries that are not restarted have started.
const STARTED_MS: u64 = 60_000 - WINDOW_MS;

#[test]
fn all_entries_together_stay_within_the_budget_in_any_window() {
    arbtest(|source| {
        let entries = source.int_in_range(1..=8_u32)?;
        let mut windows: Vec<RetryWindow> = (0..entries)
            .map(|_| RetryWindow::new(BUDGET, STARTED_MS))
            .collect();
        let mut events: Vec<(u64, bool)> = Vec::new();
        let mut now_ms = 60_000;
        while events.len() < 2_000 && !source.is_empty() {
            now_ms += source.int_in_range(0..=40_u64)?;
            let entry = source.choose_index(windows.len())?;
            windows[entry].count_request(now_ms);
            events.push((now_ms, false));
            if source.ratio(2, 3)? && windows[entry].try_retry(entries, now_ms) {
                events.push((now_ms, true));
            }
        }
        for (index, &(end_ms, _)) in events.iter().enumerate() {
            let inside = events[..=index]
                .iter()
                .filter(|(at_ms, _)| at_ms + WINDOW_MS >= end_ms);
            let retries = inside.clone().filter(|(_, is_retry)| *is_retry).count() as f64;
            let requests = inside.filter(|(_, is_retry)| !is_retry).count() as f64;
            assert!(
                retries <= RATIO * requests + FLOOR,
                "{retries} of {requests}"
            );
        }
        Ok(())
    });
}

#[test]
fn retries_stay_within_the_budget_when_every_request_fails() {
    let mut window = RetryWindow::new(BUDGET, STARTED_MS);
    let mut retries = 0;
    for request in 0..1_000_u64 {
        let now_ms = 60_000 + request * 10;
        window.count_request(now_ms);
        retries += u32::from(window.try_retry(6, now_ms));
    }
    assert!(
        f64::from(retries) <= RATIO * 1_000.0 + FLOOR / 6.0,
        "{retries}"
    );
}

#[test]
fn returned_retry_can_be_spent_again() {
    let mut window = RetryWindow::new(SMALL_BUDGET, STARTED_MS);
    let now_ms = 60_000;
    while window.try_retry(1, now_ms) {}
    window.refund(now_ms + 600);
    assert!(window.try_retry(1, now_ms + 600));
    assert!(!window.try_retry(1, now_ms + 600));
}

#[test]
fn more_returned_than_spent_retries_add_nothing_to_the_budget() {
    let mut window = RetryWindow::new(SMALL_BUDGET, STARTED_MS);
    let now_ms = 60_000;
    window.refund(now_ms);
    let spent = (0..).take_while(|_| window.try_retry(1, now_ms)).count();
    assert_eq!(spent, 7);
}

/// Entries restart once in a window, and every request fails, so that each entry spends what it can.
#[test]
fn restarted_entries_stay_within_the_budget_in_any_window() {
    arbtest(|source| {
        const ENTRIES: u32 = 4;
        let new_window = |started_ms| RetryWindow::new(BUDGET, started_ms);
        let mut windows = vec![new_window(STARTED_MS); ENTRIES as usize];
        let mut restarted_ms = [STARTED_MS; ENTRIES as usize];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 60_000;
        while requests.len() < 2_000 && !source.is_empty() {
            now_ms += source.int_in_range(0..=60_u64)?;
            let entry = source.choose_index(windows.len())?;
            if source.ratio(1, 30)? && now_ms >= restarted_ms[entry] + WINDOW_MS {
                windows[entry] = new_window(now_ms);
                restarted_ms[entry] = now_ms;
            }
            windows[entry].count_request(now_ms);
            requests.push(now_ms);
            if windows[entry].try_retry(ENTRIES, now_ms) {
                retries.push(now_ms);
            }
        }
        let count = |times: &[u64], end_ms: u64| {
            let inside = |&&at_ms: &&u64| at_ms <= end_ms && at_ms + WINDOW_MS > end_ms;
            times.iter().filter(inside).count() as f64
        };
        for &end_ms in &retries {
            let (requests, retries) = (count(&requests, end_ms), count(&retries, end_ms));
            assert!(
                retries <= RATIO * requests + FLOOR,
                "{retries} of {requests}"
            );
        }
        Ok(())
    });
}

/// An entry that was restarted just after it had spent its share must not spend it again.
#[test]
fn restarted_entry_does_not_spend_its_share_of_the_floor_twice() {
    let spend = |started_ms, from_ms: u64| {
        let mut window = RetryWindow::new(BUDGET, started_ms);
        let grants = (from_ms..from_ms + WINDOW_MS / 2).step_by(10);
        grants.filter(|&now_ms| window.try_retry(1, now_ms)).count()
    };
    let restarted_ms = 60_000 + WINDOW_MS / 2;
    let before = spend(STARTED_MS, 60_000);
    let after = spend(restarted_ms, restarted_ms);
    assert!((before + after) as f64 <= FLOOR, "{before} and {after}");
    assert!(before > 0 && after > 0);
}
