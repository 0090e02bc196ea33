//! Finds out which software version began a stream that its caller resumes.
//!
//! An entry knows the streams whose first event it has forwarded. The attempt that began the stream
//! may have been at another entry, so that the agents are asked: that of the engine which began it,
//! and a few to which the entry sent the origin.

use {
    super::state::EntryState,
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::{
        OriginEvidence, OriginRecord, OriginVerdict, ReplicaCandidate, RequestMetadata,
        VersionConstraint, message::StreamOrigin, pick_replicas,
    },
    std::{collections::HashSet, net::IpAddr, sync::Arc, time::Duration},
    strum::{Display, IntoStaticStr},
    tokio::{
        sync::mpsc,
        time::{Instant, timeout_at},
    },
};

/// Longest wait for the answers of agents: several round trips between data centres.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of records of a stream that wait to be read; few agents keep one.
const MAX_RECORDS: usize = 64;
/// Time between checks for links that have come up.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the software version that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum OriginSource {
    /// This entry has forwarded the stream's first event.
    OwnMemory,
    /// An agent has recorded the stream.
    Agent,
    /// The service has had only one software version since the stream began.
    OnlyVersion,
    /// Engines of several versions have begun the stream, and from which one the caller has events is unknown.
    Conflicting,
    /// No process knows the stream, and the service has had several versions, or not all of them are known.
    Unknown,
}

/// The result of looking up the software version that began a stream.
#[derive(Clone, Debug)]
pub(super) struct OriginLookup {
    /// The version that may go on with the stream; absent if unknown.
    pub(super) version: Option<VersionConstraint>,
    pub(super) source: OriginSource,
    /// Number of agents that were asked.
    pub(super) agents_asked: usize,
}

/// Finds out which software version of a service began the stream with this key.
pub(super) async fn find_origin(state: &EntryState, service: &str, key: u64) -> OriginLookup {
    let now_ms = state.clock.now_ms();
    if let Some(record) = state.origins.borrow().get(key, now_ms) {
        return OriginLookup {
            version: Some(VersionConstraint::Only(record.software_version)),
            source: OriginSource::OwnMemory,
            agents_asked: 0,
        };
    }
    if let Some(lookup) = only_version(state, service) {
        return lookup;
    }
    let (verdict, agents_asked) = ask_agents(state, service, key).await;
    let lookup = match verdict {
        OriginVerdict::Known(version) => OriginLookup {
            version: Some(version),
            source: OriginSource::Agent,
            agents_asked,
        },
        OriginVerdict::Conflicting => OriginLookup {
            version: None,
            source: OriginSource::Conflicting,
            agents_asked,
        },
        // The agents may have told meanwhile which versions the service has had.
        OriginVerdict::Unknown => only_version(state, service).unwrap_or(OriginLookup {
            version: None,
            source: OriginSource::Unknown,
            agents_asked,
        }),
    };
    OriginLookup {
        agents_asked,
        ..lookup
    }
}

/// Returns the only version that the service has had since the oldest resumable stream began, if this is
/// known to be the only one.
fn only_version(state: &EntryState, service: &str) -> Option<OriginLookup> {
    let now_ms = state.clock.now_ms();
    let versions = state.versions.borrow();
    if !versions.covers_resumable_streams(service, now_ms) {
        return None;
    }
    Some(OriginLookup {
        version: Some(versions.only_version(service, now_ms)?),
        source: OriginSource::OnlyVersion,
        agents_asked: 0,
    })
}

/// Asks all linked agents for the origin of a stream, and returns what they say together and how many were
/// asked.
///
/// Agents to which this entry is still connecting are asked as soon as their links are up. The answers of all
/// are awaited, because the first may be an older record than another.
async fn ask_agents(state: &EntryState, service: &str, key: u64) -> (OriginVerdict, usize) {
    let deadline = Instant::now() + MAX_QUERY_WAIT;
    let mut asked = HashSet::new();
    let mut evidence = OriginEvidence::default();
    let (sender, mut answers) = mpsc::channel(MAX_RECORDS);
    let mut sender = Some(sender);
    while Instant::now() < deadline {
        if let Some(sender) = &sender {
            ask_connected_agents(state, key, sender, &mut asked);
        }
        if !state.has_starting_engine(service, &VersionConstraint::Any) {
            // The channel then closes when all agents have answered.
            sender = None;
        }
        let poll_end = deadline.min(Instant::now() + LINK_POLL_INTERVAL);
        match timeout_at(poll_end, answers.recv()).await {
            Ok(Some(record)) => evidence.add(record),
            Ok(None) => break,
            Err(_) => {}
        }
    }
    (evidence.verdict(), asked.len())
}

/// Asks the agents with a link that are not in `asked`, and adds them.
fn ask_connected_agents(
    state: &EntryState,
    key: u64,
    sender: &mpsc::Sender<OriginRecord>,
    asked: &mut HashSet<IpAddr>,
) {
    for (&vm, link) in state.links.borrow().iter() {
        if link.is_up() && asked.insert(vm) {
            link.find_origin(key, sender.clone());
        }
    }
}

/// Sends the origin of a stream that `server` runs to agents on other VMs than those of the servers
/// in `tried`.
pub(super) fn replicate_origin(
    state: &EntryState,
    origin: &StreamOrigin,
    server: &str,
    tried: &[Arc<str>],
) {
    let directory = state.directory.borrow();
    let links = state.links.borrow();
    let running_in = directory
        .get(server)
        .map(|server| &*server.entry.data_centre);
    let candidates = directory
        .all()
        .filter(|server| !tried.contains(&server.entry.id))
        .map(|server| ReplicaCandidate {
            vm: server.entry.address.ip(),
            data_centre: Arc::clone(&server.entry.data_centre),
        })
        .filter(|candidate| links.get(&candidate.vm).is_some_and(|link| link.is_up()))
        .collect();
    for vm in pick_replicas(origin.key, running_in, candidates) {
        if let Some(link) = links.get(&vm) {
            link.remember_origin(origin.clone());
        }
    }
}

/// Logs the result of a lookup that started at `started_at`.
pub(super) fn log_lookup(
    state: &EntryState,
    metadata: &RequestMetadata,
    key: u64,
    lookup: &OriginLookup,
    started_at: Instant,
) {
    let version = match &lookup.version {
        Some(VersionConstraint::Only(Some(version))) => version,
        _ => "-",
    };
    let list_age_ms = state.store_freshness.get().age_ms(state.clock.now_ms());
    emit(
        EventId::OriginLookup,
        format_args!(
            "request={} resumes={} stream_key={key:016x} software_version={version} source={} list_age_ms={list_age_ms:?} agents_asked={} waited_ms={}",
            metadata.id.as_deref().unwrap_or("-"),
            metadata.resumes.as_deref().unwrap_or("-"),
            lookup.source,
            lookup.agents_asked,
            started_at.elapsed().as_millis()
        ),
    );
}
