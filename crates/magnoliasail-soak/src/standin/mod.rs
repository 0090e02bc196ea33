//! Stand-ins of the platform's store and of backend servers, spoken to by the platform's protocol.

mod runner;
mod store;

pub use self::{
    runner::{Runner, RunnerFaults, RunnerKind},
    store::{Store, StoreMode},
};

pub(crate) use self::runner::{adapter_name, event_count};
