//! What the tasks of an agent share.

use {
    super::engine::{give_order, run_request},
    crate::{
        events::{EventId, emit},
        gateway::{
            header_codec,
            metrics::{GatewayMetrics, Stage},
            pool::{Pool, SharedIdleLimit},
            steady_clock::SteadyClock,
        },
    },
    magnoliasail_core::gateway::{
        AdapterVersion, Configuration, EngineAction, EngineRefusal, EngineReport, EngineRequest,
        EngineScheduler, HoldingsTracker, Order, OrderOutcome, RequestMetadata, SchedulerSettings,
        adapter_key,
        message::{EngineState, Refused, Submit, ToEntry, ToEntryKind},
    },
    magnoliasail_platform::{headers, settings::NodeSettings},
    magnoliasail_wire::Outbox,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    strum::IntoEnumIterator,
    tokio::{sync::Notify, task::AbortHandle},
    xxhash_rust::xxh3::xxh3_64,
};

/// Names a link among those of an agent.
pub(super) type LinkId = u64;

/// A request that runs or waits.
pub(super) struct Held {
    pub(super) link: LinkId,
    pub(super) submit: Submit,
    pub(super) headers: hyper::HeaderMap,
    pub(super) facts: RequestMetadata,
    /// The adapter's full name.
    pub(super) adapter: Option<std::sync::Arc<str>>,
    pub(super) arrived_ms: u64,
    pub(super) deadline_ms: u64,
    /// The task that runs the request, once it has started.
    task: Option<AbortHandle>,
}

/// How long an answer of the engine may take before it counts as stalled.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallLimits {
    pub(super) head: Duration,
    pub(super) gap: Duration,
}

/// What the tasks of an agent share.
pub(super) struct AgentState {
    pub(super) settings: Rc<NodeSettings>,
    pub(super) clock: SteadyClock,
    pub(super) metrics: Rc<GatewayMetrics>,
    /// Connections for requests.
    pub(super) requests: Rc<Pool>,
    /// The connection for reports and orders.
    pub(super) control: Rc<Pool>,
    pub(super) engine_address: SocketAddr,
    pub(super) scheduler: RefCell<EngineScheduler>,
    /// Woken when a report of the engine is wanted sooner.
    pub(super) report_wanted: Notify,
    held: RefCell<HashMap<u64, Held>>,
    links: RefCell<HashMap<LinkId, Outbox<ToEntry>>>,
    holdings: RefCell<HoldingsTracker>,
    /// Restarts of the engine that the holdings take account of.
    restarts: Cell<u64>,
    next_key: Cell<u64>,
    next_link: Cell<LinkId>,
    /// The usual time until the head of an answer, in milliseconds.
    mean_head_ms: Cell<f64>,
    is_draining: Cell<bool>,
    was_serving: Cell<bool>,
    /// Whether the engine loaded its base model when the entries were told.
    was_loading: Cell<bool>,
}

/// Connections to the engine for requests; more than any batch holds.
const REQUEST_CONNECTIONS: usize = 200;
/// The time until a head before any has been seen, in milliseconds.
const FIRST_HEAD_MS: f64 = 100.0;
/// Connections to the engine for a report and an order, and as many that are being closed.
const CONTROL_CONNECTIONS: usize = 4;

impl AgentState {
    pub(super) fn new(settings: Rc<NodeSettings>, backend: SocketAddr) -> Rc<Self> {
        let scheduler = SchedulerSettings {
            engine_seed: xxh3_64(settings.vm_name.as_bytes()),
            ..SchedulerSettings::default()
        };
        let trust = SharedIdleLimit::default();
        Rc::new(Self {
            settings,
            clock: SteadyClock::new(),
            metrics: GatewayMetrics::new(EngineRefusal::iter().map(Into::into)),
            requests: Pool::new(backend, REQUEST_CONNECTIONS, Rc::clone(&trust)),
            control: Pool::new(backend, CONTROL_CONNECTIONS, trust),
            engine_address: backend,
            scheduler: RefCell::new(EngineScheduler::new(scheduler)),
            report_wanted: Notify::new(),
            held: RefCell::default(),
            links: RefCell::default(),
            holdings: RefCell::default(),
            restarts: Cell::default(),
            next_key: Cell::new(1),
            next_link: Cell::new(1),
            mean_head_ms: Cell::new(FIRST_HEAD_MS),
            is_draining: Cell::new(false),
            was_serving: Cell::new(false),
            was_loading: Cell::new(false),
        })
    }

    /// Returns the number of requests that run or wait.
    pub(super) fn load(&self) -> u32 {
        self.scheduler.borrow().load()
    }

    /// Tells the entries that no new request is taken.
    pub(super) fn drain(&self) {
        self.is_draining.set(true);
        self.tell_all();
    }

    /// Adds a link and returns its id.
    pub(super) fn link_up(&self, outbox: Outbox<ToEntry>) -> LinkId {
        let link = self.next_link.get();
        self.next_link.set(link + 1);
        self.links.borrow_mut().insert(link, outbox);
        let holdings = self.holdings.borrow().snapshot();
        self.send(link, ToEntryKind::Holdings(holdings));
        self.tell_all();
        link
    }

    /// Removes a link and withdraws its requests.
    pub(super) fn link_down(self: &Rc<Self>, link: LinkId) {
        self.links.borrow_mut().remove(&link);
        let keys: Vec<u64> = self
            .held
            .borrow()
            .iter()
            .filter(|(_, held)| held.link == link)
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            self.withdraw(key);
        }
    }

    /// Takes a request of an entry.
    pub(super) fn submit(self: &Rc<Self>, link: LinkId, submit: Submit) {
        self.metrics.requests.inc();
        if self.is_draining.get() {
            self.refuse(link, submit.attempt, EngineRefusal::Draining, 0);
            return;
        }
        let now_ms = self.clock.now_ms();
        let headers = header_codec::decode_headers(&submit.headers);
        let facts = headers::request_metadata(&headers);
        let model = facts.model.clone().unwrap_or_else(|| "".into());
        let adapter = facts
            .adapter
            .as_ref()
            .map(|adapter| format!("{model}/{adapter}").into());
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let deadline_ms = now_ms + submit.deadline_ms;
        let request = EngineRequest {
            key,
            model,
            adapter: adapter.clone(),
            rank: submit.rank,
            kv_tokens: facts.prompt_tokens + facts.output_tokens,
            arrived_ms: now_ms,
            objective_ms: now_ms + submit.objective_ms,
            deadline_ms,
        };
        let held = Held {
            link,
            submit,
            headers,
            facts,
            adapter,
            arrived_ms: now_ms,
            deadline_ms,
            task: None,
        };
        self.held.borrow_mut().insert(key, held);
        self.decide(|scheduler, now_ms, actions| scheduler.submit(request, now_ms, actions));
    }

    /// Withdraws a request by its entry's number.
    pub(super) fn cancel(self: &Rc<Self>, link: LinkId, attempt: u64) {
        let key = self
            .held
            .borrow()
            .iter()
            .find(|(_, held)| held.link == link && held.submit.attempt == attempt)
            .map(|(&key, _)| key);
        if let Some(key) = key {
            self.withdraw(key);
        }
    }

    fn withdraw(self: &Rc<Self>, key: u64) {
        let held = self.held.borrow_mut().remove(&key);
        if let Some(task) = held.and_then(|held| held.task) {
            // Its connection to the engine closes, and the engine drops the request.
            task.abort();
        }
        self.decide(|scheduler, now_ms, actions| {
            scheduler.finish(key, false, now_ms, actions);
        });
    }

    /// Ends a request that has run, or that the engine refused.
    pub(super) fn ended(self: &Rc<Self>, key: u64, is_complete: bool) {
        self.held.borrow_mut().remove(&key);
        if is_complete {
            self.metrics.answered.inc();
        }
        self.decide(|scheduler, now_ms, actions| {
            scheduler.finish(key, is_complete, now_ms, actions);
        });
    }

    /// Gives up all requests that run: the engine cannot be reached.
    pub(super) fn break_off_all(self: &Rc<Self>) {
        let keys: Vec<u64> = self
            .held
            .borrow()
            .iter()
            .filter(|(_, held)| held.task.is_some())
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            let Some(held) = self.held.borrow_mut().remove(&key) else {
                continue;
            };
            if let Some(task) = held.task {
                task.abort();
            }
            self.send(held.link, ToEntryKind::Broken(held.submit.attempt));
            self.decide(|scheduler, now_ms, actions| {
                scheduler.finish(key, false, now_ms, actions);
            });
        }
    }

    pub(super) fn configure(self: &Rc<Self>, configuration: &Configuration) {
        let Some(service) = &self.settings.backend_service else {
            return;
        };
        let engine = configuration
            .services
            .iter()
            .find(|limits| limits.name == *service)
            .and_then(|limits| limits.engine.clone());
        if let Some(engine) = engine {
            self.scheduler.borrow_mut().configure(engine);
            self.report_wanted.notify_one();
        }
    }

    pub(super) fn announce(self: &Rc<Self>, announced: &AdapterVersion) {
        let now_ms = self.clock.now_ms();
        self.scheduler.borrow_mut().announce(announced, now_ms);
    }

    pub(super) fn reported(self: &Rc<Self>, report: &EngineReport, ticket: u64) {
        self.decide(|scheduler, now_ms, actions| {
            scheduler.apply_report(report, ticket, now_ms, actions)
        });
        self.tell_holdings();
    }

    pub(super) fn unreachable(self: &Rc<Self>) {
        self.break_off_all();
        self.decide(|scheduler, now_ms, actions| scheduler.mark_unreachable(now_ms, actions));
    }

    pub(super) fn ordered(self: &Rc<Self>, order: &Order, outcome: OrderOutcome) {
        emit(
            EventId::OrderGiven,
            format_args!(
                "order={:?} model={} adapter={:?} version={:?} sequence={} token={} outcome={outcome:?}",
                order.kind,
                order.model,
                order.adapter,
                order.version,
                order.expected_sequence,
                order.fencing_token
            ),
        );
        self.decide(|scheduler, now_ms, actions| {
            scheduler.record_order_outcome(outcome, now_ms, actions)
        });
        self.metrics.orders.inc();
        self.report_wanted.notify_one();
    }

    /// Lets the scheduler decide and carries out what it wants.
    pub(super) fn decide<F>(self: &Rc<Self>, act: F)
    where
        F: FnOnce(&mut EngineScheduler, u64, &mut Vec<EngineAction>),
    {
        let mut actions = Vec::new();
        let now_ms = self.clock.now_ms();
        act(&mut self.scheduler.borrow_mut(), now_ms, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        let (waiting, load) = {
            let scheduler = self.scheduler.borrow();
            (scheduler.waiting() as i64, i64::from(scheduler.load()))
        };
        self.metrics.waiting.set(waiting);
        self.metrics.running.set(load - waiting);
        let is_serving = self.is_serving();
        let is_loading = self.scheduler.borrow().ready_in_ms(now_ms).is_some();
        let was_serving = self.was_serving.replace(is_serving);
        let was_loading = self.was_loading.replace(is_loading);
        if was_serving != is_serving {
            emit(EventId::EngineState, format_args!("serving={is_serving}"));
        }
        if (was_serving, was_loading) != (is_serving, is_loading) {
            self.tell_all();
        }
    }

    fn carry_out(self: &Rc<Self>, action: EngineAction) {
        match action {
            EngineAction::Start { key } => {
                let task = tokio::task::spawn_local(run_request(Rc::clone(self), key));
                if let Some(held) = self.held.borrow_mut().get_mut(&key) {
                    let waited_ms = self.clock.now_ms().saturating_sub(held.arrived_ms);
                    self.metrics.observe_stage(Stage::EngineWait, waited_ms);
                    held.task = Some(task.abort_handle());
                }
            }
            EngineAction::Refuse {
                key,
                reason,
                retry_after_ms,
            } => {
                let Some(held) = self.held.borrow_mut().remove(&key) else {
                    return;
                };
                emit(
                    EventId::AttemptRefused,
                    format_args!(
                        "request={} reason={reason} retry_after_ms={retry_after_ms} load={}",
                        held.facts.id.as_deref().unwrap_or("-"),
                        self.load()
                    ),
                );
                self.refuse(held.link, held.submit.attempt, reason, retry_after_ms);
            }
            EngineAction::Order(order) => {
                tokio::task::spawn_local(give_order(Rc::clone(self), order));
            }
        }
    }

    /// Reads something of a request that runs or waits.
    pub(super) fn with_held<T>(&self, key: u64, read: impl FnOnce(&Held) -> T) -> Option<T> {
        self.held.borrow().get(&key).map(read)
    }

    /// Returns how long a request's answer may take; nothing if it cannot go on elsewhere.
    pub(super) fn stall_limits(&self, key: u64) -> Option<StallLimits> {
        /// The least time for a head, in milliseconds.
        const LEAST_HEAD_MS: f64 = 600.0;
        /// How many times the usual time is still no stall.
        const USUAL_TIMES: f64 = 4.0;
        /// The slowest rate at which prompts are read, in tokens a millisecond.
        const SLOWEST_TOKENS_PER_MS: f64 = 15.0;
        /// Longer than any pause between the events of a stream that goes on.
        const GAP: Duration = Duration::from_millis(900);
        let prompt_tokens = self.with_held(key, |held| {
            held.submit.is_resumable.then_some(held.facts.prompt_tokens)
        })??;
        let reading_ms = prompt_tokens as f64 / SLOWEST_TOKENS_PER_MS;
        let head_ms = LEAST_HEAD_MS + USUAL_TIMES * self.mean_head_ms.get() + reading_ms;
        Some(StallLimits {
            head: Duration::from_millis(head_ms as u64),
            gap: GAP,
        })
    }

    /// Records the time until the head of an answer.
    pub(super) fn head_took(&self, took_ms: u64) {
        /// Weight of the newest time.
        const NEWEST: f64 = 0.1;
        let mean_ms = self.mean_head_ms.get();
        self.mean_head_ms
            .set(mean_ms + NEWEST * (took_ms as f64 - mean_ms));
    }

    pub(super) fn refuse(
        &self,
        link: LinkId,
        attempt: u64,
        reason: EngineRefusal,
        retry_after_ms: u64,
    ) {
        self.metrics.count_refusal(reason.into());
        let refused = Refused {
            attempt,
            reason: reason as u32,
            retry_after_ms,
        };
        self.send(link, ToEntryKind::Refused(refused));
        self.tell(link);
    }

    /// Sends a message; a link that cannot take it is dropped, and its requests with it.
    pub(super) fn send(&self, link: LinkId, kind: ToEntryKind) {
        let message = ToEntry { kind: Some(kind) };
        let is_sent = match self.links.borrow().get(&link) {
            Some(outbox) => outbox.try_send(message).is_ok(),
            None => return,
        };
        if !is_sent {
            emit(EventId::RingFull, format_args!("link={link}"));
            self.links.borrow_mut().remove(&link);
        }
    }

    /// Tells an entry the engine's state.
    pub(super) fn tell(&self, link: LinkId) {
        self.send(link, ToEntryKind::State(self.engine_state()));
    }

    fn tell_all(&self) {
        self.send_all(&ToEntryKind::State(self.engine_state()));
    }

    fn send_all(&self, kind: &ToEntryKind) {
        let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
        for link in links {
            self.send(link, kind.clone());
        }
    }

    /// Tells the entries what has changed of what the engine holds.
    fn tell_holdings(&self) {
        let held = self
            .scheduler
            .borrow()
            .loaded_names()
            .map(|name| adapter_key(name))
            .collect();
        let restarts = self.scheduler.borrow().restarts();
        if self.restarts.replace(restarts) != restarts {
            self.holdings.borrow_mut().discard_copies();
        }
        let Some(news) = self.holdings.borrow_mut().update(&held) else {
            return;
        };
        self.send_all(&ToEntryKind::Holdings(news));
    }

    fn is_serving(&self) -> bool {
        !self.is_draining.get() && self.scheduler.borrow().is_serving()
    }

    fn engine_state(&self) -> EngineState {
        let scheduler = self.scheduler.borrow();
        EngineState {
            load: scheduler.load(),
            is_serving: !self.is_draining.get() && scheduler.is_serving(),
            entries: self.links.borrow().len() as u32,
            slots: scheduler.limits().batch_slots,
            adapters_waiting: scheduler.adapters_waiting(self.clock.now_ms()),
            slots_available: scheduler.slots_available(),
            ready_in_ms: scheduler.ready_in_ms(self.clock.now_ms()).unwrap_or(0),
        }
    }
}
