//! The decisions of the path on the users' platform, under the loads and faults they answer.

mod directory;
mod engine;
mod engine_watch;
mod holdings;
mod idle_limit;
mod placement;
mod retries;
mod routes;
mod scheduler;
mod streams;
