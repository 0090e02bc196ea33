//! Which agent grants requests to a plain server that names a rate, and how much of the rate.
//!
//! All entries ask the agent with the highest rank for this start of the server, among those that the
//! list names. An entry whose link to it is down asks the next one, which grants a part only, since other
//! entries may still reach the first. [`GrantViews`](super::GrantViews) limits what agents grant while the
//! entries' lists differ.

use {
    super::RequestRate,
    crate::score,
    std::{cmp::Reverse, net::IpAddr},
};

/// Divides the rate if another agent than the first, or none, can be asked. Both parts together must stay
/// well under one and a half times the rate.
const SUBSTITUTE_DIVISOR: u64 = 4;

/// An agent that an entry may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantCandidate {
    /// The IP address of its VM.
    pub vm: IpAddr,
    /// Whether the entry's link to it is up.
    pub is_up: bool,
}

/// The agent to ask, and the rate that it may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAgent {
    /// The IP address of its VM.
    pub vm: IpAddr,
    /// The whole rate of the server, or a part of it.
    pub rate: RequestRate,
    /// Whether another agent ranks first, which cannot be reached.
    pub is_substitute: bool,
}

/// Picks the agent that grants requests to the server with this start; returns `None` if the links to all
/// agents are down.
#[must_use]
pub fn pick_grant_agent(
    server_start: u64,
    rate: RequestRate,
    mut candidates: Vec<GrantCandidate>,
) -> Option<GrantAgent> {
    let key = server_start.to_string();
    candidates.sort_by_cached_key(|candidate| Reverse(score(&key, &candidate.vm.to_string())));
    let index = candidates.iter().position(|candidate| candidate.is_up)?;
    let rate = match index {
        0 => rate,
        _ => rate.divided_by(SUBSTITUTE_DIVISOR),
    };
    Some(GrantAgent {
        vm: candidates[index].vm,
        rate,
        is_substitute: index > 0,
    })
}

/// Returns the rate that an entry uses by itself while it can ask no agent.
#[must_use]
pub const fn rate_without_agent(rate: RequestRate, entry_count: u32) -> RequestRate {
    rate.divided_by(SUBSTITUTE_DIVISOR)
        .divided_by(entry_count as u64)
}
