//! The process that faces callers.
//!
//! An entry authenticates a request, resolves it once to an exact adapter and version, admits it,
//! chooses a backend server and relays the answer. It may act on old news: the agents refuse what
//! would be wrong, and their refusals correct it.
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
mod answers;
mod event;
mod links;
mod placing;
mod renewal;
mod request;
mod settings;
mod submit;
mod waiting;

pub use self::{
    action::{EntryAction, Failure},
    event::{EntryEvent, RequestKind, Submission},
    settings::EntrySettings,
};

use {
    self::{
        renewal::Renewal,
        request::{Request, Stage, Target},
        waiting::Waiting,
    },
    crate::{
        Admission, LoadBudget, Membership, Outcome, Placement, RefusalReason, RetryBudget, Servers,
        Suspects, TimeMs, VmList, VmRole,
        demand::Demand,
        message::{Cancel, EntryMessage, HolderNotice},
        table::{Adoption, Offer, Pages},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// The state of an entry.
#[derive(Clone, Debug)]
pub struct Entry<P> {
    settings: EntrySettings,
    identity: u64,
    policy: P,
    adoption: Adoption,
    membership: Membership,
    servers: Servers,
    admission: Admission,
    retry_budget: RetryBudget,
    load_budget: LoadBudget,
    demand: Demand,
    suspects: Suspects,
    requests: BTreeMap<u64, Request>,
    waiting: Waiting,
    deadlines: BTreeSet<(TimeMs, u64)>,
    has_lost_links: bool,
    by_attempt: HashMap<u64, u64>,
    next_attempt: u64,
    connected: BTreeMap<Arc<str>, Arc<str>>,
    list: VmList,
    renewal: Renewal,
    draining: bool,
    drained: bool,
}

impl<P: Placement> Entry<P> {
    /// Creates an entry with a random identity that no other process shares.
    #[must_use]
    pub fn new(settings: EntrySettings, policy: P, identity: u64, now_ms: TimeMs) -> Self {
        let deployment = crate::table::Deployment::default();
        Self {
            identity,
            policy,
            adoption: Adoption::default(),
            membership: Membership::new(settings.membership),
            servers: Servers::default(),
            admission: Admission::new(settings.admission),
            retry_budget: RetryBudget::new(settings.retry_share, settings.retry_cap),
            load_budget: LoadBudget::new(deployment.loads_per_s, now_ms),
            demand: Demand::default(),
            suspects: Suspects::default(),
            requests: BTreeMap::new(),
            waiting: Waiting::default(),
            deadlines: BTreeSet::new(),
            has_lost_links: false,
            by_attempt: HashMap::new(),
            next_attempt: 1,
            connected: BTreeMap::new(),
            list: VmList::default(),
            renewal: Renewal::default(),
            draining: false,
            drained: false,
            settings,
        }
    }

    /// Handles one event at `now_ms` and appends the actions it calls for.
    pub fn handle(&mut self, now_ms: TimeMs, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Submit(submission) => self.submit(now_ms, submission, actions),
            EntryEvent::CallerGone { request } => self.caller_gone(request, actions),
            EntryEvent::LinkUp { vm } => self.link_up(&vm, actions),
            EntryEvent::LinkDown { vm } => self.link_down(now_ms, &vm),
            EntryEvent::Message { vm, message } => self.message(now_ms, &vm, message, actions),
            EntryEvent::VmList(list) => self.vm_list(now_ms, list, actions),
            EntryEvent::Table(offer) => self.table_offered(now_ms, offer, actions),
            EntryEvent::Paused => self.renew_links(now_ms, actions),
            EntryEvent::Drain => self.draining = true,
            EntryEvent::Tick => self.tick(now_ms, actions),
        }
        self.start_queued(now_ms, actions);
        self.finish_drain(actions);
    }

    /// Returns the table in force and its confirmation.
    #[must_use]
    pub const fn adoption(&self) -> &Adoption {
        &self.adoption
    }

    /// Returns what the entry knows of the backend servers.
    #[must_use]
    pub const fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Returns the membership of the slice.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the admission of populations.
    #[must_use]
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns this entry's claim on the weight store.
    #[must_use]
    pub const fn load_budget(&self) -> &LoadBudget {
        &self.load_budget
    }

    /// Returns the number of requests that are not answered yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of fingerprints under quarantine.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns where a request for a model would go now.
    pub fn explain(&mut self, now_ms: TimeMs, model: &str) -> Option<crate::Choice> {
        let adapter = self.adoption.table().resolve(model)?;
        self.choose(now_ms, &adapter, 0, &[])
    }

    fn table_offered(&mut self, now_ms: TimeMs, offer: Offer, actions: &mut Vec<EntryAction>) {
        let known = Arc::clone(self.adoption.offer());
        match self.adoption.adopt(offer) {
            Ok(true) => self.table_adopted(now_ms, &known.pages, actions),
            Ok(false) => {}
            Err(error) => actions.push(EntryAction::TableRejected {
                message: error.to_string(),
            }),
        }
    }

    fn table_adopted(&mut self, now_ms: TimeMs, known: &Pages, actions: &mut Vec<EntryAction>) {
        let table = Arc::clone(self.adoption.table());
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
            .adoption
            .offer()
            .to_message(self.adoption.confirmed_ms(), known);
        self.broadcast(&message.into(), actions);
        actions.push(EntryAction::TableApplied { table });
    }

    fn vm_list(&mut self, now_ms: TimeMs, list: VmList, actions: &mut Vec<EntryAction>) {
        if !self.membership.adopt(&list, now_ms) {
            return;
        }
        self.list = list;
        self.renewal.list_adopted(now_ms);
        self.load_budget
            .set_peers(self.membership.entries(), now_ms);
        self.update_links(now_ms, actions);
        self.notify_holders(actions);
        self.refresh_liveness();
    }

    fn update_links(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        for (vm, address) in self.membership.wanted() {
            if self.connected.get(&vm) == Some(&address) {
                continue;
            }
            self.connected.insert(Arc::clone(&vm), Arc::clone(&address));
            actions.push(EntryAction::Connect { vm, address });
        }
        for vm in self.membership.expire(now_ms) {
            self.connected.remove(&vm);
            self.servers.remove(&vm);
            actions.push(EntryAction::Disconnect { vm });
        }
    }

    /// Opens every link anew, so that no server is chosen by what was known before a pause.
    fn renew_links(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        self.renewal = Renewal::default();
        for (vm, address) in self.connected.clone() {
            self.link_down(now_ms, &vm);
            actions.push(EntryAction::Connect { vm, address });
        }
    }

    /// Tells each linked agent what the platform's list says of it.
    fn notify_holders(&self, actions: &mut Vec<EntryAction>) {
        for vm in self.connected.keys() {
            if let Some(notice) = self.holder_notice(vm) {
                send(actions, vm, notice);
            }
        }
        let confirmation = crate::message::TablePages {
            version: self.adoption.version(),
            as_of_ms: self.adoption.confirmed_ms(),
            ..Default::default()
        };
        let services = self.list.vms.iter().filter(|vm| vm.role == VmRole::Service);
        for vm in services {
            send(actions, &vm.vm, confirmation.clone());
        }
    }

    /// Returns the notice for an agent, unless the list has nothing to tell it.
    fn holder_notice(&self, vm: &str) -> Option<HolderNotice> {
        let listed = self.membership.listed(vm)?;
        let leaving = listed.state == crate::VmState::Leaving;
        if listed.role != VmRole::Service && !leaving {
            return None;
        }
        let holder = self.list.holder(&listed.service, &listed.slot);
        Some(HolderNotice {
            as_of_ms: self.list.as_of_ms,
            vm: holder.map_or_else(String::new, |holder| holder.vm.to_string()),
            leaving,
        })
    }

    /// Recomputes which servers take new work and how many requests may be in flight.
    fn refresh_liveness(&mut self) {
        let mut capacity = 0;
        let names: Vec<Arc<str>> = self.servers.iter().map(|(vm, _)| Arc::clone(vm)).collect();
        for vm in names {
            let is_live = self.membership.state(&vm) == crate::ServerState::Live;
            let view = self.servers.entry(&vm);
            view.is_live = is_live;
            if is_live {
                capacity += view.capacity as usize;
            }
        }
        let part = capacity as f64 * self.settings.headroom / self.membership.entries() as f64;
        let max_in_flight = (part.ceil() as usize).max(1);
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
        self.remove(id);
    }

    /// Gives a request its final answer.
    fn fail(
        &mut self,
        id: u64,
        reason: RefusalReason,
        outcome: Outcome,
        retry_after_ms: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        self.remove(id);
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

    /// Forgets a request and frees what it held.
    fn remove(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline_ms, id));
        self.stop_waiting(id, &request);
        match request.stage {
            Stage::Queued => self.admission.withdraw(&request.population, id),
            Stage::Placing => self.admission.release(&request.population),
            Stage::Sent(attempt) => {
                self.admission.release(&request.population);
                self.release_attempt(attempt.number, &attempt.vm);
            }
        }
    }

    fn start_waiting(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match &request.target {
            Target::Model { adapter } => self.waiting.insert_model(id, request.priority, adapter),
            Target::Call { .. } => self.waiting.insert_call(id),
        }
    }

    fn stop_waiting(&mut self, id: u64, request: &Request) {
        match &request.target {
            Target::Model { adapter } => self.waiting.remove_model(id, request.priority, adapter),
            Target::Call { .. } => self.waiting.remove_call(id),
        }
    }

    fn release_attempt(&mut self, number: u64, vm: &Arc<str>) {
        self.by_attempt.remove(&number);
        let view = self.servers.entry(vm);
        view.own = view.own.saturating_sub(1);
    }

    fn broadcast(&self, message: &EntryMessage, actions: &mut Vec<EntryAction>) {
        for vm in self.connected.keys() {
            send(actions, vm, message.clone());
        }
    }

    fn tick(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        self.update_links(now_ms, actions);
        self.expire_requests(now_ms, actions);
        self.expire_links(now_ms, actions);
        self.place_waiting(now_ms, actions);
    }

    fn expire_requests(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        let late: Vec<u64> = self
            .deadlines
            .range(..=(now_ms, u64::MAX))
            .map(|&(_, id)| id)
            .collect();
        for id in late {
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
            self.fail(id, reason, outcome, 1_000, actions);
        }
    }

    fn finish_drain(&mut self, actions: &mut Vec<EntryAction>) {
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
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
