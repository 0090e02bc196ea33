//! A randomized soak: real processes on one machine, faults from outside them, promises checked.
//!
//! [`Fleet`] starts entries and agents as separate processes beside stand-ins of the platform's
//! store, of model engines and of plain servers, each link and each path to the store through a
//! [`Proxy`]. [`Soak`] drives callers and a seeded schedule of faults, and [`Ledger`] holds what
//! callers and servers saw, which is all that a verdict rests on.

mod caller;
mod fleet;
mod ledger;
mod proxy;
mod soak;
mod standin;

pub use self::{
    caller::{Call, CallKind, Caller, Outcome},
    fleet::{Fleet, FleetSettings},
    ledger::{Ledger, RunRecord, Violation},
    proxy::{Proxy, ProxyMode},
    soak::{Soak, SoakReport, SoakSettings},
    standin::{BackendServer, ServerFaults, ServerKind, Store, StoreMode},
};
