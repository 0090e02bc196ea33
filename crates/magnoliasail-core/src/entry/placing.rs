//! From an admitted request to an attempt: choice of a server, load budget and retries.

use {
    super::{
        Entry, EntryAction,
        request::{Attempt, Request, Stage, Target},
        send,
    },
    crate::{
        AdapterRef, Outcome, Placement, PlacementChoice, PlacementContext, RefusalReason,
        RetryReason, SuspectStatus, TimeMs, VmRole,
        job::{JobKey, KeySpan},
        message::{Adapter, JobPart, ModelPart, Submit, submit::Work},
        rendezvous,
    },
    std::sync::Arc,
};

/// Requests that are tried for one load, should the first find no slot.
const MAX_TRIED: usize = 8;

/// Where an attempt goes, and whether it brings a load about there.
struct Route {
    vm: Arc<str>,
    loads: bool,
}

impl Route {
    const fn to(vm: Arc<str>) -> Self {
        Self { vm, loads: false }
    }
}

impl<P: Placement> Entry<P> {
    /// Sends a request to a server, or leaves it waiting for one.
    pub(super) fn place(&mut self, now_ms: TimeMs, id: u64, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage != Stage::Placing {
            return;
        }
        let verdict = self.suspects.status(request.fingerprint, now_ms);
        if verdict == SuspectStatus::Quarantined {
            let outcome = request.outcome();
            self.fail(id, RefusalReason::Poisonous, outcome, 0, actions);
            return;
        }
        let target = request.target.clone();
        let excluded = request.excluded.clone();
        let priority = request.priority;
        let is_suspect = verdict == SuspectStatus::Suspect;
        if let Some(reason) = self.unanswerable(now_ms, &target) {
            self.fail(id, reason, Outcome::Unknown, 0, actions);
            return;
        }
        let route = match &target {
            Target::Model { .. } if is_suspect => self.suspect_route(id),
            Target::Model { adapter } => self.model_route(now_ms, adapter, priority, &excluded),
            Target::Call {
                service,
                key: Some(key),
                ..
            } => self.job_route(now_ms, service, key),
            Target::Call { service, .. } => self.call_route(service, &excluded),
        };
        match route {
            Some(route) => {
                self.send_attempt(now_ms, id, &route, actions);
                if route.loads
                    && let Target::Model { adapter } = &target
                {
                    self.place_for_adapter(now_ms, adapter, actions);
                }
            }
            None => self.give_up_placing(now_ms, id, actions),
        }
    }

    /// Chooses a server for an adapter, with the policy.
    pub(super) fn choose(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        priority: u32,
        excluded: &[Arc<str>],
    ) -> Option<PlacementChoice> {
        let situation = PlacementContext {
            servers: &self.servers,
            excluded,
            deployment: &self.adoption.table().deployment,
            budget_wait_ms: self.load_budget.wait_ms(now_ms, priority),
        };
        self.policy.choose(now_ms, adapter, situation)
    }

    fn model_route(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        priority: u32,
        excluded: &[Arc<str>],
    ) -> Option<Route> {
        match self.choose(now_ms, adapter, priority, excluded)? {
            PlacementChoice::Resident(vm) => Some(Route::to(vm)),
            PlacementChoice::Load(vm) => self.load_budget.take(now_ms, priority).then(|| {
                self.servers.insert_resident(&vm, adapter);
                self.servers.get_or_insert(&vm).loads_since_report += 1;
                Route { vm, loads: true }
            }),
        }
    }

    /// Returns the one server on which a suspect may run, by the rank of its fingerprint.
    fn suspect_route(&self, id: u64) -> Option<Route> {
        let fingerprint = self.requests.get(&id)?.fingerprint.to_string();
        self.servers
            .iter()
            .filter(|(_, view)| view.is_live && view.slots > 0)
            .max_by_key(|(vm, _)| rendezvous::score(&fingerprint, vm))
            .map(|(vm, _)| Route::to(Arc::clone(vm)))
    }

    /// Returns why no home can be named for a job's key, however long it waits.
    fn unanswerable(&self, now_ms: TimeMs, target: &Target) -> Option<RefusalReason> {
        let Target::Call {
            service,
            key: Some(key),
            ..
        } = target
        else {
            return None;
        };
        let span = self.key_span(now_ms, service, key);
        let rosters = self.adoption.rosters();
        if rosters.owner_slot(service, key.text(), span).is_some() {
            return None;
        }
        if rosters.is_before_first_roster(span) {
            Some(RefusalReason::JobMayHaveRun)
        } else {
            Some(RefusalReason::NoJobLease)
        }
    }

    fn key_span(&self, now_ms: TimeMs, service: &str, key: &JobKey) -> KeySpan {
        let horizon_ms = self
            .adoption
            .table()
            .roster
            .rows
            .iter()
            .find(|row| &*row.service == service)
            .map_or(0, |row| row.opaque_horizon_ms);
        key.span(now_ms, horizon_ms)
    }

    /// Returns the home of a job's key.
    fn job_route(&self, now_ms: TimeMs, service: &str, key: &JobKey) -> Option<Route> {
        let span = self.key_span(now_ms, service, key);
        let home = self
            .adoption
            .rosters()
            .owner_slot(service, key.text(), span)?;
        let holder = self.list.holder(service, &home.slot)?;
        let is_live = self.servers.get(&holder.vm)?.is_live;
        is_live.then(|| Route::to(Arc::clone(&holder.vm)))
    }

    /// Returns the least loaded server of a plain service.
    fn call_route(&self, service: &str, excluded: &[Arc<str>]) -> Option<Route> {
        self.list
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Service && &*vm.service == service)
            .filter(|vm| !excluded.contains(&vm.vm))
            .filter_map(|vm| Some((vm, self.servers.get(&vm.vm)?)))
            .filter(|(_, view)| view.is_live)
            .min_by_key(|(_, view)| view.occupied())
            .map(|(vm, _)| Route::to(Arc::clone(&vm.vm)))
    }

    fn send_attempt(
        &mut self,
        now_ms: TimeMs,
        id: u64,
        route: &Route,
        actions: &mut Vec<EntryAction>,
    ) {
        let number = self.next_attempt;
        let incarnation = self.membership.incarnation(&route.vm).unwrap_or_default();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.next_attempt += 1;
        request.attempts += 1;
        request.stage = Stage::Sent(Attempt {
            number,
            vm: Arc::clone(&route.vm),
            incarnation,
            next_sequence: 0,
            link_lost_ms: None,
        });
        let request = request.clone();
        self.stop_waiting(id, &request);
        let submit = Submit {
            attempt: number,
            fingerprint: request.fingerprint,
            budget_ms: request.deadline_ms.saturating_sub(now_ms),
            priority: request.priority,
            body: request.body.clone(),
            work: Some(self.work(now_ms, &request)),
        };
        self.by_attempt.insert(number, id);
        let view = self.servers.get_or_insert(&route.vm);
        view.in_flight += 1;
        view.sent_since_report += 1;
        send(actions, &route.vm, submit);
    }

    /// Refuses a request for which no server is left, or none has appeared in time.
    fn give_up_placing(&mut self, now_ms: TimeMs, id: u64, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_model = matches!(request.target, Target::Model { .. });
        let has_candidate = is_model
            && self
                .servers
                .iter()
                .any(|(vm, view)| view.is_live && view.slots > 0 && !request.excluded.contains(vm));
        let is_exhausted =
            request.key().is_none() && !request.excluded.is_empty() && !has_candidate;
        let waited_ms = now_ms.saturating_sub(request.placing_since_ms);
        let may_wait = !is_exhausted && waited_ms < self.settings.placement_window_ms;
        // With a candidate, the request waits for the load budget or a slot until its deadline.
        if has_candidate || may_wait {
            return;
        }
        let outcome = request.outcome();
        self.fail(id, RefusalReason::NoServer, outcome, 1_000, actions);
    }

    /// Places requests for which the load budget or a server has become free.
    pub(super) fn place_waiting(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        for id in self.waiting.calls() {
            self.place(now_ms, id, actions);
        }
        for id in self.waiting.first(MAX_TRIED) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if self.load_budget.wait_ms(now_ms, request.priority) > 0 {
                return;
            }
            self.place(now_ms, id, actions);
        }
    }

    /// Places requests that wait for an adapter which a server now holds or loads.
    pub(super) fn place_for_adapter(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.waiting.for_adapter(adapter) {
            self.place(now_ms, id, actions);
        }
    }

    /// Places a request again after its attempt has ended; returns false if it may not be repeated.
    pub(super) fn retry(
        &mut self,
        now_ms: TimeMs,
        id: u64,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        let max_attempts = self.settings.max_attempts;
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        if request.attempts >= max_attempts || !self.retry_budget.withdraw() {
            return false;
        }
        request.stage = Stage::Placing;
        request.placing_since_ms = now_ms;
        self.start_waiting(id);
        actions.push(EntryAction::Retried { reason });
        self.place(now_ms, id, actions);
        true
    }

    /// Returns the uses of an adapter in the whole fleet, judged by this entry's part of them.
    fn past_milli_uses(&self, now_ms: TimeMs, adapter: &AdapterRef) -> u32 {
        let own = self.demand.count(adapter, now_ms);
        (own * self.membership.entry_count() as f64 * 1_000.0) as u32
    }

    fn work(&self, now_ms: TimeMs, request: &Request) -> Work {
        match &request.target {
            Target::Model { adapter } => Work::Model(ModelPart {
                adapter: Some(Adapter::from(adapter)),
                past_milli_uses: self.past_milli_uses(now_ms, adapter),
            }),
            Target::Call {
                service,
                method,
                path,
                content_type,
                key,
            } => Work::Job(JobPart {
                service: service.to_string(),
                method: method.to_string(),
                path: path.to_string(),
                content_type: content_type.to_string(),
                key: key
                    .as_ref()
                    .map_or_else(String::new, |key| key.text().to_string()),
                epoch: request.epoch,
            }),
        }
    }
}
