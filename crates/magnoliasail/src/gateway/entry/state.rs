//! What the tasks of an entry share.

use {
    super::{engine_link::EngineLink, refusal::RefusalCause},
    crate::gateway::{
        metrics::{GatewayMetrics, RetryCause},
        pool::{Pool, SharedIdleLimit},
        steady_clock::SteadyClock,
    },
    magnoliasail_core::gateway::{
        Affinity, Candidate, Directory, Holding, Placement, PlacementCosts, Popularity,
        RetryWindow, RouteTable, ServerView, adapter_key,
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
    tokio::sync::{Notify, watch},
};

/// Connections of one entry to one plain server, where the configuration names no limit.
const MAX_CONNECTIONS: usize = 64;

/// What the tasks of an entry share.
pub(super) struct EntryState {
    pub(super) settings: Rc<NodeSettings>,
    pub(super) clock: SteadyClock,
    pub(super) metrics: Rc<GatewayMetrics>,
    pub(super) draining: watch::Receiver<bool>,
    pub(super) table: RefCell<RouteTable>,
    pub(super) directory: RefCell<Directory>,
    /// Links to agents, by the address of their VM.
    pub(super) links: RefCell<HashMap<IpAddr, Rc<EngineLink>>>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    trust: SharedIdleLimit,
    retries: RefCell<HashMap<Arc<str>, RetryWindow>>,
    pub(super) popularity: RefCell<Popularity>,
    /// Requests that were answered since the process started.
    answered: Cell<u64>,
    /// Whether the list of servers has been read once.
    pub(super) has_servers: Cell<bool>,
    /// Whether the store could not be read lately.
    pub(super) is_store_lost: Cell<bool>,
    /// Told when the entry learns something that a waiting request may need.
    pub(super) changes: Rc<Notify>,
}

/// A server that was picked for a request.
#[derive(Clone, Debug)]
pub(super) struct Pick {
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddr,
    /// Whether the server is an engine, which is reached through its agent.
    pub(super) is_engine: bool,
}

impl EntryState {
    pub(super) fn new(settings: Rc<NodeSettings>, draining: watch::Receiver<bool>) -> Rc<Self> {
        Rc::new(Self {
            settings,
            clock: SteadyClock::new(),
            metrics: GatewayMetrics::new(RefusalCause::iter().map(Into::into)),
            draining,
            table: RefCell::default(),
            directory: RefCell::default(),
            links: RefCell::default(),
            pools: RefCell::default(),
            trust: SharedIdleLimit::default(),
            retries: RefCell::default(),
            popularity: RefCell::default(),
            answered: Cell::new(0),
            has_servers: Cell::new(false),
            is_store_lost: Cell::new(false),
            changes: Rc::default(),
        })
    }

    /// Tells whether new connections are welcome.
    pub(super) fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.knows_its_work()
    }

    /// Tells whether a configuration and the list of servers are known.
    pub(super) fn knows_its_work(&self) -> bool {
        self.table.borrow().version().is_some() && self.has_servers.get()
    }

    /// Records that the store cannot be read, which ends the wait of requests for it.
    pub(super) fn store_lost(&self) {
        self.is_store_lost.set(true);
        self.changes.notify_waiters();
    }

    /// Counts an answered request; returns whether it is one of those that are logged.
    pub(super) fn count_answered(&self) -> bool {
        /// One of so many is logged: refusals and failures are what needs explaining.
        const LOGGED_SHARE: u64 = 64;
        self.metrics.answered.inc();
        let answered = self.answered.get();
        self.answered.set(answered + 1);
        answered.is_multiple_of(LOGGED_SHARE)
    }

    /// Returns the pool of connections to a plain server.
    pub(super) fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Pool::new(address, MAX_CONNECTIONS, Rc::clone(&self.trust)));
        Rc::clone(pool)
    }

    /// Picks a server of a service that is not among those tried.
    ///
    /// Engines that hold the base model come before all others.
    pub(super) fn pick(
        &self,
        service: &str,
        model: Option<&Arc<str>>,
        affinity: Affinity<'_>,
        tried: &[Arc<str>],
    ) -> Option<Pick> {
        let now_ms = self.clock.now_ms();
        if self.table.borrow().engine(service).is_none() {
            let directory = self.directory.borrow();
            let untried = directory
                .usable(service, now_ms)
                .filter(|server| !tried.contains(&server.entry.id));
            let (picks, candidates) = untried.map(|server| self.plain_candidate(server)).unzip();
            return pick_of(plain_costs(), affinity, picks, candidates);
        }
        let model = model.map(|model| adapter_key(model));
        let (picks, candidates) = self.engine_candidates(service, model, affinity, tried);
        pick_of(PlacementCosts::default(), affinity, picks, candidates)
    }

    /// Returns the engines that take requests, those that hold the model if there are any.
    fn engine_candidates(
        &self,
        service: &str,
        model: Option<u64>,
        affinity: Affinity<'_>,
        tried: &[Arc<str>],
    ) -> (Vec<Pick>, Vec<Candidate>) {
        let adapter = adapter_key(affinity.key);
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let serving: Vec<_> = directory
            .usable(service, self.clock.now_ms())
            .filter_map(|server| {
                let link = links.get(&server.entry.address.ip())?;
                let holds_model =
                    model.is_none_or(|model| link.holding(model) == Holding::Resident);
                Some((server, link, link.taking()?, holds_model))
            })
            .collect();
        let is_held = serving.iter().any(|&(.., holds_model)| holds_model);
        serving
            .into_iter()
            .filter(|&(.., holds_model)| holds_model || !is_held)
            .filter(|(server, ..)| !tried.contains(&server.entry.id))
            .map(|(server, link, state, _)| {
                let (pick, candidate) = self.plain_candidate(server);
                let candidate = Candidate {
                    load: candidate.load.max(state.load),
                    slots: state.slots,
                    holding: link.holding(adapter),
                    adapters_waiting: state.adapters_waiting,
                    has_available_slot: state.slots_available > state.adapters_waiting,
                    ready_in_ms: state.ready_in_ms,
                    ..candidate
                };
                let pick = Pick {
                    is_engine: true,
                    ..pick
                };
                (pick, candidate)
            })
            .unzip()
    }

    /// Tells whether an engine of a service is only just being met.
    pub(super) fn is_settling(&self, service: &str) -> bool {
        if self.table.borrow().engine(service).is_none() {
            return false;
        }
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        directory
            .usable(service, self.clock.now_ms())
            .any(|server| {
                let link = links.get(&server.entry.address.ip());
                link.is_none_or(|link| link.is_settling())
            })
    }

    /// Returns a server as a candidate that holds whatever a request needs.
    fn plain_candidate(&self, server: &ServerView) -> (Pick, Candidate) {
        let now_ms = self.clock.now_ms();
        let pick = Pick {
            id: Arc::clone(&server.entry.id),
            address: server.entry.address,
            is_engine: false,
        };
        let candidate = Candidate {
            name: Arc::clone(&server.name),
            is_local: server.entry.data_centre == self.settings.data_centre,
            load: server.load(),
            slots: server.entry.slots,
            failure_share: server.health.failure_share(now_ms),
            first_byte_ms: server.health.first_byte_ms(now_ms),
            holding: Holding::Resident,
            adapters_waiting: 0,
            has_available_slot: true,
            ready_in_ms: 0,
        };
        (pick, candidate)
    }

    /// Returns when to come back while no server of a service can take a request, in milliseconds;
    /// callers are spread over the time after a server is expected.
    pub(super) fn return_in_ms(&self, service: &str) -> u64 {
        /// Servers that are back in the list or restarted need about this long.
        const UNKNOWN_MS: u64 = 800;
        /// Over which callers come back.
        const SPREAD_MS: u64 = 600;
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let soonest_ms = directory
            .usable(service, self.clock.now_ms())
            .filter_map(|server| links.get(&server.entry.address.ip())?.taking())
            .map(|state| state.ready_in_ms)
            .filter(|&ready_in_ms| ready_in_ms > 0)
            .min();
        soonest_ms.unwrap_or(UNKNOWN_MS) + rand::rng().random_range(0..SPREAD_MS)
    }

    /// Counts a request's first attempt at a service.
    pub(super) fn count_request(&self, service: &Arc<str>) {
        self.with_retries(service, |window, now_ms| window.count_request(now_ms));
    }

    /// Spends one retry of a service's budget, if this entry's share leaves room.
    pub(super) fn try_retry(&self, service: &Arc<str>) -> bool {
        let entries = self.entries();
        let is_granted =
            self.with_retries(service, |window, now_ms| window.try_retry(entries, now_ms));
        if !is_granted {
            self.metrics.count_retry(RetryCause::BudgetSpent);
        }
        is_granted
    }

    fn with_retries<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut RetryWindow, u64) -> T,
    ) -> T {
        let settings = &self.settings;
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(Arc::clone(service)).or_insert_with(|| {
            RetryWindow::new(
                settings.retry_ratio,
                settings.min_retries,
                settings.retry_window_ms,
            )
        });
        act(window, self.clock.now_ms())
    }

    /// Returns the number of entries that share the work, as agents count them.
    fn entries(&self) -> u32 {
        /// The number that is assumed until an agent has told it.
        const ASSUMED_ENTRIES: u32 = 8;
        let links = self.links.borrow();
        let told = links
            .values()
            .filter_map(|link| link.taking())
            .map(|state| state.entries);
        told.max().unwrap_or(ASSUMED_ENTRIES).max(1)
    }
}

/// Picks one of the candidates.
fn pick_of(
    costs: PlacementCosts,
    affinity: Affinity<'_>,
    mut picks: Vec<Pick>,
    candidates: Vec<Candidate>,
) -> Option<Pick> {
    let index = Placement::new(costs).pick(affinity, &candidates)?;
    Some(picks.swap_remove(index))
}

/// Costs at plain servers, which hold nothing that a request could miss.
fn plain_costs() -> PlacementCosts {
    PlacementCosts {
        batch_pair_ms: 1.0,
        queued_ms: 15.0,
        remote_ms: 12.0,
        ..PlacementCosts::default()
    }
}
