//! Placement of admitted requests: choice of a server, load budget, attempts and retries.

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
        message::{Adapter, JobWork, ModelWork, Submit, submit::Work},
        rendezvous,
    },
    std::sync::Arc,
};

/// Maximum number of model requests that one pass tries to place.
///
/// It is more than one, because the first requests may find no free slot.
const MAX_PLACED_PER_PASS: usize = 8;

/// Server that an attempt goes to.
struct Route {
    vm: Arc<str>,
    /// Whether the server must load the adapter for the attempt.
    is_load: bool,
}

impl Route {
    const fn to(vm: Arc<str>) -> Self {
        Self { vm, is_load: false }
    }
}

impl<P: Placement> Entry<P> {
    /// Sends a request to a server, or leaves it pending if none can take it yet.
    pub(super) fn place(&mut self, now_ms: TimeMs, id: u64, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage != Stage::Placing {
            return;
        }
        let status = self.suspects.status(request.fingerprint, now_ms);
        if status == SuspectStatus::Quarantined {
            let outcome = request.outcome();
            self.fail_request(id, RefusalReason::Poisonous, outcome, 0, actions);
            return;
        }
        let target = request.target.clone();
        let excluded = request.excluded.clone();
        let priority = request.priority;
        let is_suspect = status == SuspectStatus::Suspect;
        if let Some(reason) = self.permanent_job_refusal(now_ms, &target) {
            self.fail_request(id, reason, Outcome::Unknown, 0, actions);
            return;
        }
        let route = match &target {
            Target::Model { .. } if is_suspect => self.suspect_route(id),
            Target::Model { adapter } => self.model_route(now_ms, adapter, priority, &excluded),
            Target::Service {
                service,
                key: Some(key),
                ..
            } => self.job_route(now_ms, service, key),
            Target::Service { service, .. } => self.service_route(service, &excluded),
        };
        match route {
            Some(route) => {
                self.send_attempt(now_ms, id, &route, actions);
                if route.is_load
                    && let Target::Model { adapter } = &target
                {
                    self.place_for_adapter(now_ms, adapter, actions);
                }
            }
            None => self.fail_if_unplaceable(now_ms, id, actions),
        }
    }

    /// Chooses a server for an adapter by the placement policy.
    pub(super) fn choose(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        priority: u32,
        excluded: &[Arc<str>],
    ) -> Option<PlacementChoice> {
        let context = PlacementContext {
            servers: &self.servers,
            excluded,
            deployment: &self.active_table.table().deployment,
            budget_wait_ms: self.load_budget.wait_ms(now_ms, priority),
        };
        self.policy.choose(now_ms, adapter, context)
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
                Route { vm, is_load: true }
            }),
        }
    }

    /// Returns the only server on which a suspect request may run.
    ///
    /// It is the live server with the highest rendezvous score for the request's fingerprint.
    fn suspect_route(&self, id: u64) -> Option<Route> {
        let fingerprint = self.requests.get(&id)?.fingerprint.to_string();
        self.servers
            .iter()
            .filter(|(_, view)| view.is_live && view.slots > 0)
            .max_by_key(|(vm, _)| rendezvous::score(&fingerprint, vm))
            .map(|(vm, _)| Route::to(Arc::clone(vm)))
    }

    /// Returns why a job can never be placed, if its key has no owner slot in the known rosters.
    fn permanent_job_refusal(&self, now_ms: TimeMs, target: &Target) -> Option<RefusalReason> {
        let Target::Service {
            service,
            key: Some(key),
            ..
        } = target
        else {
            return None;
        };
        let span = self.key_span(now_ms, service, key);
        let rosters = self.active_table.rosters();
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
            .active_table
            .table()
            .roster
            .rows
            .iter()
            .find(|row| &*row.service == service)
            .map_or(0, |row| row.opaque_horizon_ms);
        key.span(now_ms, horizon_ms)
    }

    /// Returns the VM that holds the owner slot of a job's key, if it is live.
    fn job_route(&self, now_ms: TimeMs, service: &str, key: &JobKey) -> Option<Route> {
        let span = self.key_span(now_ms, service, key);
        let owner = self
            .active_table
            .rosters()
            .owner_slot(service, key.text(), span)?;
        let holder = self.vm_list.holder(service, &owner.slot)?;
        let is_live = self.servers.get(&holder.vm)?.is_live;
        is_live.then(|| Route::to(Arc::clone(&holder.vm)))
    }

    /// Returns the least loaded live server of a service.
    fn service_route(&self, service: &str, excluded: &[Arc<str>]) -> Option<Route> {
        self.vm_list
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
        self.remove_pending(id, &request);
        let submit = Submit {
            attempt: number,
            fingerprint: request.fingerprint,
            budget_ms: request.deadline_ms.saturating_sub(now_ms),
            priority: request.priority,
            body: request.body.clone(),
            work: Some(self.build_work(now_ms, &request)),
        };
        self.request_by_attempt.insert(number, id);
        let view = self.servers.get_or_insert(&route.vm);
        view.in_flight += 1;
        view.sent_since_report += 1;
        send(actions, &route.vm, submit);
    }

    /// Fails a request if every server was tried, or if none was available in the placement window.
    fn fail_if_unplaceable(&mut self, now_ms: TimeMs, id: u64, actions: &mut Vec<EntryAction>) {
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
        self.fail_request(id, RefusalReason::NoServer, outcome, 1_000, actions);
    }

    /// Places pending requests, for which the load budget or a server may have become available.
    pub(super) fn place_pending(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        for id in self.pending.service_requests() {
            self.place(now_ms, id, actions);
        }
        for id in self.pending.highest_priority(MAX_PLACED_PER_PASS) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if self.load_budget.wait_ms(now_ms, request.priority) > 0 {
                return;
            }
            self.place(now_ms, id, actions);
        }
    }

    /// Places pending requests for an adapter that a server now holds or loads.
    pub(super) fn place_for_adapter(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.pending.for_adapter(adapter) {
            self.place(now_ms, id, actions);
        }
    }

    /// Places a request again after its attempt has ended.
    ///
    /// Returns `false` if the request has no attempts left or the retry budget is spent.
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
        self.add_pending(id);
        actions.push(EntryAction::Retried { reason });
        self.place(now_ms, id, actions);
        true
    }

    /// Returns the recent uses of an adapter in the whole fleet, in thousandths.
    ///
    /// They are estimated as this entry's own uses times the number of entries.
    fn past_milli_uses(&self, now_ms: TimeMs, adapter: &AdapterRef) -> u32 {
        let own_uses = self.demand.count(adapter, now_ms);
        (own_uses * self.membership.entry_count() as f64 * 1_000.0) as u32
    }

    fn build_work(&self, now_ms: TimeMs, request: &Request) -> Work {
        match &request.target {
            Target::Model { adapter } => Work::Model(ModelWork {
                adapter: Some(Adapter::from(adapter)),
                past_milli_uses: self.past_milli_uses(now_ms, adapter),
            }),
            Target::Service {
                service,
                method,
                path,
                content_type,
                key,
            } => Work::Job(JobWork {
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
