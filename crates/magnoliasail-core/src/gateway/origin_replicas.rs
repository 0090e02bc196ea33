//! Which agents besides that of the running engine keep the origin of a stream.

use {
    crate::score,
    std::{cmp::Reverse, net::IpAddr, sync::Arc},
};

/// Number of agents that receive the origin of a stream, besides that of the running engine.
const REPLICAS: usize = 2;

/// Number of agents that are asked before the only version that an entry knows is taken for the only one.
const WITNESSES: usize = 8;

/// An agent that can keep the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaCandidate {
    /// The IP address of its VM.
    pub vm: IpAddr,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
}

/// Picks the agents that keep the origin of the stream with this key.
///
/// Agents in other data centres than `running_in`, that of the running engine, come first, as an
/// entry and an engine of one data centre may be lost together.
#[must_use]
pub fn pick_replicas(
    stream_key: u64,
    running_in: Option<&str>,
    mut candidates: Vec<ReplicaCandidate>,
) -> Vec<IpAddr> {
    let key = stream_key.to_string();
    candidates.sort_by_cached_key(|candidate| {
        let is_near = running_in == Some(&*candidate.data_centre);
        (is_near, Reverse(score(&key, &candidate.vm.to_string())))
    });
    candidates.truncate(REPLICAS);
    candidates
        .into_iter()
        .map(|candidate| candidate.vm)
        .collect()
}

/// Picks the agents that are asked whether a service has had other software versions than the one that an
/// entry knows, before a stream with this key goes on at that one.
///
/// An entry tells all agents of a version before it sends requests to its servers, so that a few agents know
/// what each of the others knows.
#[must_use]
pub fn pick_witnesses(stream_key: u64, mut linked: Vec<IpAddr>) -> Vec<IpAddr> {
    let key = stream_key.to_string();
    linked.sort_by_cached_key(|vm| Reverse(score(&key, &vm.to_string())));
    linked.truncate(WITNESSES);
    linked
}
