//! A simulated link: an ordered queue per direction, and a break that each end detects separately.

use {
    magnoliasail_core::{
        agent::LinkId,
        message::{AgentMessage, EntryMessage},
    },
    std::collections::VecDeque,
};

/// A link between an entry and an agent, with the messages in transit.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) id: LinkId,
    pub(crate) entry: usize,
    pub(crate) vm: String,
    pub(crate) to_agent: VecDeque<EntryMessage>,
    pub(crate) to_entry: VecDeque<AgentMessage>,
    /// Whether the entry's end has closed; messages already sent to the agent may still arrive.
    pub(crate) is_closed_at_entry: bool,
    /// Whether the agent's end has closed.
    pub(crate) is_closed_at_agent: bool,
}

impl Link {
    pub(crate) const fn new(id: LinkId, entry: usize, vm: String) -> Self {
        Self {
            id,
            entry,
            vm,
            to_agent: VecDeque::new(),
            to_entry: VecDeque::new(),
            is_closed_at_entry: false,
            is_closed_at_agent: false,
        }
    }
}
