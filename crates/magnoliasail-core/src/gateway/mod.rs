//! Decisions of the path on the users' platform.
//!
//! An entry matches a caller's request to a route ([`RouteTable`]), picks a backend server
//! ([`Placement`]) from those it knows ([`Directory`]) and decides what may be sent once more
//! ([`RetryWindow`]). An agent decides for the one model engine beside it which request starts,
//! which adapter is loaded and what is refused ([`EngineScheduler`]).
//!
//! Nothing here reads a clock or a socket, and nothing knows the platform's names.

pub mod message;

mod adapter_slots;
mod adapter_version;
mod base_models;
mod configuration;
mod directory;
mod engine_action;
mod engine_queue;
mod engine_report;
mod engine_request;
mod engine_scheduler;
mod engine_watch;
mod event_stream;
mod holdings;
mod idle_limit;
mod load_times;
mod order;
mod order_tracker;
mod placement;
mod popularity;
mod replacements;
mod request_metadata;
mod retry_window;
mod route_table;
mod scheduler_settings;
mod server_entry;
mod server_health;

pub use self::{
    adapter_slots::{AdapterSlots, SlotState},
    adapter_version::{AdapterVersion, AdapterVersions},
    configuration::{
        CallerLimits, Configuration, EngineLimits, ModelLimits, RequestKind, Route, ServiceLimits,
        Split,
    },
    directory::{Directory, ServerView},
    engine_action::EngineAction,
    engine_report::{EngineReport, LoadedModel, VersionedAdapter},
    engine_request::{EngineRefusal, EngineRequest},
    engine_scheduler::EngineScheduler,
    engine_watch::{EngineWatch, MissingReport},
    event_stream::{EventSplitter, StreamEvent},
    holdings::{Holding, Holdings, HoldingsTracker, adapter_key},
    idle_limit::IdleLimit,
    order::{Order, OrderKind, OrderOutcome},
    placement::{Affinity, Candidate, Placement, PlacementCosts},
    popularity::Popularity,
    request_metadata::RequestMetadata,
    retry_window::RetryWindow,
    route_table::{RouteMatch, RouteTable},
    scheduler_settings::SchedulerSettings,
    server_entry::{ServerEntry, ServerLoad},
    server_health::ServerHealth,
};
