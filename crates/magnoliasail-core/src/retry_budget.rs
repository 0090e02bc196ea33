//! A budget that keeps retries a bounded share of first attempts.
//!
//! ```
//! use magnoliasail_core::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.1, 1.0);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// Credit that first attempts earn and retries spend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    cap: f64,
    credit: f64,
}

impl RetryBudget {
    /// Creates a budget in which each first attempt earns `share` of a retry, up to `cap` retries.
    #[must_use]
    pub const fn new(share: f64, cap: f64) -> Self {
        Self {
            share,
            cap,
            credit: cap,
        }
    }

    /// Earns credit for one first attempt.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + self.share).min(self.cap);
    }

    /// Spends the credit for one retry, or returns false.
    pub fn withdraw(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
