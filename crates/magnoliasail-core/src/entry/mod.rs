//! The state machine of an entry, the process that callers connect to.
//!
//! An entry authenticates a request, resolves it once to an exact adapter and version, admits it,
//! chooses a backend server and relays the response. It may act on stale information: agents
//! refuse attempts that would be wrong, and the refusals carry the data that corrects the entry.
//!
//! [`Entry::handle`] takes one [`EntryEvent`] and appends the resulting [`EntryAction`]s, which the
//! caller carries out. The entry itself does no I/O and reads no clock.
//!
//! ```
//! use magnoliasail_core::{Entry, EntryAction, EntryEvent, EntrySettings, Router};
//!
//! let mut entry = Entry::new(EntrySettings::default(), Router::default(), 7, 0);
//! let mut actions = Vec::new();
//! entry.handle(0, EntryEvent::Drain, &mut actions);
//! assert!(matches!(actions[0], EntryAction::Drained));
//! ```

mod action;
mod event;
mod links;
mod pending;
mod placement;
mod readiness;
mod request;
mod responses;
mod settings;
mod submit;

pub use self::{
    action::{EntryAction, Failure},
    event::{EntryEvent, RequestKind, Submission},
    settings::EntrySettings,
};

use {
    self::{
        pending::PendingRequests,
        readiness::Readiness,
        request::{Request, Stage, Target},
    },
    crate::{
        Admission, LoadBudget, Membership, Outcome, Placement, RefusalReason, RetryBudget, Servers,
        Suspects, TimeMs, VmList, VmRole,
        demand::Demand,
        message::{Cancel, EntryMessage, HolderNotice},
        table::{ActiveTable, Pages, PublishedTable},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// The state of an entry: its requests, its links to agents and its view of the servers.
#[derive(Clone, Debug)]
pub struct Entry<P> {
    settings: EntrySettings,
    identity: u64,
    policy: P,
    active_table: ActiveTable,
    membership: Membership,
    servers: Servers,
    admission: Admission,
    retry_budget: RetryBudget,
    load_budget: LoadBudget,
    demand: Demand,
    suspects: Suspects,
    requests: BTreeMap<u64, Request>,
    pending: PendingRequests,
    /// Deadline and number of every request that is not finished.
    deadlines: BTreeSet<(TimeMs, u64)>,
    /// Whether an attempt in flight may have lost its link; lets a tick skip the search for one.
    has_lost_links: bool,
    /// Number of the request of each attempt in flight, by the number of the attempt.
    request_by_attempt: HashMap<u64, u64>,
    next_attempt: u64,
    /// Addresses of the agents to which links were requested, by the names of their VMs.
    link_addresses: BTreeMap<Arc<str>, Arc<str>>,
    vm_list: VmList,
    readiness: Readiness,
    is_draining: bool,
    is_drained: bool,
}

impl<P: Placement> Entry<P> {
    /// Creates an entry.
    ///
    /// The caller draws `identity` at random, so that no other process shares it.
    #[must_use]
    pub fn new(settings: EntrySettings, policy: P, identity: u64, now_ms: TimeMs) -> Self {
        let deployment = crate::table::Deployment::default();
        Self {
            identity,
            policy,
            active_table: ActiveTable::default(),
            membership: Membership::new(settings.membership),
            servers: Servers::default(),
            admission: Admission::new(settings.admission),
            retry_budget: RetryBudget::new(settings.retry_share, settings.retry_cap),
            load_budget: LoadBudget::new(deployment.loads_per_s, now_ms),
            demand: Demand::default(),
            suspects: Suspects::default(),
            requests: BTreeMap::new(),
            pending: PendingRequests::default(),
            deadlines: BTreeSet::new(),
            has_lost_links: false,
            request_by_attempt: HashMap::new(),
            next_attempt: 1,
            link_addresses: BTreeMap::new(),
            vm_list: VmList::default(),
            readiness: Readiness::default(),
            is_draining: false,
            is_drained: false,
            settings,
        }
    }

    /// Handles one event at `now_ms` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: TimeMs, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Submit(submission) => self.submit(now_ms, submission, actions),
            EntryEvent::CallerGone { request } => self.caller_gone(request, actions),
            EntryEvent::LinkUp { vm } => self.link_up(&vm, actions),
            EntryEvent::LinkDown { vm } => self.link_down(now_ms, &vm),
            EntryEvent::Message { vm, message } => self.receive(now_ms, &vm, message, actions),
            EntryEvent::VmList(list) => self.apply_vm_list(now_ms, list, actions),
            EntryEvent::Table(published) => self.apply_table(now_ms, published, actions),
            EntryEvent::Paused => self.reopen_links(now_ms, actions),
            EntryEvent::Drain => self.is_draining = true,
            EntryEvent::Tick => self.tick(now_ms, actions),
        }
        self.start_queued(now_ms, actions);
        self.finish_drain(actions);
    }

    /// Returns the active table and the time of its last confirmation.
    #[must_use]
    pub const fn active_table(&self) -> &ActiveTable {
        &self.active_table
    }

    /// Returns the entry's view of the backend servers: their residents, load and liveness.
    #[must_use]
    pub const fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Returns the backend servers that are listed or linked.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the admission state of the caller populations.
    #[must_use]
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns this entry's share of the weight store's load rate.
    #[must_use]
    pub const fn load_budget(&self) -> &LoadBudget {
        &self.load_budget
    }

    /// Returns the number of requests that are not finished, including queued ones.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of request fingerprints that are suspect or quarantined.
    ///
    /// It includes expired ones that have not been removed yet.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the server that a request for `model` would go to now.
    ///
    /// Returns `None` if the table has no such model or no server can take the request.
    pub fn explain(&mut self, now_ms: TimeMs, model: &str) -> Option<crate::PlacementChoice> {
        let adapter = self.active_table.table().resolve(model)?;
        self.choose(now_ms, &adapter, 0, &[])
    }

    fn apply_table(
        &mut self,
        now_ms: TimeMs,
        published: PublishedTable,
        actions: &mut Vec<EntryAction>,
    ) {
        let previous = Arc::clone(self.active_table.published());
        match self.active_table.apply(published) {
            Ok(true) => self.activate_table(now_ms, &previous.pages, actions),
            Ok(false) => {}
            Err(error) => actions.push(EntryAction::TableRejected {
                message: error.to_string(),
            }),
        }
    }

    /// Applies the limits of the table that is now active, and sends the table to the agents.
    fn activate_table(&mut self, now_ms: TimeMs, previous: &Pages, actions: &mut Vec<EntryAction>) {
        let table = Arc::clone(self.active_table.table());
        for row in &table.populations {
            self.admission.set_population(
                &row.name,
                row.share,
                row.max_in_flight as usize,
                row.rate_per_s,
                now_ms,
            );
        }
        self.load_budget
            .set_fleet_rate(table.deployment.loads_per_s, now_ms);
        let message = self
            .active_table
            .published()
            .to_message(self.active_table.confirmed_ms(), previous);
        self.broadcast(&message.into(), actions);
        actions.push(EntryAction::TableApplied { table });
    }

    fn apply_vm_list(&mut self, now_ms: TimeMs, list: VmList, actions: &mut Vec<EntryAction>) {
        if !self.membership.apply_list(&list, now_ms) {
            return;
        }
        self.vm_list = list;
        self.readiness.record_list(now_ms);
        self.load_budget
            .set_peers(self.membership.entry_count(), now_ms);
        self.update_links(now_ms, actions);
        self.notify_agents(actions);
        self.refresh_liveness();
    }

    fn update_links(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        for (vm, address) in self.membership.link_targets() {
            if self.link_addresses.get(&vm) == Some(&address) {
                continue;
            }
            self.link_addresses
                .insert(Arc::clone(&vm), Arc::clone(&address));
            actions.push(EntryAction::Connect { vm, address });
        }
        for vm in self.membership.expire(now_ms) {
            self.link_addresses.remove(&vm);
            self.servers.remove(&vm);
            actions.push(EntryAction::Disconnect { vm });
        }
    }

    /// Reopens every link, so that no server is chosen by what was known before a pause.
    fn reopen_links(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        self.readiness = Readiness::default();
        for (vm, address) in self.link_addresses.clone() {
            self.link_down(now_ms, &vm);
            actions.push(EntryAction::Connect { vm, address });
        }
    }

    /// Sends holder notices to the agents that need one, and confirms the table to services.
    fn notify_agents(&self, actions: &mut Vec<EntryAction>) {
        for vm in self.link_addresses.keys() {
            if let Some(notice) = self.holder_notice(vm) {
                send(actions, vm, notice);
            }
        }
        let confirmation = crate::message::TablePages {
            version: self.active_table.version(),
            as_of_ms: self.active_table.confirmed_ms(),
            ..Default::default()
        };
        let services = self
            .vm_list
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Service);
        for vm in services {
            send(actions, &vm.vm, confirmation.clone());
        }
    }

    /// Returns the holder notice for an agent, or `None` if it needs none.
    ///
    /// Agents of services need the holder of their slot; other agents need a notice only if the
    /// list marks them as leaving.
    fn holder_notice(&self, vm: &str) -> Option<HolderNotice> {
        let listed = self.membership.listed(vm)?;
        let leaving = listed.state == crate::VmState::Leaving;
        if listed.role != VmRole::Service && !leaving {
            return None;
        }
        let holder = self.vm_list.holder(&listed.service, &listed.slot);
        Some(HolderNotice {
            as_of_ms: self.vm_list.as_of_ms,
            vm: holder.map_or_else(String::new, |holder| holder.vm.to_string()),
            leaving,
        })
    }

    /// Updates which servers take new work and how many requests may be in flight.
    fn refresh_liveness(&mut self) {
        let mut capacity = 0;
        let vms: Vec<Arc<str>> = self.servers.iter().map(|(vm, _)| Arc::clone(vm)).collect();
        for vm in vms {
            let is_live = self.membership.state(&vm) == crate::ServerState::Live;
            let view = self.servers.get_or_insert(&vm);
            view.is_live = is_live;
            if is_live {
                capacity += view.capacity as usize;
            }
        }
        let share = capacity as f64 * self.settings.headroom / self.membership.entry_count() as f64;
        let max_in_flight = (share.ceil() as usize).max(1);
        self.admission
            .set_max_in_flight(max_in_flight.min(self.settings.admission.max_in_flight));
    }

    fn caller_gone(&mut self, id: u64, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Stage::Sent(attempt) = &request.stage
            && request.key().is_none()
        {
            let cancel = Cancel {
                attempt: attempt.number,
            };
            let vm = Arc::clone(&attempt.vm);
            send(actions, &vm, cancel);
        }
        self.remove_request(id);
    }

    /// Removes a request and reports its failure to the caller.
    fn fail_request(
        &mut self,
        id: u64,
        reason: RefusalReason,
        outcome: Outcome,
        retry_after_ms: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        self.remove_request(id);
        let failure = Failure {
            reason,
            outcome,
            retry_after_ms,
        };
        actions.push(EntryAction::Failed {
            request: id,
            failure,
        });
    }

    /// Removes a request and releases its admission, its attempt and its place among the pending.
    fn remove_request(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline_ms, id));
        self.remove_pending(id, &request);
        match request.stage {
            Stage::Queued => self.admission.cancel(&request.population, id),
            Stage::Placing => self.admission.release(&request.population),
            Stage::Sent(attempt) => {
                self.admission.release(&request.population);
                self.release_attempt(attempt.number, &attempt.vm);
            }
        }
    }

    fn add_pending(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match &request.target {
            Target::Model { adapter } => self.pending.insert_model(id, request.priority, adapter),
            Target::Service { .. } => self.pending.insert_service(id),
        }
    }

    fn remove_pending(&mut self, id: u64, request: &Request) {
        match &request.target {
            Target::Model { adapter } => self.pending.remove_model(id, request.priority, adapter),
            Target::Service { .. } => self.pending.remove_service(id),
        }
    }

    fn release_attempt(&mut self, number: u64, vm: &Arc<str>) {
        self.request_by_attempt.remove(&number);
        let view = self.servers.get_or_insert(vm);
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    fn broadcast(&self, message: &EntryMessage, actions: &mut Vec<EntryAction>) {
        for vm in self.link_addresses.keys() {
            send(actions, vm, message.clone());
        }
    }

    fn tick(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        self.update_links(now_ms, actions);
        self.expire_requests(now_ms, actions);
        self.expire_lost_links(now_ms, actions);
        self.place_pending(now_ms, actions);
    }

    fn expire_requests(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        let expired: Vec<u64> = self
            .deadlines
            .range(..=(now_ms, u64::MAX))
            .map(|&(_, id)| id)
            .collect();
        for id in expired {
            let request = &self.requests[&id];
            let is_job = request.key().is_some();
            let outcome = match &request.stage {
                Stage::Queued | Stage::Placing => request.outcome(),
                Stage::Sent(attempt) => {
                    if !is_job {
                        let cancel = Cancel {
                            attempt: attempt.number,
                        };
                        send(actions, &attempt.vm, cancel);
                    }
                    Outcome::Unknown
                }
            };
            let reason = RefusalReason::DeadlineExceeded;
            self.fail_request(id, reason, outcome, 1_000, actions);
        }
    }

    fn finish_drain(&mut self, actions: &mut Vec<EntryAction>) {
        if self.is_draining && !self.is_drained && self.requests.is_empty() {
            self.is_drained = true;
            actions.push(EntryAction::Drained);
        }
    }
}

fn send<M: Into<EntryMessage>>(actions: &mut Vec<EntryAction>, vm: &Arc<str>, message: M) {
    actions.push(EntryAction::Send {
        vm: Arc::clone(vm),
        message: message.into(),
    });
}
