//! Finds out which software version began a stream that its caller resumes.
//!
//! An entry knows the streams whose first event it has forwarded. The attempt that began the stream
//! may have been at another entry, so that the agents are asked: that of the engine which began it,
//! and a few to which the entry sent the origin.

use {
    super::state::EntryState,
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::{
        OriginEvidence, OriginVerdict, ReplicaCandidate, RequestMetadata, VersionConstraint,
        message::{OriginAnswer, StreamOrigin},
        pick_replicas, pick_witnesses,
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
    /// The time after which the version will be known if nothing changes, in milliseconds; absent if it is known or
    /// waiting does not help.
    pub(super) known_in_ms: Option<u64>,
}

/// A stream whose origin is looked up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SoughtStream<'a> {
    pub(super) service: &'a str,
    pub(super) key: u64,
    /// The longest time since the stream can have begun, in milliseconds.
    pub(super) max_age_ms: u64,
}

/// Finds out which software version of a service began a stream.
///
/// The list that this entry has read may be older than the stream, in particular while the store turns the
/// entry away. So what it knows is not enough to take a version for the only one: a few agents, which hear of
/// a new version from every entry, must know of no other.
pub(super) async fn find_origin(state: &EntryState, stream: SoughtStream<'_>) -> OriginLookup {
    let now_ms = state.clock.now_ms();
    if let Some(record) = state.origins.borrow().get(stream.key, now_ms) {
        return OriginLookup {
            version: Some(VersionConstraint::Only(record.software_version)),
            source: OriginSource::OwnMemory,
            agents_asked: 0,
            known_in_ms: None,
        };
    }
    if only_version(state, stream).is_some() {
        let survey = Survey::of_witnesses(state, stream).await;
        let lookup = survey.lookup(state, stream);
        // What engines have only begun is proof if none of the others says otherwise.
        if survey.evidence.has_forwarded() || lookup.source == OriginSource::OnlyVersion {
            return lookup;
        }
    }
    let lookup = Survey::of(state, stream, None).await.lookup(state, stream);
    let is_unknown = lookup.source == OriginSource::Unknown;
    if is_unknown
        && state
            .learn_past_versions(stream.service, stream.max_age_ms)
            .await
    {
        let survey = Survey::of_witnesses(state, stream).await;
        return survey.lookup(state, stream);
    }
    lookup
}

/// Returns the only version that the service has had since the stream began, as far as this entry knows.
fn only_version(state: &EntryState, stream: SoughtStream<'_>) -> Option<VersionConstraint> {
    let now_ms = state.clock.now_ms();
    let versions = state.versions.borrow();
    let is_current = state.store_freshness.get().is_current(now_ms);
    let known_for_ms = versions.known_for_ms(stream.service, now_ms);
    if !is_current || known_for_ms < stream.max_age_ms {
        return None;
    }
    versions.only_version(stream.service, now_ms)
}

/// Returns the time after which all versions are known that the service has had since the stream began, if there
/// has been one only as far as is known.
fn known_in_ms(state: &EntryState, stream: SoughtStream<'_>) -> Option<u64> {
    let now_ms = state.clock.now_ms();
    let versions = state.versions.borrow();
    versions.only_version(stream.service, now_ms)?;
    let known_for_ms = versions.known_for_ms(stream.service, now_ms);
    let missing_ms = stream.max_age_ms.saturating_sub(known_for_ms);
    (missing_ms > 0).then_some(missing_ms)
}

/// What agents have answered to a query for the origin of a stream.
struct Survey {
    evidence: OriginEvidence,
    asked: HashSet<IpAddr>,
}

impl Survey {
    /// Asks the few agents that every entry asks about this stream.
    async fn of_witnesses(state: &EntryState, stream: SoughtStream<'_>) -> Self {
        let witnesses = pick_witnesses(stream.key, state.linked_agents());
        Self::of(state, stream, Some(&witnesses)).await
    }

    /// Asks the linked agents, or of these only the ones on the VMs `among`, and waits for the answers of all,
    /// because the first may be an older record than another.
    ///
    /// Agents to which this entry is still connecting are asked as soon as their links are up. What the agents
    /// know of the versions of services is added to what this entry knows.
    async fn of(state: &EntryState, stream: SoughtStream<'_>, among: Option<&[IpAddr]>) -> Self {
        let deadline = Instant::now() + MAX_QUERY_WAIT;
        let mut survey = Self {
            evidence: OriginEvidence::default(),
            asked: HashSet::new(),
        };
        let capacity = state.links.borrow().len().max(1) * 2;
        let (sender, mut answers) = mpsc::channel(capacity);
        let mut sender = Some(sender);
        while Instant::now() < deadline {
            if let Some(sender) = &sender {
                survey.ask_connected_agents(state, stream.key, among, sender);
            }
            let may_connect = among.is_none()
                && state.has_starting_engine(stream.service, &VersionConstraint::Any);
            if !may_connect {
                // The channel then closes when all agents have answered.
                sender = None;
            }
            let poll_end = deadline.min(Instant::now() + LINK_POLL_INTERVAL);
            match timeout_at(poll_end, answers.recv()).await {
                Ok(Some(answer)) => survey.add(state, stream, &answer),
                Ok(None) => break,
                Err(_) => {}
            }
        }
        survey
    }

    /// Asks the agents with a link that were not asked, and counts them as asked.
    fn ask_connected_agents(
        &mut self,
        state: &EntryState,
        key: u64,
        among: Option<&[IpAddr]>,
        sender: &mpsc::Sender<OriginAnswer>,
    ) {
        for (&vm, link) in state.links.borrow().iter() {
            let is_among = among.is_none_or(|among| among.contains(&vm));
            if is_among && link.is_up() && self.asked.insert(vm) {
                link.find_origin(key, sender.clone());
            }
        }
    }

    fn add(&mut self, state: &EntryState, stream: SoughtStream<'_>, answer: &OriginAnswer) {
        for versions in &answer.versions {
            state.add_versions(versions);
        }
        let knows_versions = answer.versions.iter().any(|known| {
            known.service == stream.service && known.known_for_ms >= stream.max_age_ms
        });
        self.evidence.add_answer(answer.record(), knows_versions);
    }

    /// Returns what the answers show, together with what this entry knows by now.
    fn lookup(&self, state: &EntryState, stream: SoughtStream<'_>) -> OriginLookup {
        let (version, source) = match self.evidence.verdict() {
            OriginVerdict::Known(version) => (Some(version), OriginSource::Agent),
            OriginVerdict::Conflicting => (None, OriginSource::Conflicting),
            OriginVerdict::Unknown => match self.confirmed_only_version(state, stream) {
                Some(version) => (Some(version), OriginSource::OnlyVersion),
                None => (None, OriginSource::Unknown),
            },
        };
        let known_in_ms = match source {
            OriginSource::Unknown => known_in_ms(state, stream),
            _ => None,
        };
        OriginLookup {
            version,
            source,
            agents_asked: self.asked.len(),
            known_in_ms,
        }
    }

    /// Returns the only version that this entry knows, if the agents know of no other. Where no engine serves,
    /// there are no agents to ask.
    fn confirmed_only_version(
        &self,
        state: &EntryState,
        stream: SoughtStream<'_>,
    ) -> Option<VersionConstraint> {
        let has_agents = state.table.borrow().engine(stream.service).is_some();
        let is_confirmed = self.evidence.is_representative(self.asked.len());
        only_version(state, stream).filter(|_| is_confirmed || !has_agents)
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
    stream: SoughtStream<'_>,
    lookup: &OriginLookup,
    started_at: Instant,
) {
    let version = match &lookup.version {
        Some(VersionConstraint::Only(Some(version))) => version,
        _ => "-",
    };
    let now_ms = state.clock.now_ms();
    let list_age_ms = state.store_freshness.get().age_ms(now_ms);
    let known_for_ms = state.versions.borrow().known_for_ms(stream.service, now_ms);
    emit(
        EventId::OriginLookup,
        format_args!(
            "request={} resumes={} stream_key={:016x} software_version={version} source={} list_age_ms={list_age_ms:?} known_for_ms={known_for_ms} max_age_ms={} agents_asked={} waited_ms={}",
            metadata.id.as_deref().unwrap_or("-"),
            metadata.resumes.as_deref().unwrap_or("-"),
            stream.key,
            lookup.source,
            stream.max_age_ms,
            lookup.agents_asked,
            started_at.elapsed().as_millis()
        ),
    );
}
