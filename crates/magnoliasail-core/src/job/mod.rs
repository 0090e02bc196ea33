//! At-most-once execution of non-idempotent jobs, without shared state.
//!
//! Each job has one owner slot, chosen by rendezvous hashing over the roster that governs the
//! creation time in its key. Within the slot, incarnations of the agent divide the keys by that
//! time as well: the spans of any two incarnations are disjoint. Whether a key may run is therefore
//! decided without a comparison of clocks, a vote or a replicated store.
//! `docs/decisions/0002-at-most-once.md` contains the argument.
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

/// Maximum difference between the clock of a VM and that of the platform, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;
