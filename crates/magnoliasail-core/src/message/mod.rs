//! Messages on a link between an entry and an agent.
//!
//! Each direction has one message type, [`EntryMessage`] and [`AgentMessage`], whose `kind` is one
//! of the other types. They are plain structs with `prost` derives, so that the core and the wire
//! share one set of types and the build needs no code generator.
//!
//! ```
//! use magnoliasail_core::message::{Cancel, EntryMessage};
//! use prost::Message;
//!
//! let message = EntryMessage::from(Cancel { attempt: 3 });
//! let bytes = message.encode_to_vec();
//! assert_eq!(EntryMessage::decode(bytes.as_slice()).unwrap(), message);
//! ```

mod from_agent;
mod from_entry;
mod shared;

pub use self::{
    from_agent::{
        Accepted, AgentHello, AgentMessage, Chunk, DrainNotice, End, Failed, Head, LoadReport,
        Refused, agent_message,
    },
    from_entry::{
        Acknowledge, Cancel, EntryHello, EntryMessage, HolderNotice, JobWork, ModelWork, Resume,
        Submit, entry_message, submit,
    },
    shared::{Adapter, SuspectNotice, TablePage, TablePages, TableQuery},
};
