//! State shared by the tasks of an entry.

use {
    super::{
        attempt::OutgoingRequest, engine_link::EngineLink, grant_view::OwnView,
        in_flight::InFlightGuard, link_notice::LinkNotice, past_versions::PastVersionsRead,
        quota::AccountQuotas, refusal::RefusalCause,
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            announcement::{record_notice, record_rate},
            buffer_budget::BufferBudget,
            byte_limit::TooLong,
            metrics::GatewayMetrics,
            phase::Phase,
            pool::{Pool, SharedIdleLimit},
            steady_clock::SteadyClock,
        },
    },
    magnoliasail_core::gateway::{
        Affinity, Candidate, CrashDetector, Directory, FetchQueue, Holding, Ineligibility,
        Placement, PlacementCosts, Quarantine, RateSource, RateStatement, RetryWindow, RouteTable,
        ServerNotice, ServerView, StoreFreshness, StreamOrigins, VersionConstraint, VersionHistory,
        adapter_key, message::ToAgentKind, plain_wait_ms,
    },
    magnoliasail_platform::settings::NodeSettings,
    rand::Rng,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
    },
    strum::IntoEnumIterator,
    tokio::sync::{Notify, mpsc, watch},
};

/// The number of entries that is assumed until an agent has reported one.
const ASSUMED_ENTRIES: u32 = 8;

/// State shared by the tasks of an entry.
pub(super) struct EntryState {
    pub(super) settings: Rc<NodeSettings>,
    pub(super) clock: SteadyClock,
    pub(super) metrics: Rc<GatewayMetrics>,
    pub(super) phase: watch::Receiver<Phase>,
    /// When the process began to drain, by its clock.
    pub(super) draining_since_ms: Cell<Option<u64>>,
    pub(super) table: RefCell<RouteTable>,
    pub(super) directory: RefCell<Directory>,
    /// Links to agents, by the IP address of their VM.
    pub(super) links: RefCell<HashMap<IpAddr, Rc<EngineLink>>>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    idle_limit: SharedIdleLimit,
    pub(super) retry_windows: RefCell<HashMap<Arc<str>, RetryWindow>>,
    /// The origins of streams whose first event this entry has forwarded.
    pub(super) origins: RefCell<StreamOrigins>,
    pub(super) versions: RefCell<VersionHistory>,
    pub(super) past_versions_read: PastVersionsRead,
    /// The fetches of the engines whose agents ask this entry.
    pub(super) fetch_queue: RefCell<FetchQueue<IpAddr>>,
    pub(super) quarantine: RefCell<Quarantine>,
    /// What may crash plain servers, by the fingerprint of the server's start.
    pub(super) plain_crash_detectors: RefCell<HashMap<u64, CrashDetector>>,
    /// The bytes that are held for callers and servers.
    pub(super) buffered: Rc<BufferBudget>,
    /// The queue of what links bring that concerns more than one attempt.
    pub(super) link_notices: mpsc::Sender<LinkNotice>,
    /// When the process started, by its clock.
    pub(super) started_ms: u64,
    /// Number of answered requests since the process started.
    answered_count: Cell<u64>,
    /// Whether an agent has said what is quarantined since the process started.
    pub(super) has_quarantines: Cell<bool>,
    /// When the server list was read for the first time.
    pub(super) listed_since_ms: Cell<Option<u64>>,
    /// Whether the rows of servers name their start times.
    pub(super) has_start_times: Cell<bool>,
    /// Whether the latest read of the store failed.
    pub(super) is_store_lost: Cell<bool>,
    pub(super) store_freshness: Cell<StoreFreshness>,
    pub(super) quotas: RefCell<AccountQuotas>,
    pub(super) own_view: RefCell<OwnView>,
    /// Notified of changes for which a request may wait.
    pub(super) changes: Rc<Notify>,
    /// Notified when an agent reports another start of its engine, which the list that was read may not name.
    pub(super) list_outdated: Rc<Notify>,
}

/// A server that was picked for a request.
#[derive(Clone, Debug)]
pub(super) struct PickedServer {
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) software_version: Option<Arc<str>>,
    /// The start time of the server, to which its announcements are bound.
    pub(super) started_ms: Option<u64>,
    /// Whether the server is an engine, which is reached through its agent.
    pub(super) is_engine: bool,
}

impl PickedServer {
    /// Returns the server as the start that its agent reports. If that is not the listed one, its software
    /// version is unknown, and counts as one that no other start has.
    fn at_start(self, reported_ms: Option<u64>) -> Self {
        let (Some(started_ms), Some(listed_ms)) = (reported_ms, self.started_ms) else {
            return self;
        };
        if started_ms == listed_ms {
            return self;
        }
        Self {
            software_version: Some(format!("unlisted {}@{started_ms}", self.id).into()),
            started_ms: Some(started_ms),
            ..self
        }
    }
}

impl EntryState {
    pub(super) fn new(
        settings: Rc<NodeSettings>,
        phase: watch::Receiver<Phase>,
        link_notices: mpsc::Sender<LinkNotice>,
    ) -> Rc<Self> {
        let buffered = BufferBudget::new(settings.max_buffered_bytes());
        let clock = SteadyClock::new();
        let started_ms = clock.now_ms();
        let versions = VersionHistory::new(settings.is_first_start);
        Rc::new(Self {
            settings,
            clock,
            metrics: GatewayMetrics::new(RefusalCause::iter().map(Into::into)),
            phase,
            draining_since_ms: Cell::default(),
            table: RefCell::default(),
            directory: RefCell::default(),
            links: RefCell::default(),
            pools: RefCell::default(),
            idle_limit: SharedIdleLimit::default(),
            retry_windows: RefCell::default(),
            origins: RefCell::default(),
            versions: RefCell::new(versions),
            past_versions_read: PastVersionsRead::default(),
            fetch_queue: RefCell::default(),
            quarantine: RefCell::default(),
            plain_crash_detectors: RefCell::default(),
            buffered,
            link_notices,
            started_ms,
            answered_count: Cell::new(0),
            has_quarantines: Cell::new(false),
            listed_since_ms: Cell::new(None),
            has_start_times: Cell::new(false),
            is_store_lost: Cell::new(false),
            store_freshness: Cell::default(),
            quotas: RefCell::default(),
            own_view: RefCell::default(),
            changes: Rc::default(),
            list_outdated: Rc::default(),
        })
    }

    /// Returns whether the entry accepts new connections: it is initialized and not draining.
    pub(super) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.is_initialized()
    }

    /// Records that the process drains.
    pub(super) fn start_draining(&self) {
        self.draining_since_ms.set(Some(self.clock.now_ms()));
    }

    /// Returns whether the process exits so soon that a stream which starts now would be cut.
    pub(super) fn is_too_late_for_streams(&self) -> bool {
        /// Divides the grace period; a stream has the rest after the quotient.
        const STREAM_START_DIVISOR: u64 = 3;
        let start_time_ms = self.settings.grace_ms / STREAM_START_DIVISOR;
        let now_ms = self.clock.now_ms();
        let since_ms = self.draining_since_ms.get();
        since_ms.is_some_and(|since_ms| now_ms > since_ms + start_time_ms)
    }

    /// Returns whether the entry has a configuration and the server list.
    pub(super) fn is_initialized(&self) -> bool {
        self.table.borrow().version().is_some() && self.listed_since_ms.get().is_some()
    }

    /// Records that the store cannot be read; requests that wait for its content are refused.
    pub(super) fn mark_store_lost(&self) {
        let mut freshness = self.store_freshness.get();
        freshness.record_failure();
        self.store_freshness.set(freshness);
        self.is_store_lost.set(true);
        self.changes.notify_waiters();
    }

    /// Records that the store was read.
    pub(super) fn mark_store_read(&self) {
        let mut freshness = self.store_freshness.get();
        freshness.record_read(self.clock.now_ms());
        self.store_freshness.set(freshness);
        self.is_store_lost.set(false);
    }

    /// Counts an answered request; returns whether it is in the sample that is logged.
    pub(super) fn count_answered(&self) -> bool {
        /// One in this many responses is logged; refusals and failures, which need explaining, always
        /// are.
        const LOG_SAMPLE_INTERVAL: u64 = 64;
        self.metrics.answered.inc();
        let answered_count = self.answered_count.get();
        self.answered_count.set(answered_count + 1);
        answered_count.is_multiple_of(LOG_SAMPLE_INTERVAL)
    }

    /// Returns the pool of connections to a plain server of a service.
    pub(super) fn pool(&self, service: &str, address: SocketAddr) -> Rc<Pool> {
        let max_open = self
            .table
            .borrow()
            .connections_per_entry(service, self.entry_count());
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Pool::new(address, max_open, Rc::clone(&self.idle_limit)));
        pool.set_max_open(max_open);
        Rc::clone(pool)
    }

    /// Picks the server of a service with the lowest placement cost that is not in `tried`.
    ///
    /// If any engine that accepts requests has the base model, only engines that have it are
    /// picked.
    pub(super) fn pick(
        &self,
        service: &str,
        adapter: &str,
        outgoing: &OutgoingRequest,
        version: &VersionConstraint,
        tried: &[Arc<str>],
    ) -> Option<PickedServer> {
        let now_ms = self.clock.now_ms();
        let request = outgoing.metadata.id.as_deref().unwrap_or_default();
        if self.table.borrow().engine(service).is_none() {
            let directory = self.directory.borrow();
            let untried = directory
                .usable(service, version, now_ms)
                .filter(|server| !tried.contains(&server.entry.id));
            let (picks, candidates) = untried.map(|server| self.plain_candidate(server)).unzip();
            // A plain server has whatever a request needs.
            let affinity = Affinity::new(adapter, u32::MAX, request);
            return pick_candidate(plain_server_costs(), affinity, picks, candidates);
        }
        let uses = match outgoing.metadata.adapter {
            Some(_) => self.fleet_uses(adapter),
            // Every engine has the base model, so that there is no need to leave the data centre.
            None => u32::MAX,
        };
        let affinity = Affinity::new(adapter, uses, request);
        let (picks, candidates) =
            self.engine_candidates(service, adapter, outgoing, version, tried);
        pick_candidate(PlacementCosts::default(), affinity, picks, candidates)
    }

    /// Returns how often an adapter was used recently at all engines together.
    fn fleet_uses(&self, adapter: &str) -> u32 {
        let key = adapter_key(adapter);
        let links = self.links.borrow();
        links.values().map(|link| link.uses(key)).sum()
    }

    /// Returns the untried engines that accept requests; if any engine that accepts requests has
    /// the model, only those that have it.
    fn engine_candidates(
        &self,
        service: &str,
        adapter: &str,
        outgoing: &OutgoingRequest,
        version: &VersionConstraint,
        tried: &[Arc<str>],
    ) -> (Vec<PickedServer>, Vec<Candidate>) {
        let model = outgoing.metadata.model.as_deref().map(adapter_key);
        let adapter = adapter_key(adapter);
        let may_begin_unlisted =
            !outgoing.needs_known_version() || *version == VersionConstraint::Any;
        let now_ms = self.clock.now_ms();
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let usable: Vec<_> = directory
            .usable(service, version, now_ms)
            .filter_map(|server| {
                let link = links.get(&server.entry.address.ip())?;
                let holds_model =
                    model.is_none_or(|model| link.holding(model) == Holding::Resident);
                Some((server, link, link.usable_state()?, holds_model))
            })
            .filter(|(server, _, state, _)| {
                may_begin_unlisted || state.may_be_start(server.entry.started_ms)
            })
            .collect();
        let is_model_resident = usable.iter().any(|&(.., holds_model)| holds_model);
        // What begins at a start whose software version is unknown cannot be resumed.
        let needs_listed = outgoing.needs_known_version()
            && usable
                .iter()
                .any(|(server, _, state, _)| state.may_be_start(server.entry.started_ms));
        usable
            .into_iter()
            .filter(|(server, _, state, _)| {
                !needs_listed || state.may_be_start(server.entry.started_ms)
            })
            .filter(|&(.., holds_model)| holds_model || !is_model_resident)
            .filter(|(server, ..)| !tried.contains(&server.entry.id))
            .map(|(server, link, state, _)| {
                let (pick, candidate) = self.plain_candidate(server);
                let candidate = Candidate {
                    wait_ms: link.first_event_ms(outgoing.rank, now_ms)
                        + link.prompt_cost_ms(outgoing.metadata.prompt_tokens, now_ms),
                    holding: link.holding(adapter),
                    copy_load_ms: f64::from(state.copy_load_ms),
                    fetch_ms: f64::from(state.fetch_ms),
                    ready_in_ms: state.ready_in_ms,
                    ..candidate
                };
                let pick = PickedServer {
                    is_engine: true,
                    ..pick.at_start(state.started_ms)
                };
                (pick, candidate)
            })
            .unzip()
    }

    /// Returns whether the agent of an engine of the service is still connecting, or may soon
    /// report that its engine accepts requests.
    pub(super) fn has_starting_engine(&self, service: &str, version: &VersionConstraint) -> bool {
        if self.table.borrow().engine(service).is_none() {
            return false;
        }
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        directory
            .usable(service, version, self.clock.now_ms())
            .any(|server| {
                let link = links.get(&server.entry.address.ip());
                link.is_none_or(|link| link.is_starting())
            })
    }

    /// Returns whether a server that may get new requests has an allowed software version.
    pub(super) fn has_eligible_server(&self, service: &str, version: &VersionConstraint) -> bool {
        let directory = self.directory.borrow();
        let mut servers = directory.usable(service, version, self.clock.now_ms());
        servers.next().is_some()
    }

    /// Returns the link to the agent of an engine.
    pub(super) fn link_to(&self, server: &str) -> Option<Rc<EngineLink>> {
        let directory = self.directory.borrow();
        let address = directory.get(server)?.entry.address.ip();
        self.links.borrow().get(&address).map(Rc::clone)
    }

    /// Returns the VMs of the agents with a link that is up.
    pub(super) fn linked_agents(&self) -> Vec<IpAddr> {
        let links = self.links.borrow();
        let linked = links.iter().filter(|(_, link)| link.is_up());
        linked.map(|(&vm, _)| vm).collect()
    }

    /// Queues a message for the agent on a VM; returns `false` if its link is down or its queue is full.
    pub(super) fn send_to_agent(&self, vm: IpAddr, kind: ToAgentKind) -> bool {
        let link = self.links.borrow().get(&vm).map(Rc::clone);
        link.is_some_and(|link| link.send(kind))
    }

    /// Returns a plain server as a candidate; it has whatever a request needs.
    fn plain_candidate(&self, server: &ServerView) -> (PickedServer, Candidate) {
        let now_ms = self.clock.now_ms();
        let pick = PickedServer {
            id: Arc::clone(&server.entry.id),
            service: Arc::clone(&server.entry.service),
            address: server.entry.address,
            software_version: server.entry.software_version.clone(),
            started_ms: server.entry.started_ms,
            is_engine: false,
        };
        let candidate = Candidate {
            name: Arc::clone(&server.name),
            is_local: server.entry.data_centre == self.settings.data_centre,
            wait_ms: plain_wait_ms(
                server.load(),
                server.entry.slots,
                server.work_time.percent(now_ms),
            ),
            failure_share: server.health.failure_share(now_ms),
            first_byte_ms: server.health.first_byte_ms(now_ms),
            holding: Holding::Resident,
            copy_load_ms: 0.0,
            fetch_ms: 0.0,
            ready_in_ms: 0,
        };
        (pick, candidate)
    }

    /// Applies what a server said in its response.
    pub(super) fn apply_notice(&self, pick: &PickedServer, notice: ServerNotice) {
        if notice == ServerNotice::default() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut directory = self.directory.borrow_mut();
        let announcement = directory.apply_notice(&pick.id, pick.started_ms, notice, now_ms);
        drop(directory);
        record_notice(&self.metrics, &pick.id, notice, announcement);
    }

    /// Applies what a plain server said about its rate in the response to a request that was sent at
    /// `sent_ms`.
    pub(super) fn apply_rate(&self, pick: &PickedServer, statement: RateStatement, sent_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut directory = self.directory.borrow_mut();
        let change = directory.apply_rate(&pick.id, pick.started_ms, statement, sent_ms, now_ms);
        drop(directory);
        record_rate(
            &self.metrics,
            &pick.id,
            statement,
            RateSource::Request,
            change,
        );
    }

    /// Returns the cause for which there is no server for a request.
    pub(super) fn no_server_cause(
        &self,
        service: &str,
        version: &VersionConstraint,
    ) -> RefusalCause {
        let now_ms = self.clock.now_ms();
        let directory = self.directory.borrow();
        match directory.soonest_available(service, version, now_ms) {
            Some(Ineligibility::Limited { .. }) => RefusalCause::ServersLimited,
            Some(_) => RefusalCause::ServersPaused,
            None if *version == VersionConstraint::Any => RefusalCause::NoServer,
            None if directory.usable(service, version, now_ms).next().is_some() => {
                RefusalCause::NoServer
            }
            None => RefusalCause::VersionGone,
        }
    }

    /// Returns the time after which to retry while no server of a service can take a request, in
    /// milliseconds: the expected time until one is available, plus jitter that spreads the
    /// callers.
    pub(super) fn retry_after_ms(&self, service: &str, version: &VersionConstraint) -> u64 {
        /// The time assumed if a server may take requests already or none is known to: about that
        /// which a server needs to be listed again or to restart.
        const DEFAULT_MS: u64 = 800;
        let now_ms = self.clock.now_ms();
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let engines_ready_in_ms = directory
            .usable(service, version, now_ms)
            .filter_map(|server| links.get(&server.entry.address.ip())?.usable_state())
            .map(|state| match state.ready_in_ms {
                0 => DEFAULT_MS,
                ready_in_ms => ready_in_ms,
            });
        let soonest_ms = engines_ready_in_ms.min().or_else(|| {
            let reason = directory.soonest_available(service, version, now_ms);
            reason.and_then(Ineligibility::left_ms)
        });
        soonest_ms.unwrap_or(DEFAULT_MS) + retry_jitter_ms()
    }

    /// Logs and counts a response that is longer than a limit. The caller of this closes its connection.
    pub(super) fn record_overlong_response(&self, server: &InFlightGuard, error: TooLong) {
        self.metrics.overlong_responses.inc();
        emit(
            EventId::ResponseTooLong,
            format_args!("server={} {error}", server.server()),
        );
    }

    /// Returns the number of entries that share a retry budget: the highest count that an agent has
    /// reported.
    pub(super) fn entry_count(&self) -> u32 {
        self.reported_entry_count()
            .unwrap_or(ASSUMED_ENTRIES)
            .max(1)
    }

    /// Returns the highest number of entries that an agent reports, or `None` if no agent is reached.
    pub(super) fn reported_entry_count(&self) -> Option<u32> {
        let links = self.links.borrow();
        let reported_counts = links
            .values()
            .filter_map(|link| link.usable_state())
            .map(|state| state.entries);
        reported_counts.max()
    }
}

/// Returns a random time by which the retries of callers are spread, in milliseconds.
pub(super) fn retry_jitter_ms() -> u64 {
    /// The retries of callers are spread over this time.
    const JITTER_MS: u64 = 600;
    rand::rng().random_range(0..JITTER_MS)
}

/// Picks the server whose candidate, at the same index, has the lowest cost.
fn pick_candidate(
    costs: PlacementCosts,
    affinity: Affinity<'_>,
    mut picks: Vec<PickedServer>,
    candidates: Vec<Candidate>,
) -> Option<PickedServer> {
    let index = Placement::new(costs).pick(affinity, &candidates)?;
    Some(picks.swap_remove(index))
}

/// Returns the placement costs of plain servers, at which adapters cost nothing.
fn plain_server_costs() -> PlacementCosts {
    PlacementCosts {
        spread_step_ms: 5.0,
        remote_ms: 12.0,
        ..PlacementCosts::default()
    }
}
