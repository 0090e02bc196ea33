//! At most one run of each non-idempotent job, without shared state.
//!
//! A job belongs to a home slot, chosen by rendezvous over the roster that governs the time inside
//! its key. Within the slot, incarnations of the agent share out keys by that time as well: the
//! spans of any two incarnations are disjoint, so no clock comparison, vote or replicated store
//! decides whether a key may run. `docs/decisions/0002-at-most-once.md` has the argument.
//!
//! ```
//! use magnoliasail_core::job::JobKey;
//!
//! let key = JobKey::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
//! assert_eq!(key.created_ms(), Some(1_688_096_058_518));
//! ```

mod key;
mod lease;
mod ledger;
mod roster_history;

pub use self::{
    key::{JobKey, KeySpan},
    lease::JobLease,
    ledger::{JobAnswer, JobLedger, JobState, LedgerLookup},
    roster_history::{ROSTER_ACTIVATION_DELAY_MS, RosterHistory},
};

/// Largest difference between the clock of a VM and that of the platform, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;
