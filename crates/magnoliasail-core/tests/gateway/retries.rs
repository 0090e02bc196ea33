//! Retry budgets over all entries and over any window.

use {arbtest::arbtest, magnoliasail_core::gateway::RetryWindow};

const RATIO: f64 = 0.2;
const FLOOR: f64 = 58.0;
const WINDOW_MS: u64 = 10_000;

#[test]
fn all_entries_together_stay_within_the_budget_in_any_window() {
    arbtest(|source| {
        let entries = source.int_in_range(1..=8_u32)?;
        let mut windows: Vec<RetryWindow> = (0..entries)
            .map(|_| RetryWindow::new(RATIO, FLOOR, WINDOW_MS))
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
    let mut window = RetryWindow::new(RATIO, FLOOR, WINDOW_MS);
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
    let mut window = RetryWindow::new(RATIO, 10.0, WINDOW_MS);
    let now_ms = 60_000;
    while window.try_retry(1, now_ms) {}
    window.refund(now_ms + 600);
    assert!(window.try_retry(1, now_ms + 600));
    assert!(!window.try_retry(1, now_ms + 600));
}

#[test]
fn more_returned_than_spent_retries_add_nothing_to_the_budget() {
    let mut window = RetryWindow::new(RATIO, 10.0, WINDOW_MS);
    let now_ms = 60_000;
    window.refund(now_ms);
    let spent = (0..).take_while(|_| window.try_retry(1, now_ms)).count();
    assert_eq!(spent, 7);
}
