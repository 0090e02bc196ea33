//! A small simulated fleet: the cores of entries and agents, with test doubles at their interfaces.

use {
    crate::{
        invariants::{Call, Invariant, Observer},
        link::Link,
        mutation::Mutation,
        platform::{KEY, Platform},
        server::{PARTS, Server},
    },
    bytes::Bytes,
    magnoliasail_core::{
        Agent, AgentAction, AgentEvent, AgentSettings, Entry, EntryAction, EntryEvent,
        EntrySettings, Outcome, Router, VmEntry, VmRole, VmState,
        entry::{RequestKind, Submission},
        message::{AgentMessage, EntryMessage, HolderNotice, agent_message, entry_message},
    },
    std::collections::BTreeMap,
};

/// Time until a request's deadline.
pub(crate) const REQUEST_BUDGET_MS: u64 = 8_000;
const ADAPTER_SLOTS: usize = 2;

/// An entry process.
pub(crate) struct EntryNode {
    pub(crate) core: Entry<Router>,
    pub(crate) is_paused: bool,
    table_version: u64,
    snapshot: Option<Entry<Router>>,
}

/// An agent process and its server.
pub(crate) struct AgentNode {
    pub(crate) core: Agent,
    pub(crate) server: Server,
    pub(crate) is_paused: bool,
    /// Whether the VM has been lost permanently.
    pub(crate) is_gone: bool,
    is_draining: bool,
    vm: VmEntry,
    table_version: u64,
    snapshot: Option<Agent>,
}

/// The fleet, with its platform, links and simulated clock.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: BTreeMap<String, AgentNode>,
    pub(crate) links: Vec<Link>,
    pub(crate) observer: Observer,
    pub(crate) mutation: Option<Mutation>,
    next_link: u64,
    next_request: u64,
    next_node_id: u64,
}

impl Fleet {
    pub(crate) fn new(entries: usize, models: usize, mutation: Option<Mutation>) -> Self {
        let now_ms = 1_800_000_000_000;
        let mut fleet = Self {
            now_ms,
            platform: Platform::new(now_ms, entries, models, 2),
            entries: Vec::new(),
            agents: BTreeMap::new(),
            links: Vec::new(),
            observer: Observer::default(),
            mutation,
            next_link: 1,
            next_request: 1,
            next_node_id: 1,
        };
        let vms: Vec<VmEntry> = fleet.platform.servers().cloned().collect();
        for vm in vms {
            fleet.add_agent(vm);
        }
        for _ in 0..entries {
            let node = fleet.new_entry();
            fleet.entries.push(node);
        }
        fleet
    }

    fn next_nonce(&mut self) -> u16 {
        self.next_node_id += 1;
        self.next_node_id as u16
    }

    fn new_entry(&mut self) -> EntryNode {
        let node_id = self.next_node_id;
        self.next_node_id += 1;
        let settings = EntrySettings::default();
        EntryNode {
            core: Entry::new(settings, Router::default(), node_id, self.now_ms),
            is_paused: false,
            table_version: 0,
            snapshot: None,
        }
    }

    /// Returns the names of the plain services' VMs that the platform lists.
    pub(crate) fn service_vms(&self) -> Vec<String> {
        self.platform
            .servers()
            .filter(|vm| vm.role == VmRole::Service)
            .map(|vm| vm.vm.to_string())
            .collect()
    }

    pub(crate) fn add_agent(&mut self, vm: VmEntry) {
        let node = AgentNode {
            core: new_agent(&vm, self.next_nonce(), self.now_ms),
            server: Server::default(),
            is_paused: false,
            is_gone: false,
            is_draining: false,
            vm,
            table_version: 0,
            snapshot: None,
        };
        self.agents.insert(node.vm.vm.to_string(), node);
    }

    /// Restarts an entry process, which disconnects its callers.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        let entries = self.entries.len() as u64;
        for (&request, call) in &mut self.observer.calls {
            if request % entries == index as u64 {
                call.is_caller_gone = true;
            }
        }
        self.break_links(|link| link.entry == index);
        self.entries[index] = self.new_entry();
    }

    /// Restarts an agent process; its server keeps running.
    pub(crate) fn restart_agent(&mut self, name: &str) {
        self.break_links(|link| link.vm == name);
        let (now_ms, nonce) = (self.now_ms, self.next_nonce());
        let Some(node) = self.agents.get_mut(name) else {
            return;
        };
        node.server.disconnect();
        node.core = new_agent(&node.vm, nonce, now_ms);
        node.is_draining = false;
        node.is_paused = false;
        node.table_version = 0;
    }

    /// Takes a snapshot of an agent's memory, or restores it if there is one (injected defect).
    pub(crate) fn roll_back_agent(&mut self, name: &str) {
        let Some(node) = self.agents.get_mut(name) else {
            return;
        };
        match node.snapshot.take() {
            None => node.snapshot = Some(node.core.clone()),
            Some(snapshot) => {
                node.core = snapshot;
                node.server.disconnect();
                self.break_links(|link| link.vm == name);
            }
        }
    }

    /// Replaces a VM by a new one; the old VM is lost unless it keeps running unlisted.
    pub(crate) fn replace_vm(&mut self, name: &str, keeps_running: bool) {
        let Some(vm) = self.platform.replace(name, self.now_ms) else {
            return;
        };
        if !keeps_running {
            self.break_links(|link| link.vm == name);
            if let Some(node) = self.agents.get_mut(name) {
                node.is_gone = true;
            }
        }
        self.add_agent(vm);
    }

    /// Sends a request through an entry; does nothing if the entry is paused.
    pub(crate) fn submit(
        &mut self,
        entry: usize,
        kind: RequestKind,
        tag: String,
        key: Option<String>,
    ) {
        if self.entries[entry].is_paused {
            return;
        }
        let entries = self.entries.len() as u64;
        let request = self.next_request * entries + entry as u64;
        self.next_request += 1;
        let model = match &kind {
            RequestKind::Model { model } => self.entries[entry]
                .core
                .active_table()
                .table()
                .resolve(model)
                .map_or_else(String::new, |adapter| adapter.model()),
            RequestKind::Service { .. } => String::new(),
        };
        let call = Call {
            tag: tag.clone(),
            model,
            key,
            ..Call::default()
        };
        self.observer.record_request(request, call);
        let submission = Submission {
            request,
            bearer: KEY.into(),
            kind,
            body: Bytes::from(tag),
            budget_ms: REQUEST_BUDGET_MS,
        };
        self.handle_entry_event(entry, EntryEvent::Submit(submission));
    }

    pub(crate) fn handle_entry_event(&mut self, index: usize, event: EntryEvent) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        let node = &mut self.entries[index];
        node.core.handle(now_ms, event, &mut actions);
        let version = node.core.active_table().version();
        let before = std::mem::replace(&mut node.table_version, version);
        self.check_version("entry", before, version);
        for action in actions {
            self.execute_entry_action(index, action);
        }
    }

    fn check_version(&mut self, role: &str, before: u64, after: u64) {
        if after < before {
            let detail = format!("an {role} reverted from version {before} to {after}");
            self.observer
                .record_violation(Invariant::TableNeverReverts, detail);
        }
    }

    fn execute_entry_action(&mut self, index: usize, action: EntryAction) {
        match action {
            EntryAction::Connect { vm, .. } => self.connect(index, &vm),
            EntryAction::Disconnect { vm } => {
                self.break_links(|link| link.entry == index && *link.vm == *vm);
            }
            EntryAction::Send { vm, message } => self.send_from_entry(index, &vm, message),
            EntryAction::Head { request, model, .. } => self.observer.record_head(request, &model),
            EntryAction::Data { request, data } => {
                let part = String::from_utf8_lossy(&data).into_owned();
                self.deliver_to_caller(request, &part);
            }
            EntryAction::Completed { request } => self.observer.record_completion(request, PARTS),
            EntryAction::Failed {
                request,
                mut failure,
            } => {
                if self.mutation == Some(Mutation::DropFinalAnswers) {
                    return;
                }
                if self.mutation == Some(Mutation::ReportNotRun) {
                    failure.outcome = Outcome::NotRun;
                }
                self.observer.record_failure(request, &failure);
                if self.mutation == Some(Mutation::RepeatFinalAnswers) {
                    self.observer.record_failure(request, &failure);
                }
            }
            EntryAction::TableApplied { .. }
            | EntryAction::TableRejected { .. }
            | EntryAction::Retried { .. }
            | EntryAction::DroppedFrame
            | EntryAction::QuarantineChanged { .. }
            | EntryAction::Drained => {}
        }
    }

    fn deliver_to_caller(&mut self, request: u64, part: &str) {
        let last = format!("/{}", PARTS - 1);
        match self.mutation {
            Some(Mutation::TruncateAnswers) if part.ends_with(&last) => {}
            Some(Mutation::MisrouteAnswers) => {
                let other = self.observer.calls.keys().next().copied();
                self.observer.record_part(other.unwrap_or(request), part);
            }
            _ => self.observer.record_part(request, part),
        }
    }

    fn send_from_entry(&mut self, index: usize, vm: &str, message: EntryMessage) {
        let is_submit = matches!(message.kind, Some(entry_message::Kind::Submit(_)));
        if is_submit {
            self.check_not_leaving(index, vm);
        }
        let link = self
            .links
            .iter_mut()
            .find(|link| link.entry == index && link.vm == vm && !link.is_closed_at_entry);
        if let Some(link) = link {
            link.to_agent.push_back(message);
        }
    }

    /// Checks that an entry sends no new work to a server that its list marks as leaving.
    fn check_not_leaving(&mut self, index: usize, vm: &str) {
        let membership = self.entries[index].core.membership();
        let is_leaving = membership
            .listed(vm)
            .is_some_and(|listed| listed.state == VmState::Leaving);
        if is_leaving {
            let detail =
                format!("an entry sends new work to {vm}, which its list marks as leaving");
            self.observer
                .record_violation(Invariant::NoNewWorkWhenLeaving, detail);
        }
    }

    pub(crate) fn handle_agent_event(&mut self, name: &str, event: AgentEvent) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        let Some(node) = self.agents.get_mut(name) else {
            return;
        };
        if node.is_gone {
            return;
        }
        let is_drain_ignored = self.mutation == Some(Mutation::IgnoreDrains);
        if let AgentEvent::Drain = event {
            node.is_draining = true;
            if is_drain_ignored {
                return;
            }
        }
        node.core.handle(now_ms, event, &mut actions);
        let version = node.core.table_version();
        let before = std::mem::replace(&mut node.table_version, version);
        self.check_version("agent", before, version);
        for action in actions {
            self.execute_agent_action(name, action);
        }
    }

    fn execute_agent_action(&mut self, name: &str, action: AgentAction) {
        let Some(node) = self.agents.get_mut(name) else {
            return;
        };
        match action {
            AgentAction::Send { link, message } => self.send_from_agent(name, link, message),
            AgentAction::Run { run, request, .. } => {
                let events = node
                    .server
                    .run(run, &request, self.mutation, &mut self.observer);
                for event in events {
                    self.handle_agent_event(name, event);
                }
            }
            AgentAction::CancelRun { run } => {
                let event = node.server.cancel(run);
                self.handle_agent_event(name, event);
            }
            AgentAction::Load {
                slot,
                generation,
                adapter,
                evicted,
            } => {
                let evicted = evicted.map(|adapter| adapter.model());
                let model = adapter.model();
                node.server
                    .load(slot, generation, model, evicted, &mut self.observer);
            }
            AgentAction::Loaded
            | AgentAction::TableApplied { .. }
            | AgentAction::TableRejected { .. }
            | AgentAction::Refused { .. }
            | AgentAction::QuarantineChanged { .. }
            | AgentAction::Drained => {}
        }
    }

    fn send_from_agent(&mut self, name: &str, id: u64, message: AgentMessage) {
        let is_accepted = matches!(message.kind, Some(agent_message::Kind::Accepted(_)));
        let is_draining = self.agents.get(name).is_some_and(|node| node.is_draining);
        if is_accepted && is_draining {
            let detail = format!("{name} accepts new work while it drains");
            self.observer
                .record_violation(Invariant::NoNewWorkWhenLeaving, detail);
        }
        let link = self
            .links
            .iter_mut()
            .find(|link| link.id == id && !link.is_closed_at_agent);
        if let Some(link) = link {
            link.to_entry.push_back(message);
        }
    }

    /// Opens a link unless either end is paused or lost; an existing link between them is broken.
    pub(crate) fn connect(&mut self, entry: usize, vm: &str) {
        self.break_links(|link| link.entry == entry && link.vm == vm);
        let is_reachable = self
            .agents
            .get(vm)
            .is_some_and(|node| !node.is_gone && !node.is_paused);
        if !is_reachable || self.entries.get(entry).is_none_or(|node| node.is_paused) {
            return;
        }
        let id = self.next_link;
        self.next_link += 1;
        self.links.push(Link::new(id, entry, vm.to_owned()));
        self.handle_agent_event(vm, AgentEvent::LinkUp { link: id });
        self.handle_entry_event(entry, EntryEvent::LinkUp { vm: vm.into() });
    }

    /// Breaks links: the entry is notified immediately, while the agent may still receive messages in
    /// transit.
    pub(crate) fn break_links<F: Fn(&Link) -> bool>(&mut self, is_broken: F) {
        let mut notified = Vec::new();
        for link in &mut self.links {
            if is_broken(link) && !link.is_closed_at_entry {
                link.is_closed_at_entry = true;
                link.to_entry.clear();
                notified.push((link.entry, link.vm.clone()));
            }
        }
        for (entry, vm) in notified {
            if entry < self.entries.len() {
                self.handle_entry_event(entry, EntryEvent::LinkDown { vm: vm.into() });
            }
        }
    }

    /// Closes the agent's end of one link whose entry's end is closed; returns whether there was one.
    pub(crate) fn close_half_open(&mut self) -> bool {
        let half_open = self
            .links
            .iter()
            .position(|link| link.is_closed_at_entry && !link.is_closed_at_agent);
        let Some(index) = half_open else {
            return false;
        };
        self.links[index].is_closed_at_agent = true;
        let link = self.links.remove(index);
        self.handle_agent_event(&link.vm, AgentEvent::LinkDown { link: link.id });
        true
    }

    /// Delivers the next message of a link to its agent; returns whether there was one to deliver.
    pub(crate) fn deliver_to_agent(&mut self, index: usize) -> bool {
        let Some(link) = self.links.get_mut(index) else {
            return false;
        };
        let is_paused = self
            .agents
            .get(&link.vm)
            .is_none_or(|node| node.is_paused || node.is_gone);
        if is_paused {
            return false;
        }
        let Some(message) = link.to_agent.pop_front() else {
            return false;
        };
        let (id, vm) = (link.id, link.vm.clone());
        self.handle_agent_event(&vm, AgentEvent::Message { link: id, message });
        true
    }

    /// Delivers the next message of a link to its entry; returns whether there was one to deliver.
    pub(crate) fn deliver_to_entry(&mut self, index: usize) -> bool {
        let Some(link) = self.links.get_mut(index) else {
            return false;
        };
        let entry = link.entry;
        if link.is_closed_at_entry || self.entries[entry].is_paused {
            return false;
        }
        let Some(message) = link.to_entry.pop_front() else {
            return false;
        };
        let vm = link.vm.as_str().into();
        self.handle_entry_event(entry, EntryEvent::Message { vm, message });
        true
    }

    /// Opens the missing links of an entry to the servers that it has listed.
    pub(crate) fn reconnect(&mut self, entry: usize) {
        let listed: Vec<String> = self.entries[entry]
            .core
            .membership()
            .servers()
            .map(|vm| vm.vm.to_string())
            .collect();
        for vm in listed {
            let is_open = self
                .links
                .iter()
                .any(|link| link.entry == entry && link.vm == vm && !link.is_closed_at_entry);
            if !is_open {
                self.connect(entry, &vm);
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        for index in 0..self.entries.len() {
            if !self.entries[index].is_paused {
                self.handle_entry_event(index, EntryEvent::Tick);
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            if !self.agents[&name].is_paused {
                self.handle_agent_event(&name, AgentEvent::Tick);
            }
        }
    }

    /// Notifies every linked agent that it holds its slot (injected defect).
    pub(crate) fn duplicate_leases(&mut self) {
        let links: Vec<(u64, String)> = self
            .links
            .iter()
            .filter(|link| !link.is_closed_at_agent)
            .map(|link| (link.id, link.vm.clone()))
            .collect();
        for (link, vm) in links {
            let notice = HolderNotice {
                as_of_ms: self.now_ms,
                vm: vm.clone(),
                leaving: false,
            };
            let message = EntryMessage::from(notice);
            self.handle_agent_event(&vm, AgentEvent::Message { link, message });
        }
    }

    /// Takes a snapshot of an entry's memory, or restores it if there is one (injected defect).
    pub(crate) fn roll_back_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        match node.snapshot.take() {
            None => node.snapshot = Some(node.core.clone()),
            Some(snapshot) => node.core = snapshot,
        }
    }
}

fn new_agent(vm: &VmEntry, nonce: u16, now_ms: u64) -> Agent {
    let is_model = vm.role == VmRole::Model;
    let settings = AgentSettings {
        vm: vm.vm.clone(),
        service: vm.service.clone(),
        slot: vm.slot.clone(),
        adapter_slots: if is_model { ADAPTER_SLOTS } else { 0 },
        capacity: 2,
        max_queue: 4,
        max_load_attempts: 2,
        max_jobs: 6,
        report_interval_ms: 100,
        ..AgentSettings::default()
    };
    Agent::new(settings, nonce, now_ms)
}
