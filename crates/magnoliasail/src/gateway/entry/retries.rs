//! The retry budget of each service, of which the entry has a share.

use {
    super::state::EntryState,
    crate::gateway::metrics::RetryCause,
    magnoliasail_core::gateway::{RetryBudget, RetryWindow},
    std::sync::Arc,
};

impl EntryState {
    /// Counts a request towards the retry budget of its service.
    pub(super) fn count_request(&self, service: &Arc<str>) {
        self.with_retry_window(service, |window, now_ms| window.count_request(now_ms));
    }

    /// Takes one retry from this entry's share of a service's retry budget; returns whether there
    /// was one left.
    pub(super) fn try_retry(&self, service: &Arc<str>) -> bool {
        let entry_count = self.entry_count();
        let is_granted = self.with_retry_window(service, |window, now_ms| {
            window.try_retry(entry_count, now_ms)
        });
        if !is_granted {
            self.metrics.count_retry(RetryCause::BudgetSpent);
        }
        is_granted
    }

    /// Returns a retry to the budget because it was not sent to any server.
    pub(super) fn refund_retry(&self, service: &Arc<str>) {
        self.with_retry_window(service, RetryWindow::refund);
    }

    fn with_retry_window<T>(
        &self,
        service: &Arc<str>,
        operation: impl FnOnce(&mut RetryWindow, u64) -> T,
    ) -> T {
        let settings = &self.settings;
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(Arc::clone(service)).or_insert_with(|| {
            let budget = RetryBudget {
                ratio: settings.retry_ratio,
                floor: settings.min_retries,
                window_ms: settings.retry_window_ms,
            };
            RetryWindow::new(budget, self.started_ms)
        });
        operation(window, self.clock.now_ms())
    }
}
