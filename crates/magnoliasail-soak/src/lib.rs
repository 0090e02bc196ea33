//! Randomized soak of real processes on one machine, with fault injection from outside them.
//!
//! [`Fleet`] starts entries and agents as separate processes, together with stand-ins for the
//! platform's store, for model engines and for plain servers. Each path from an entry to an agent
//! and from a process to the store runs through a [`Proxy`]. [`Soak`] drives callers and a seeded
//! schedule of faults. [`Ledger`] records what callers and backend servers observed; the guarantees
//! are checked against these records alone, never against the state of the processes under test.

mod account_callers;
mod announcements;
mod caller;
mod client_account;
mod connection;
mod fleet;
mod held_links;
mod ledger;
mod poison_callers;
mod proxy;
mod soak;
mod software_faults;
mod standin;
mod version_faults;
mod version_runs;

pub use self::{
    caller::{Call, CallKind, Caller, Outcome, Resumption},
    client_account::{ClientAccount, QUOTA_WINDOW},
    connection::{Connection, lookup},
    fleet::{Fleet, FleetSettings, PROPAGATION_TIME, RETRY_WINDOW},
    ledger::{Ledger, RetryBudget, RunRecord, Violation},
    proxy::{Proxy, ProxyMode},
    soak::{Soak, SoakReport, SoakSettings},
    standin::{
        BackendServer, DEFAULT_HISTORY, EarlyEnd, EndlessAnswer, EraHeader, Poison, RawAnswer,
        ServerFaults, ServerKind, Store, StoreMode,
    },
};
