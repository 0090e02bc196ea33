//! The authority over one backend server.
//!
//! An agent alone decides what its server runs, loads and evicts. It trusts no belief of an entry:
//! a stale entry can be inefficient, never wrong.
//!
//! ```
//! use magnoliasail_core::{Agent, AgentAction, AgentEvent, AgentSettings};
//!
//! let mut agent = Agent::new(AgentSettings::default(), 1, 0);
//! let mut actions = Vec::new();
//! agent.handle(0, AgentEvent::Drain, &mut actions);
//! assert!(actions.contains(&AgentAction::Drained));
//! ```

mod action;
mod event;
mod jobs;
mod loads;
mod reports;
mod run;
mod settings;
mod streams;
mod tables;

pub use self::{
    action::{AgentAction, RunOrder, RunTarget},
    event::{AgentEvent, RunFailure},
    settings::AgentSettings,
};

use {
    self::{
        loads::PendingLoad,
        reports::ReportState,
        run::{Run, Stage, Work},
    },
    crate::{
        AdapterRef, Lookup, RefusalReason, SlotTable, Suspects, TimeMs, Verdict,
        job::{JobLease, JobLedger},
        message::{
            Accepted, AgentHello, AgentMessage, DrainNotice, EntryHello, EntryMessage, Failed,
            HolderNotice, JobPart, ModelPart, Refused, Submit, SuspectNotice, entry_message,
            submit,
        },
        table::Adoption,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// A link from an entry, as numbered by the daemon.
pub type LinkId = u64;

/// A run on the backend server.
pub type RunId = u64;

/// Bits below the start time in numbers that must differ between incarnations.
const NONCE_BITS: u32 = 16;

/// Why an attempt is refused, and what that proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Refusal {
    reason: RefusalReason,
    covers_key: bool,
    epoch: u64,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            covers_key: false,
            epoch: 0,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Link {
    entry: Option<u64>,
}

/// The state of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    settings: AgentSettings,
    incarnation: u64,
    adoption: Adoption,
    lease: JobLease,
    ledger: JobLedger,
    suspects: Suspects,
    slots: SlotTable,
    pending_loads: BTreeMap<usize, PendingLoad>,
    links: BTreeMap<LinkId, Link>,
    watermarks: HashMap<u64, u64>,
    runs: BTreeMap<RunId, Run>,
    by_attempt: HashMap<(u64, u64), RunId>,
    next_run: RunId,
    draining: bool,
    listed_leaving: bool,
    drained: bool,
    report: ReportState,
}

impl Agent {
    /// Creates the agent of an incarnation that starts at `now_ms` on the VM's clock.
    ///
    /// The random `nonce` keeps apart incarnations that start in the same millisecond.
    #[must_use]
    pub fn new(settings: AgentSettings, nonce: u16, now_ms: TimeMs) -> Self {
        Self {
            incarnation: (now_ms << NONCE_BITS) | u64::from(nonce),
            adoption: Adoption::default(),
            lease: JobLease::new(now_ms),
            ledger: JobLedger::new(settings.max_jobs, settings.max_job_answer_bytes),
            suspects: Suspects::default(),
            slots: SlotTable::new(settings.adapter_slots),
            pending_loads: BTreeMap::new(),
            links: BTreeMap::new(),
            watermarks: HashMap::new(),
            runs: BTreeMap::new(),
            by_attempt: HashMap::new(),
            next_run: now_ms << NONCE_BITS,
            draining: false,
            listed_leaving: false,
            drained: false,
            report: ReportState::default(),
            settings,
        }
    }

    /// Handles one event at `now_ms` and appends the actions it calls for.
    pub fn handle(&mut self, now_ms: TimeMs, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::LinkUp { link } => self.link_up(now_ms, link, actions),
            AgentEvent::LinkDown { link } => self.link_down(now_ms, link),
            AgentEvent::Message { link, message } => self.message(now_ms, link, message, actions),
            AgentEvent::Head {
                run,
                status,
                content_type,
                model,
            } => self.head(run, status, &content_type, &model, actions),
            AgentEvent::Chunk { run, data } => self.chunk(run, data, actions),
            AgentEvent::End { run } => self.run_ended(now_ms, run, actions),
            AgentEvent::RunFailed { run, failure } => {
                self.run_failed(now_ms, run, failure, actions);
            }
            AgentEvent::Loaded { slot, generation } => {
                self.loaded(now_ms, slot, generation);
            }
            AgentEvent::LoadFailed {
                slot,
                generation,
                is_store_refusal,
            } => self.load_failed(now_ms, slot, generation, is_store_refusal, actions),
            AgentEvent::ServerCrashed => self.server_crashed(now_ms, actions),
            AgentEvent::Drain => self.start_drain(actions),
            AgentEvent::Tick => self.tick(now_ms, actions),
        }
        self.start_runs(now_ms, actions);
        self.finish_drain(actions);
    }

    /// Returns the number that orders this incarnation after its predecessors on the VM.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the version of the table in force, zero for none.
    #[must_use]
    pub fn table_version(&self) -> u64 {
        self.adoption.version()
    }

    /// Returns the table in force and its confirmation.
    #[must_use]
    pub const fn adoption(&self) -> &Adoption {
        &self.adoption
    }

    /// Returns the adapter slots.
    #[must_use]
    pub const fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Returns the numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let running = self.runs.values().filter(|run| run.is_running()).count();
        let waiting = self.waiting();
        (running, waiting)
    }

    /// Returns the number of fingerprints under quarantine.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether the agent refuses new work because it is leaving.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining || self.listed_leaving
    }

    fn waiting(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.stage == Stage::Waiting)
            .count()
    }

    fn link_up(&mut self, now_ms: TimeMs, link: LinkId, actions: &mut Vec<AgentAction>) {
        self.links.insert(link, Link::default());
        let hello = AgentHello {
            vm: self.settings.vm.to_string(),
            incarnation: self.incarnation,
            table_version: self.table_version(),
            draining: self.is_draining(),
        };
        send(actions, link, hello);
        let report = self.full_report();
        send(actions, link, report);
        for (fingerprint, verdict) in self.suspects.iter(now_ms) {
            let verdict = verdict.code();
            send(
                actions,
                link,
                SuspectNotice {
                    fingerprint,
                    verdict,
                },
            );
        }
    }

    fn link_down(&mut self, now_ms: TimeMs, link: LinkId) {
        self.links.remove(&link);
        for run in self.runs.values_mut() {
            if run.link == Some(link) {
                run.link = None;
                run.orphaned_ms = Some(now_ms);
            }
        }
    }

    fn message(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        message: EntryMessage,
        actions: &mut Vec<AgentAction>,
    ) {
        use entry_message::Kind;
        if !self.links.contains_key(&link) {
            return;
        }
        match message.kind {
            Some(Kind::Hello(hello)) => self.entry_hello(link, &hello, actions),
            Some(Kind::Submit(submit)) => self.submit(now_ms, link, submit, actions),
            Some(Kind::Cancel(cancel)) => self.cancel(now_ms, link, cancel.attempt, actions),
            Some(Kind::Resume(resume)) => self.resume(link, &resume, actions),
            Some(Kind::Acknowledge(ack)) => self.acknowledge(link, ack.attempt),
            Some(Kind::Holder(notice)) => self.holder(&notice, actions),
            Some(Kind::Table(pages)) => self.offered_table(link, &pages, actions),
            Some(Kind::TableQuery(query)) => self.table_query(link, query.version, actions),
            Some(Kind::Suspect(notice)) => self.suspect_notice(now_ms, &notice),
            None => {}
        }
    }

    fn entry_hello(&mut self, link: LinkId, hello: &EntryHello, actions: &mut Vec<AgentAction>) {
        if let Some(known) = self.links.get_mut(&link) {
            known.entry = Some(hello.entry);
        }
        let version = self.table_version();
        if hello.table_version > version {
            send(actions, link, crate::message::TableQuery { version });
        } else if hello.table_version < version {
            self.table_query(link, hello.table_version, actions);
        }
    }

    fn holder(&mut self, notice: &HolderNotice, actions: &mut Vec<AgentAction>) {
        if notice.as_of_ms <= self.lease.seen_ms() {
            return;
        }
        self.lease
            .observe(notice.as_of_ms, notice.vm == *self.settings.vm);
        let was_draining = self.is_draining();
        self.listed_leaving = notice.leaving;
        if self.is_draining() && !was_draining {
            self.broadcast(DrainNotice {}, actions);
        }
    }

    fn suspect_notice(&mut self, now_ms: TimeMs, notice: &SuspectNotice) {
        let verdict = Verdict::from_code(notice.verdict);
        self.suspects.learn(notice.fingerprint, verdict, now_ms);
    }

    fn submit(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        mut submit: Submit,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(entry) = self.links.get(&link).and_then(|link| link.entry) else {
            return;
        };
        // A number at or below the watermark is a duplicate of an attempt that was seen before.
        let watermark = self.watermarks.entry(entry).or_default();
        if submit.attempt <= *watermark {
            return;
        }
        *watermark = submit.attempt;
        let attempt = submit.attempt;
        let result = match submit.work.take() {
            Some(submit::Work::Model(part)) => {
                self.submit_model(now_ms, link, entry, submit, &part, actions)
            }
            Some(submit::Work::Job(part)) => {
                self.submit_call(now_ms, link, entry, submit, &part, actions)
            }
            None => Err(RefusalReason::BadRequest.into()),
        };
        if let Err(refusal) = result {
            self.refuse(link, attempt, refusal, actions);
        }
    }

    fn submit_model(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        entry: u64,
        submit: Submit,
        part: &ModelPart,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        let adapter = part.adapter.as_ref().ok_or(RefusalReason::BadRequest)?;
        if !self.settings.service.is_empty() {
            return Err(RefusalReason::NoServer.into());
        }
        let is_suspect = self.check_admission(now_ms, &submit)?;
        let adapter = AdapterRef::from(adapter);
        let past_uses = f64::from(part.past_milli_uses) / 1_000.0;
        let slot = match self.slots.pin(&adapter, past_uses, now_ms) {
            Lookup::Ready { slot } | Lookup::Loading { slot } => slot,
            Lookup::Load { slot, evicted } => {
                self.order_load(slot, &adapter, evicted, actions);
                slot
            }
            Lookup::Busy => return Err(RefusalReason::SlotsBusy.into()),
        };
        let generation = self.slots.generation(slot);
        let work = Work::Model {
            adapter,
            slot,
            generation,
        };
        self.accept(now_ms, link, entry, submit, work, is_suspect, actions);
        Ok(())
    }

    fn submit_call(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        entry: u64,
        submit: Submit,
        part: &JobPart,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        if part.service != *self.settings.service {
            return Err(RefusalReason::NotHome.into());
        }
        if !part.key.is_empty() {
            return self.submit_job(now_ms, link, entry, submit, part, actions);
        }
        let is_suspect = self.check_admission(now_ms, &submit)?;
        let work = call_work(part, None);
        self.accept(now_ms, link, entry, submit, work, is_suspect, actions);
        Ok(())
    }

    /// Returns whether the request must run alone, or why it is refused.
    fn check_admission(&self, now_ms: TimeMs, submit: &Submit) -> Result<bool, RefusalReason> {
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if self.adoption.version() == 0 {
            return Err(RefusalReason::NotConfigured);
        }
        if self.waiting() >= self.settings.max_queue {
            return Err(RefusalReason::QueueFull);
        }
        match self.suspects.verdict(submit.fingerprint, now_ms) {
            Verdict::Clear => Ok(false),
            Verdict::Condemned => Err(RefusalReason::Poisonous),
            Verdict::Suspect => {
                let has_suspect = self
                    .runs
                    .values()
                    .any(|run| run.is_suspect && run.stage != Stage::Ended);
                if has_suspect {
                    return Err(RefusalReason::SuspectBusy);
                }
                Ok(true)
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one run has parts of four origins"
    )]
    fn accept(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        entry: u64,
        submit: Submit,
        work: Work,
        is_suspect: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = submit.attempt;
        self.add_run(now_ms, link, entry, submit, work, is_suspect);
        send(actions, link, Accepted { attempt });
    }

    fn add_run(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        entry: u64,
        submit: Submit,
        work: Work,
        is_suspect: bool,
    ) -> RunId {
        let id = self.next_run;
        self.next_run += 1;
        let run = Run {
            id,
            entry,
            attempt: submit.attempt,
            link: Some(link),
            orphaned_ms: None,
            work,
            stage: Stage::Waiting,
            given_up: None,
            fingerprint: submit.fingerprint,
            is_suspect,
            priority: submit.priority,
            body: submit.body,
            accepted_ms: now_ms,
            deadline_ms: now_ms.saturating_add(submit.budget_ms),
            head: None,
            chunks: Vec::new(),
            retained_bytes: 0,
            ending: None,
        };
        self.by_attempt.insert((entry, run.attempt), id);
        self.runs.insert(id, run);
        id
    }

    fn refuse(&self, link: LinkId, attempt: u64, refusal: Refusal, actions: &mut Vec<AgentAction>) {
        actions.push(AgentAction::Refused {
            reason: refusal.reason,
        });
        send(actions, link, self.refused(attempt, refusal));
    }

    fn refused(&self, attempt: u64, refusal: Refusal) -> Refused {
        Refused {
            attempt,
            reason: refusal.reason.code(),
            retry_after_ms: self.retry_after_ms(),
            covers_key: refusal.covers_key,
            epoch: refusal.epoch,
            load: Some(self.brief_report()),
        }
    }

    fn retry_after_ms(&self) -> u64 {
        const BASE_MS: u64 = 250;
        const PER_WAITING_MS: u64 = 25;
        BASE_MS + PER_WAITING_MS * self.waiting() as u64
    }

    /// Hands waiting requests to the server while it has room, by priority, then by age.
    fn start_runs(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        loop {
            let running = self.runs.values().filter(|run| run.is_running()).count();
            let is_exclusive = self
                .runs
                .values()
                .any(|run| run.is_running() && run.is_suspect);
            if running >= self.settings.capacity || is_exclusive {
                return;
            }
            let Some(id) = self.next_to_start() else {
                return;
            };
            if self.runs[&id].is_suspect && running > 0 {
                return;
            }
            self.start_run(now_ms, id, actions);
        }
    }

    fn next_to_start(&self) -> Option<RunId> {
        let is_startable = |run: &&Run| {
            run.stage == Stage::Waiting
                && run.slot().is_none_or(|(slot, generation)| {
                    self.slots.is_ready(slot) && self.slots.generation(slot) == generation
                })
        };
        // A suspect goes first, so that it does not starve while others keep the server busy.
        self.runs
            .values()
            .filter(is_startable)
            .min_by_key(|run| (!run.is_suspect, u32::MAX - run.priority, run.id))
            .map(|run| run.id)
    }

    fn start_run(&mut self, now_ms: TimeMs, id: RunId, actions: &mut Vec<AgentAction>) {
        let fencing = self.lease.fencing();
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.stage = Stage::Running;
        self.report.stalled(run, now_ms);
        let target = match &run.work {
            Work::Model { adapter, .. } => RunTarget::Model {
                adapter: adapter.clone(),
            },
            Work::Call {
                method,
                path,
                content_type,
                key,
            } => RunTarget::Call {
                method: Arc::clone(method),
                path: Arc::clone(path),
                content_type: Arc::clone(content_type),
                key: key.as_ref().map_or("".into(), |key| Arc::clone(key.text())),
                fencing: key.as_ref().map_or(0, |_| fencing),
            },
        };
        let order = RunOrder {
            target,
            priority: run.priority,
            body: run.body.clone(),
            budget_ms: run.deadline_ms.saturating_sub(now_ms),
        };
        actions.push(AgentAction::Run { run: id, order });
    }

    fn cancel(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        attempt: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(id) = self.find(link, attempt) else {
            return;
        };
        self.cancel_run(now_ms, id, RefusalReason::CallerGone, actions);
    }

    /// Takes back a run that waits and cancels one that runs, unless it is a job.
    fn cancel_run(
        &mut self,
        now_ms: TimeMs,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        match run.stage {
            Stage::Waiting => self.refuse_run(now_ms, id, reason, actions),
            Stage::Running if run.key().is_none() => self.abort_run(id, reason, actions),
            Stage::Running | Stage::Cancelling => {}
            Stage::Ended => self.forget(id),
        }
    }

    /// Cancels a run at the server; its pin stays until the server has confirmed it.
    fn abort_run(&mut self, id: RunId, reason: RefusalReason, actions: &mut Vec<AgentAction>) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stage = Stage::Cancelling;
            run.given_up = Some(reason);
            actions.push(AgentAction::CancelRun { run: id });
        }
    }

    /// Gives up a run that was never handed to the server.
    fn refuse_run(
        &mut self,
        now_ms: TimeMs,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        debug_assert!(run.accepted_ms <= now_ms);
        let attempt = run.attempt;
        let key = run.key().map(|key| Arc::clone(key.text()));
        let refusal = Refusal {
            reason,
            covers_key: key.is_some(),
            epoch: key.map_or(0, |key| self.ledger.withdraw(&key)),
        };
        actions.push(AgentAction::Refused { reason });
        let ending = self.refused(attempt, refusal).into();
        self.end_run(id, ending, actions);
    }

    /// Gives up a run that may have run.
    fn fail_run(&mut self, id: RunId, reason: RefusalReason, actions: &mut Vec<AgentAction>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let attempt = run.attempt;
        if let Some(key) = run.key() {
            let key = Arc::clone(key.text());
            self.ledger.lose(&key);
        }
        actions.push(AgentAction::Refused { reason });
        let reason = reason.code();
        self.end_run(id, Failed { attempt, reason }.into(), actions);
    }

    /// Gives a run its final answer and releases its pin.
    fn end_run(&mut self, id: RunId, ending: AgentMessage, actions: &mut Vec<AgentAction>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some((slot, generation)) = run.slot() {
            self.slots.unpin(slot, generation);
        }
        run.stage = Stage::Ended;
        run.body.clear();
        run.ending = Some(ending.clone());
        if let Some(link) = run.link {
            send(actions, link, ending);
        }
    }

    fn forget(&mut self, id: RunId) {
        if let Some(run) = self.runs.remove(&id) {
            self.by_attempt.remove(&(run.entry, run.attempt));
        }
    }

    fn find(&self, link: LinkId, attempt: u64) -> Option<RunId> {
        let entry = self.links.get(&link)?.entry?;
        self.by_attempt.get(&(entry, attempt)).copied()
    }

    fn start_drain(&mut self, actions: &mut Vec<AgentAction>) {
        if !self.draining {
            self.draining = true;
            self.broadcast(DrainNotice {}, actions);
        }
    }

    fn finish_drain(&mut self, actions: &mut Vec<AgentAction>) {
        if self.draining && !self.drained && self.runs.is_empty() {
            self.drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    fn tick(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        self.expire_runs(now_ms, actions);
        self.retry_loads(now_ms, actions);
        self.send_reports(now_ms, actions);
    }

    fn expire_runs(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let window_ms = self.settings.resume_window_ms;
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        for id in ids {
            let run = &self.runs[&id];
            let is_orphan = run
                .orphaned_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > window_ms);
            let is_late = now_ms >= run.deadline_ms;
            match run.stage {
                Stage::Ended if is_orphan => self.forget(id),
                Stage::Waiting if is_late => {
                    self.refuse_run(now_ms, id, RefusalReason::DeadlineExceeded, actions);
                }
                Stage::Waiting | Stage::Running if is_orphan => {
                    self.cancel_run(now_ms, id, RefusalReason::LinkLost, actions);
                }
                Stage::Running if is_late => {
                    self.cancel_run(now_ms, id, RefusalReason::DeadlineExceeded, actions);
                }
                _ => {}
            }
        }
    }

    fn broadcast<M>(&self, message: M, actions: &mut Vec<AgentAction>)
    where
        M: Into<AgentMessage> + Clone,
    {
        for &link in self.links.keys() {
            send(actions, link, message.clone());
        }
    }
}

fn call_work(part: &JobPart, key: Option<crate::job::JobKey>) -> Work {
    Work::Call {
        method: part.method.as_str().into(),
        path: part.path.as_str().into(),
        content_type: part.content_type.as_str().into(),
        key,
    }
}

fn send<M: Into<AgentMessage>>(actions: &mut Vec<AgentAction>, link: LinkId, message: M) {
    actions.push(AgentAction::Send {
        link,
        message: message.into(),
    });
}
