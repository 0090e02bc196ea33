//! The daemons and commands of magnoliasail.
//!
//! `magnoliasail-core` decides; this crate runs it with clocks, sockets and threads. Each worker of
//! a process has a thread of its own and restarts after a panic; workers communicate through
//! bounded queues.
//!
//! ```
//! use magnoliasail::EntryFile;
//!
//! let settings = EntryFile::parse("data_centre = \"dc-1\"", "entry.toml").unwrap();
//! assert_eq!(settings.data_centre, "dc-1");
//! ```

pub mod command;

mod agent;
mod clock;
mod entry;
mod event_loop;
mod events;
mod gateway;
mod http;
mod log_queue;
mod metrics;
mod queue;
mod settings;
mod supervisor;

pub use self::{
    events::{EventId, LogFormat, emit, start_stderr_logging, start_stdout_logging},
    settings::{AgentFile, EntryFile, LinkSection, SettingsError},
};
