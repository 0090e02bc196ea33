//! A budget that limits retries to a fraction of first attempts.
//!
//! ```
//! use magnoliasail_core::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.1, 1.0);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// A budget of retries: first attempts add credit, retries spend it.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    cap: f64,
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget of `cap` retries, to which each first attempt adds `share` of a retry.
    #[must_use]
    pub const fn new(share: f64, cap: f64) -> Self {
        Self {
            share,
            cap,
            credit: cap,
        }
    }

    /// Adds the credit of one first attempt, up to the cap.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + self.share).min(self.cap);
    }

    /// Spends the credit of one retry; returns `false` if there is not enough.
    pub fn withdraw(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
