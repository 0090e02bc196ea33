//! Stand-ins for the platform's store and for backend servers, which speak the platform's protocol.

mod adapters;
mod answers;
mod backend_server;
mod control;
mod endless;
mod poison;
mod rate_check;
mod raw_answer;
mod runs;
mod statements;
mod store;

pub use self::{
    backend_server::{BackendServer, ServerFaults, ServerKind},
    endless::EndlessAnswer,
    poison::Poison,
    raw_answer::{EarlyEnd, RawAnswer},
    store::{DEFAULT_HISTORY, EraHeader, Store, StoreMode},
};

pub(crate) use self::{
    answers::{adapter_name, event_count, stream_event},
    backend_server::{Listing, MODEL},
};
