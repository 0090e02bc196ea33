//! Settings files in TOML, checked before anything starts.
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
