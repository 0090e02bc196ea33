//! Settings files of entries and agents, in TOML.
//!
//! A file is parsed and checked before the process opens a socket. Keys that are left out take
//! their defaults. All unknown keys, or else all values out of range, are reported together. An
//! unknown key that resembles a known one is reported with that key:
//!
//! ```
//! use magnoliasail::EntryFile;
//!
//! let error = EntryFile::parse("lisen = \"127.0.0.1:1\"", "entry.toml").unwrap_err();
//! assert!(error.to_string().contains("`listen`"));
//! ```

mod agent_file;
mod check;
mod entry_file;
mod link_section;

pub use self::{
    agent_file::AgentFile, check::SettingsError, entry_file::EntryFile, link_section::LinkSection,
};
