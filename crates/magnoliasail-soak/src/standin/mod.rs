//! Stand-ins for the platform's store and for backend servers, which speak the platform's protocol.

mod backend_server;
mod endless;
mod poison;
mod rate_check;
mod statements;
mod store;

pub use self::{
    backend_server::{BackendServer, ServerFaults, ServerKind},
    endless::EndlessAnswer,
    poison::Poison,
    store::{EraHeader, Store, StoreMode},
};

pub(crate) use self::backend_server::{adapter_name, event_count, stream_event};
