//! Finds out which software version began a stream that its caller resumes.
//!
//! An entry knows the streams whose first event it has forwarded. The attempt that began the stream
//! may have been at another entry, so that the agents are asked: that of the engine which began it,
//! and those to which an entry sent the origin when the stream ended early.

use {
    super::{engine_link::EngineLink, state::EntryState},
    crate::events::{EventId, emit},
    magnoliasail_core::{
        gateway::{RequestMetadata, VersionConstraint, message::StreamOrigin},
        score,
    },
    std::{collections::HashSet, net::IpAddr, rc::Rc, sync::Arc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::{
        sync::mpsc,
        time::{Instant, timeout},
    },
};

/// Longest wait for the answers of agents: several round trips between data centres.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(250);
/// Number of agents that receive the origin of a stream which ended early.
const REPLICAS: usize = 2;

/// Where the software version that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum OriginSource {
    /// This entry has forwarded the stream's first event.
    OwnMemory,
    /// An agent has recorded the stream.
    Agent,
    /// The service has had only one software version recently.
    OnlyVersion,
    /// No process knows the stream, and the service has had several versions.
    Unknown,
}

/// The result of looking up the software version that began a stream.
#[derive(Clone, Debug)]
pub(super) struct OriginLookup {
    /// The version that may go on with the stream; absent if unknown.
    pub(super) version: Option<VersionConstraint>,
    pub(super) source: OriginSource,
}

/// Finds out which software version of a service began the stream with this key.
pub(super) async fn find_origin(state: &EntryState, service: &str, key: u64) -> OriginLookup {
    let now_ms = state.clock.now_ms();
    if let Some(origin) = state.origins.borrow().get(key, now_ms) {
        return OriginLookup {
            version: Some(VersionConstraint::from(origin)),
            source: OriginSource::OwnMemory,
        };
    }
    let is_query_needed = {
        let versions = state.versions.borrow();
        versions.only_version(service, now_ms).is_none()
            || !versions.covers_resumable_streams(service, now_ms)
    };
    if is_query_needed && let Some(origin) = ask_agents(state, key).await {
        return OriginLookup {
            version: Some(VersionConstraint::from(&origin)),
            source: OriginSource::Agent,
        };
    }
    let version = state
        .versions
        .borrow()
        .only_version(service, state.clock.now_ms());
    let source = match version {
        Some(_) => OriginSource::OnlyVersion,
        None => OriginSource::Unknown,
    };
    OriginLookup { version, source }
}

/// Asks all linked agents for the origin of a stream, and returns the first origin that arrives.
async fn ask_agents(state: &EntryState, key: u64) -> Option<StreamOrigin> {
    let (sender, mut answers) = mpsc::channel(1);
    for link in state.links.borrow().values() {
        link.find_origin(key, sender.clone());
    }
    // The channel closes when all agents have answered that they do not know the stream.
    drop(sender);
    timeout(MAX_QUERY_WAIT, answers.recv()).await.ok().flatten()
}

/// Sends the origin of a stream to agents on other VMs than those of the servers in `tried`.
pub(super) fn replicate_origin(state: &EntryState, origin: &StreamOrigin, tried: &[Arc<str>]) {
    let tried_vms = vms_of(state, tried);
    let key = origin.key.to_string();
    let links = state.links.borrow();
    let mut ranked: Vec<(u64, &Rc<EngineLink>)> = links
        .iter()
        .filter(|(vm, link)| link.is_up() && !tried_vms.contains(*vm))
        .map(|(vm, link)| (score(&key, &vm.to_string()), link))
        .collect();
    ranked.sort_unstable_by_key(|&(score, _)| std::cmp::Reverse(score));
    for (_, link) in ranked.into_iter().take(REPLICAS) {
        link.remember_origin(origin.clone());
    }
}

fn vms_of(state: &EntryState, servers: &[Arc<str>]) -> HashSet<IpAddr> {
    let directory = state.directory.borrow();
    servers
        .iter()
        .filter_map(|server| Some(directory.get(server)?.entry.address.ip()))
        .collect()
}

/// Logs the result of a lookup that started at `started_at`.
pub(super) fn log_lookup(
    metadata: &RequestMetadata,
    key: u64,
    lookup: &OriginLookup,
    started_at: Instant,
) {
    let version = match &lookup.version {
        Some(VersionConstraint::Only(Some(version))) => version,
        _ => "-",
    };
    emit(
        EventId::OriginLookup,
        format_args!(
            "request={} resumes={} stream_key={key:016x} software_version={version} source={} waited_ms={}",
            metadata.id.as_deref().unwrap_or("-"),
            metadata.resumes.as_deref().unwrap_or("-"),
            lookup.source,
            started_at.elapsed().as_millis()
        ),
    );
}
