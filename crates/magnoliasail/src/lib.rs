//! The daemons and commands of magnoliasail.
//!
//! Decisions are in `magnoliasail-core`; this crate gives them clocks, sockets and threads. Each
//! duty of a process has a thread of its own, and bounded rings join them.
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
