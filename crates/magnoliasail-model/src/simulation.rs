//! A discrete-event simulation of the entries, agents, engines and weight store of a fleet.
//!
//! Events are handled in order of their virtual time, and in order of scheduling at the same time,
//! which makes a simulation deterministic.

use {
    crate::{
        engine::Engine,
        figures::{Figures, RequestStats},
        scenario::{Scenario, Workload},
        store::{Store, StoreResponse},
        trace::{Arrival, POPULATIONS, Trace},
    },
    magnoliasail_core::{
        AdapterRef, Agent, AgentAction, AgentEvent, AgentSettings, Entry, EntryAction, EntryEvent,
        EntrySettings, Placement, VmEntry, VmList, VmRole, VmState,
        agent::{RequestTarget, RunId, ServerRequest},
        entry::{RequestKind, Submission},
        message::{AgentMessage, EntryMessage, agent_message},
        table::{Pages, PublishedTable, Table},
    },
    prost::Message,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap},
        fmt::Write,
        sync::Arc,
    },
};

/// Delay of a message between an entry and an agent, or of a refusal by the store.
const LINK_MS: u64 = 1;
const FRAME_HEADER_BYTES: usize = 4;
const ENTRY_TICK_MS: u64 = 10;
const AGENT_TICK_MS: u64 = 50;
/// Delay of load reports in the workload `LateReports`.
const LATE_REPORT_MS: u64 = 2_000;
/// Time before which no request arrives, so that all links are up.
const SETUP_MS: u64 = 100;
const REQUEST_BUDGET_MS: u64 = 30_000;
/// Time after the last arrival in which requests can finish.
const DRAIN_MS: u64 = 60_000;
/// Length of the windows of [`Figures::stalled_by_time`].
const WINDOW_MS: u64 = 10_000;

/// A scheduled event.
#[derive(Debug)]
enum Event {
    /// A request, by index in the trace, arrives at its entry.
    Arrive(usize),
    /// A message from an entry, the first index, reaches an agent, the second index.
    ToAgent(usize, usize, EntryMessage),
    /// A message from an agent, the first index, reaches an entry, the second index.
    ToEntry(usize, usize, AgentMessage),
    /// An engine ends a step.
    Step {
        agent: usize,
        generation: u64,
        took_ms: u64,
    },
    /// A load completes, fails or is refused by the store.
    LoadEnd {
        agent: usize,
        slot: usize,
        generation: u64,
        completes: bool,
        is_store_refusal: bool,
    },
    EntryTick(usize),
    AgentTick(usize),
    /// A third of the engines crash and restart without adapters.
    RestartEngines,
}

/// The stall of a request as known so far.
#[derive(Clone, Copy, Debug, Default)]
struct StallState {
    is_stalled: bool,
    is_recorded: bool,
}

/// A simulation of a scenario under a placement policy.
pub(crate) struct Simulation<'a, P> {
    scenario: &'a Scenario,
    trace: &'a Trace,
    now_ms: u64,
    sequence: u64,
    /// Time, sequence number and id of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: HashMap<usize, Event>,
    entries: Vec<Entry<P>>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    vm_names: Vec<Arc<str>>,
    store: Store,
    stalls: Vec<StallState>,
    /// Index in the trace of each run, by agent and run.
    runs: HashMap<(usize, RunId), usize>,
    total: RequestStats,
    by_population: BTreeMap<usize, RequestStats>,
    /// Number of stalled requests and of all requests, by window of the measurement.
    by_window: BTreeMap<u64, (u64, u64)>,
    refusals: BTreeMap<String, u64>,
    loads: u64,
    evictions: u64,
    reports: u64,
    report_bytes: u64,
}

impl<'a, P: Placement> Simulation<'a, P> {
    pub(crate) fn new<F: Fn(usize) -> P>(
        scenario: &'a Scenario,
        trace: &'a Trace,
        policy: F,
    ) -> Self {
        let vm_names: Vec<Arc<str>> = (0..scenario.engines)
            .map(|index| format!("runner-{index:02}").into())
            .collect();
        let agents = vm_names
            .iter()
            .map(|name| new_agent(scenario, name))
            .collect();
        let entries = (0..scenario.entries)
            .map(|index| {
                let identity = index as u64 + 1;
                Entry::new(EntrySettings::default(), policy(index), identity, 0)
            })
            .collect();
        let is_failing = scenario.workload == Workload::FailingStore;
        let mut simulation = Self {
            scenario,
            trace,
            now_ms: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            entries,
            agents,
            engines: vec![Engine::new(scenario.capacity); scenario.engines],
            vm_names,
            store: Store::new(scenario.deployment.loads_per_s(), is_failing),
            stalls: vec![StallState::default(); trace.arrivals.len()],
            runs: HashMap::new(),
            total: RequestStats::default(),
            by_population: BTreeMap::new(),
            by_window: BTreeMap::new(),
            refusals: BTreeMap::new(),
            loads: 0,
            evictions: 0,
            reports: 0,
            report_bytes: 0,
        };
        simulation.set_up();
        simulation
    }

    /// Publishes the table and the list of VMs, opens every link and schedules the arrivals.
    fn set_up(&mut self) {
        let table = self.published_table();
        let list = self.vm_list();
        for entry in 0..self.entries.len() {
            self.handle_entry_event(entry, EntryEvent::Table(table.clone()));
            self.handle_entry_event(entry, EntryEvent::VmList(list.clone()));
            self.schedule(1 + entry as u64, Event::EntryTick(entry));
        }
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                let link = entry as u64;
                self.handle_agent_event(agent, AgentEvent::LinkUp { link });
                let vm = Arc::clone(&self.vm_names[agent]);
                self.handle_entry_event(entry, EntryEvent::LinkUp { vm });
            }
            self.schedule(2 + agent as u64, Event::AgentTick(agent));
        }
        for index in 0..self.trace.arrivals.len() {
            // Earlier arrivals are delayed until the links are up.
            let at_ms = self.trace.arrivals[index].at_ms.max(SETUP_MS);
            self.schedule(at_ms, Event::Arrive(index));
        }
        if self.scenario.workload == Workload::ColdRestart {
            self.schedule(self.scenario.measurement_start_ms(), Event::RestartEngines);
        }
    }

    fn published_table(&self) -> PublishedTable {
        let mut adapters = "adapter,version,digest,current\n".to_owned();
        for index in 0..self.scenario.adapters {
            let _ = writeln!(adapters, "a{index},v1,d{index},yes");
        }
        let mut populations =
            "population,key_sha256,share,priority,max_in_flight,rate_per_s\n".to_owned();
        for (name, share, priority) in POPULATIONS {
            let hash = Table::key_hash_hex(name);
            let _ = writeln!(
                populations,
                "{name},{hash},{share},{priority},100000,100000"
            );
        }
        let (stall, batch) = self.scenario.deployment.weights();
        let loads = self.scenario.deployment.loads_per_s();
        let deployment =
            format!("key,value\nstall_weight,{stall}\nbatch_weight,{batch}\nloads_per_s,{loads}\n");
        let mut pages = Pages::default();
        pages.insert("adapters", adapters);
        pages.insert("populations", populations);
        pages.insert("deployment", deployment);
        PublishedTable {
            version: 1,
            as_of_ms: 1,
            roster_published_ms: 0,
            pages,
        }
    }

    fn vm_list(&self) -> VmList {
        let vm = |name: &str, role| VmEntry {
            vm: name.into(),
            role,
            service: "".into(),
            slot: "".into(),
            address: name.into(),
            data_centre: "dc".into(),
            state: VmState::Live,
        };
        let mut vms: Vec<VmEntry> = self
            .vm_names
            .iter()
            .map(|name| vm(name, VmRole::Model))
            .collect();
        for index in 0..self.entries.len() {
            vms.push(vm(&format!("entry-{index}"), VmRole::Entry));
        }
        VmList { as_of_ms: 1, vms }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        let id = self.sequence as usize;
        self.queue.push(Reverse((at_ms, self.sequence, id)));
        self.events.insert(id, event);
        self.sequence += 1;
    }

    /// Runs until `DRAIN_MS` after the last arrival and returns the figures.
    pub(crate) fn run(mut self) -> Figures {
        let until_ms = self.scenario.measurement_end_ms() + DRAIN_MS;
        while let Some(Reverse((at_ms, _, id))) = self.queue.pop() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.figures()
    }

    /// Returns whether the measurement is in progress.
    const fn is_measuring(&self) -> bool {
        self.now_ms >= self.scenario.measurement_start_ms()
            && self.now_ms < self.scenario.measurement_end_ms()
    }

    /// Returns whether a request arrives during the measurement.
    const fn is_measured(&self, arrival: &Arrival) -> bool {
        arrival.at_ms >= self.scenario.measurement_start_ms()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::ToAgent(entry, agent, message) => self.deliver_to_agent(entry, agent, message),
            Event::ToEntry(agent, entry, message) => {
                let vm = Arc::clone(&self.vm_names[agent]);
                self.handle_entry_event(entry, EntryEvent::Message { vm, message });
            }
            Event::Step {
                agent,
                generation,
                took_ms,
            } => self.step(agent, generation, took_ms),
            Event::LoadEnd {
                agent,
                slot,
                generation,
                completes,
                is_store_refusal,
            } => {
                if !is_store_refusal {
                    self.store.finish_load();
                }
                let event = if completes {
                    AgentEvent::Loaded { slot, generation }
                } else {
                    AgentEvent::LoadFailed {
                        slot,
                        generation,
                        is_store_refusal,
                    }
                };
                self.handle_agent_event(agent, event);
            }
            Event::EntryTick(entry) => {
                self.handle_entry_event(entry, EntryEvent::Tick);
                self.schedule(self.now_ms + ENTRY_TICK_MS, Event::EntryTick(entry));
            }
            Event::AgentTick(agent) => {
                self.handle_agent_event(agent, AgentEvent::Tick);
                self.schedule(self.now_ms + AGENT_TICK_MS, Event::AgentTick(agent));
            }
            Event::RestartEngines => {
                for agent in 0..self.agents.len() / 3 {
                    self.engines[agent].crash();
                    self.handle_agent_event(agent, AgentEvent::ServerCrashed);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = self.trace.arrivals[index];
        if self.is_measured(&arrival) {
            self.total.arrived += 1;
            self.by_population
                .entry(arrival.population)
                .or_default()
                .arrived += 1;
        }
        let submission = Submission {
            request: index as u64,
            bearer: POPULATIONS[arrival.population].0.into(),
            kind: RequestKind::Model {
                model: format!("a{}", arrival.adapter).into(),
            },
            body: (index as u64).to_le_bytes().to_vec().into(),
            budget_ms: REQUEST_BUDGET_MS,
        };
        self.handle_entry_event(arrival.entry, EntryEvent::Submit(submission));
    }

    fn deliver_to_agent(&mut self, entry: usize, agent: usize, message: EntryMessage) {
        let link = entry as u64;
        if let Some(magnoliasail_core::message::entry_message::Kind::Submit(submit)) = &message.kind
        {
            let index = request_index(&submit.body);
            let adapter = self.adapter(index);
            let slots = self.agents[agent].slots();
            let is_ready = slots
                .find(&adapter)
                .is_some_and(|slot| slots.is_ready(slot));
            let waited_ms = self.now_ms - self.trace.arrivals[index].at_ms.max(SETUP_MS);
            // An entry queues a request for longer only while no server holds its adapter.
            self.stalls[index].is_stalled |= !is_ready || waited_ms > LATE_REPORT_MS / 2;
        }
        self.handle_agent_event(agent, AgentEvent::Message { link, message });
    }

    fn adapter(&self, index: usize) -> AdapterRef {
        let number = self.trace.arrivals[index].adapter;
        AdapterRef::new(format!("a{number}"), "v1", format!("d{number}"))
    }

    fn handle_entry_event(&mut self, entry: usize, event: EntryEvent) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now_ms, event, &mut actions);
        for action in actions {
            self.handle_entry_action(entry, action);
        }
    }

    fn handle_entry_action(&mut self, entry: usize, action: EntryAction) {
        match action {
            EntryAction::Send { vm, message } => {
                if let Ok(agent) = self.vm_names.binary_search(&vm) {
                    let event = Event::ToAgent(entry, agent, message);
                    self.schedule(self.now_ms + LINK_MS, event);
                }
            }
            EntryAction::Head { request, .. } => self.record_first_token(request as usize),
            EntryAction::Completed { request } => {
                let arrival = self.trace.arrivals[request as usize];
                if self.is_measured(&arrival) {
                    self.total.completed += 1;
                    self.by_population
                        .entry(arrival.population)
                        .or_default()
                        .completed += 1;
                }
            }
            EntryAction::Failed { request, failure } => {
                let arrival = self.trace.arrivals[request as usize];
                let stall = &mut self.stalls[request as usize];
                if !std::mem::replace(&mut stall.is_recorded, true) {
                    // A request that failed before it ran counts as stalled since its arrival.
                    let stall_ms = self.now_ms.saturating_sub(arrival.at_ms).max(1);
                    self.record_stall(&arrival, stall_ms);
                }
                if self.is_measured(&arrival) {
                    *self.refusals.entry(failure.reason.to_string()).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn record_first_token(&mut self, index: usize) {
        let arrival = self.trace.arrivals[index];
        if !self.is_measured(&arrival) {
            return;
        }
        let took_ms = self.now_ms - arrival.at_ms;
        self.total.first_tokens.saturating_record(took_ms);
        self.by_population
            .entry(arrival.population)
            .or_default()
            .first_tokens
            .saturating_record(took_ms);
    }

    fn handle_agent_event(&mut self, agent: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        self.agents[agent].handle(self.now_ms, event, &mut actions);
        for action in actions {
            self.handle_agent_action(agent, action);
        }
    }

    fn handle_agent_action(&mut self, agent: usize, action: AgentAction) {
        match action {
            AgentAction::Send { link, message } => {
                let delay_ms = self.message_delay_ms(&message);
                let event = Event::ToEntry(agent, link as usize, message);
                self.schedule(self.now_ms + delay_ms, event);
            }
            AgentAction::Run { run, request, .. } => self.start_run(agent, run, &request),
            AgentAction::CancelRun { run } => {
                self.engines[agent].cancel(run);
                let failure = magnoliasail_core::agent::RunFailure::Cancelled;
                self.handle_agent_event(agent, AgentEvent::RunFailed { run, failure });
            }
            AgentAction::Load {
                slot,
                generation,
                evicted,
                ..
            } => self.start_load(agent, slot, generation, evicted.is_some()),
            _ => {}
        }
    }

    /// Returns the delay of a message from an agent, and counts it if it is a load report.
    fn message_delay_ms(&mut self, message: &AgentMessage) -> u64 {
        let is_report = matches!(message.kind, Some(agent_message::Kind::Load(_)));
        if is_report && self.is_measuring() {
            self.reports += 1;
            self.report_bytes += (message.encoded_len() + FRAME_HEADER_BYTES) as u64;
        }
        if is_report && self.scenario.workload == Workload::LateReports {
            LATE_REPORT_MS
        } else {
            LINK_MS
        }
    }

    fn start_run(&mut self, agent: usize, run: RunId, request: &ServerRequest) {
        debug_assert!(matches!(request.target, RequestTarget::Model { .. }));
        let index = request_index(&request.body);
        let arrival = self.trace.arrivals[index];
        let stall = &mut self.stalls[index];
        if !stall.is_recorded {
            stall.is_recorded = true;
            let is_stalled = stall.is_stalled;
            let waited_ms = self.now_ms.saturating_sub(arrival.at_ms + LINK_MS);
            let stall_ms = if is_stalled { waited_ms.max(1) } else { 0 };
            self.record_stall(&arrival, stall_ms);
        }
        self.runs.insert((agent, run), index);
        self.engines[agent].start(run, arrival.tokens);
        self.schedule_step(agent);
    }

    /// Records the stall of a measured request; zero if it did not stall.
    fn record_stall(&mut self, arrival: &Arrival, stall_ms: u64) {
        if !self.is_measured(arrival) {
            return;
        }
        self.total.record_stall(stall_ms);
        self.by_population
            .entry(arrival.population)
            .or_default()
            .record_stall(stall_ms);
        let window = (arrival.at_ms - self.scenario.measurement_start_ms()) / WINDOW_MS;
        let (stalled, all) = self.by_window.entry(window).or_default();
        *stalled += u64::from(stall_ms > 0);
        *all += 1;
    }

    /// Schedules the end of the next step unless the engine is stepping already or has no requests.
    fn schedule_step(&mut self, agent: usize) {
        let engine = &mut self.engines[agent];
        if engine.is_stepping || engine.is_idle() {
            return;
        }
        engine.is_stepping = true;
        let took_ms = engine.step_ms();
        let generation = engine.generation;
        let event = Event::Step {
            agent,
            generation,
            took_ms,
        };
        self.schedule(self.now_ms + took_ms, event);
    }

    fn step(&mut self, agent: usize, generation: u64, took_ms: u64) {
        if self.engines[agent].generation != generation {
            return;
        }
        let is_measured = self.is_measuring();
        self.engines[agent].is_stepping = false;
        let result = self.engines[agent].step(took_ms, is_measured);
        for run in result.started {
            let Some(&index) = self.runs.get(&(agent, run)) else {
                continue;
            };
            let model = self.adapter(index).model();
            let event = AgentEvent::Head {
                run,
                status: 200,
                content_type: "text/event-stream".into(),
                model: model.into(),
            };
            self.handle_agent_event(agent, event);
        }
        for run in result.ended {
            self.runs.remove(&(agent, run));
            self.handle_agent_event(agent, AgentEvent::End { run });
        }
        self.schedule_step(agent);
    }

    fn start_load(&mut self, agent: usize, slot: usize, generation: u64, evicts: bool) {
        if self.is_measuring() {
            self.loads += 1;
            self.evictions += u64::from(evicts);
        }
        let (after_ms, completes, is_store_refusal) = match self.store.start_load(self.now_ms) {
            StoreResponse::Completes(load_ms) => (load_ms, true, false),
            StoreResponse::Fails(load_ms) => (load_ms, false, false),
            StoreResponse::Refuses => (LINK_MS, false, true),
        };
        let event = Event::LoadEnd {
            agent,
            slot,
            generation,
            completes,
            is_store_refusal,
        };
        self.schedule(self.now_ms + after_ms, event);
    }

    fn figures(self) -> Figures {
        let (busy_ms, filled_ms) = self
            .engines
            .iter()
            .map(Engine::busy_and_filled_ms)
            .fold((0, 0.0), |sum, fill| (sum.0 + fill.0, sum.1 + fill.1));
        let populations = self
            .by_population
            .iter()
            .map(|(&index, stats)| (POPULATIONS[index].0.to_owned(), stats.population_figures()))
            .collect();
        let stalled_by_time = self
            .by_window
            .values()
            .map(|&(stalled, all)| stalled as f64 / all.max(1) as f64)
            .collect();
        Figures {
            arrived: self.total.arrived,
            completed: self.total.completed,
            stalled_share: self.total.stalled as f64 / self.total.stalls.len().max(1) as f64,
            stall_mean_ms: self.total.stalls.mean(),
            stall_p50_ms: self.total.stalls.value_at_quantile(0.50),
            stall_p95_ms: self.total.stalls.value_at_quantile(0.95),
            stall_p99_ms: self.total.stalls.value_at_quantile(0.99),
            first_token_p95_ms: self.total.first_tokens.value_at_quantile(0.95),
            batch_fill: filled_ms / busy_ms.max(1) as f64,
            loads: self.loads,
            evictions: self.evictions,
            reports: self.reports,
            report_bytes: self.report_bytes,
            store_refusals: self.store.refusals,
            stalled_by_time,
            refusals: self.refusals,
            populations,
        }
    }
}

/// Returns the index in the trace that the body of a request carries.
fn request_index(body: &[u8]) -> usize {
    let bytes: [u8; 8] = body.try_into().unwrap_or_default();
    u64::from_le_bytes(bytes) as usize
}

fn new_agent(scenario: &Scenario, name: &Arc<str>) -> Agent {
    let settings = AgentSettings {
        vm: Arc::clone(name),
        adapter_slots: scenario.slots,
        capacity: scenario.capacity,
        ..AgentSettings::default()
    };
    Agent::new(settings, 1, 0)
}
