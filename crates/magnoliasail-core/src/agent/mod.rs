//! The state machine that controls one backend server.
//!
//! An agent alone decides what its server runs, loads and evicts. It does not rely on an entry's
//! view of the server: an entry with stale state can make a placement inefficient, but never
//! incorrect.
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
mod admission;
mod answers;
mod event;
mod jobs;
mod lifecycle;
mod loads;
mod reports;
mod run;
mod settings;
mod tables;

pub use self::{
    action::{AgentAction, RequestTarget, ServerRequest},
    event::{AgentEvent, RunFailure},
    settings::AgentSettings,
};

use {
    self::{
        loads::PendingLoad,
        reports::ReportState,
        run::{Run, Stage},
    },
    crate::{
        RefusalReason, SlotTable, SuspectStatus, Suspects, TimeMs,
        job::{JobLease, JobLedger},
        message::{
            AgentHello, AgentMessage, DrainNotice, EntryHello, EntryMessage, HolderNotice,
            SuspectNotice, TableQuery, entry_message,
        },
        table::ActiveTable,
    },
    std::collections::{BTreeMap, HashMap},
};

/// ID of a link from an entry, assigned by the daemon.
pub type LinkId = u64;

/// ID of a run on the backend server, assigned by the agent.
pub type RunId = u64;

/// Number of bits below the start time in incarnation numbers and run IDs, which must differ
/// between incarnations.
const NONCE_BITS: u32 = 16;

/// Why an attempt is refused, and what the refusal guarantees about its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Refusal {
    reason: RefusalReason,
    /// Whether the refusal also guarantees that no earlier attempt with the same key ran.
    covers_key: bool,
    /// Epoch of the key after the refusal.
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
    /// ID of the entry, known once its hello has arrived.
    entry: Option<u64>,
}

/// The state machine of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    settings: AgentSettings,
    incarnation: u64,
    active_table: ActiveTable,
    lease: JobLease,
    ledger: JobLedger,
    suspects: Suspects,
    slots: SlotTable,
    pending_loads: BTreeMap<usize, PendingLoad>,
    links: BTreeMap<LinkId, Link>,
    /// Highest attempt number of each entry that was seen or ruled out.
    attempt_watermarks: HashMap<u64, u64>,
    runs: BTreeMap<RunId, Run>,
    /// Runs by the entry's ID and its attempt number.
    by_attempt: HashMap<(u64, u64), RunId>,
    next_run_id: RunId,
    is_drain_requested: bool,
    /// Whether the platform's list marks this VM as leaving.
    is_listed_leaving: bool,
    has_drained: bool,
    report: ReportState,
}

impl Agent {
    /// Creates an agent whose incarnation starts at `now_ms` on the VM's clock.
    ///
    /// The random `nonce` distinguishes incarnations that start in the same millisecond.
    #[must_use]
    pub fn new(settings: AgentSettings, nonce: u16, now_ms: TimeMs) -> Self {
        Self {
            incarnation: (now_ms << NONCE_BITS) | u64::from(nonce),
            active_table: ActiveTable::default(),
            lease: JobLease::new(now_ms),
            ledger: JobLedger::new(settings.max_jobs, settings.max_job_answer_bytes),
            suspects: Suspects::default(),
            slots: SlotTable::new(settings.adapter_slots),
            pending_loads: BTreeMap::new(),
            links: BTreeMap::new(),
            attempt_watermarks: HashMap::new(),
            runs: BTreeMap::new(),
            by_attempt: HashMap::new(),
            next_run_id: now_ms << NONCE_BITS,
            is_drain_requested: false,
            is_listed_leaving: false,
            has_drained: false,
            report: ReportState::default(),
            settings,
        }
    }

    /// Handles one event at `now_ms` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: TimeMs, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::LinkUp { link } => self.handle_link_up(now_ms, link, actions),
            AgentEvent::LinkDown { link } => self.handle_link_down(now_ms, link),
            AgentEvent::Message { link, message } => {
                self.handle_message(now_ms, link, message, actions);
            }
            AgentEvent::Head {
                run,
                status,
                content_type,
                model,
            } => self.handle_head(run, status, &content_type, &model, actions),
            AgentEvent::Chunk { run, data } => self.handle_chunk(run, data, actions),
            AgentEvent::End { run } => self.handle_end(now_ms, run, actions),
            AgentEvent::RunFailed { run, failure } => {
                self.handle_run_failure(run, failure, actions);
            }
            AgentEvent::Loaded { slot, generation } => {
                self.handle_loaded(slot, generation, actions);
            }
            AgentEvent::LoadFailed {
                slot,
                generation,
                is_store_refusal,
            } => self.handle_load_failed(now_ms, slot, generation, is_store_refusal, actions),
            AgentEvent::ServerCrashed => self.handle_server_crashed(now_ms, actions),
            AgentEvent::Drain => self.start_drain(actions),
            AgentEvent::Tick => self.tick(now_ms, actions),
        }
        self.start_runs(now_ms, actions);
        self.finish_drain(actions);
    }

    /// Returns the incarnation number, which is higher than that of every predecessor on the VM.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the version of the active table; zero for none.
    #[must_use]
    pub fn table_version(&self) -> u64 {
        self.active_table.version()
    }

    /// Returns the active table and the time of its last confirmation.
    #[must_use]
    pub const fn active_table(&self) -> &ActiveTable {
        &self.active_table
    }

    /// Returns the adapter slots.
    #[must_use]
    pub const fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Returns the number of running requests and the number of waiting requests.
    #[must_use]
    pub fn request_counts(&self) -> (usize, usize) {
        let running = self.runs.values().filter(|run| run.is_running()).count();
        let waiting = self.waiting_count();
        (running, waiting)
    }

    /// Returns the number of request fingerprints that are suspect or quarantined.
    ///
    /// It includes expired ones that have not been removed yet.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns `true` if the agent refuses new requests because it is shutting down or its VM is
    /// leaving.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.is_drain_requested || self.is_listed_leaving
    }

    fn waiting_count(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.stage == Stage::Waiting)
            .count()
    }

    fn handle_link_up(&mut self, now_ms: TimeMs, link: LinkId, actions: &mut Vec<AgentAction>) {
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
        for (fingerprint, status) in self.suspects.iter(now_ms) {
            let status_code = status.code();
            send(
                actions,
                link,
                SuspectNotice {
                    fingerprint,
                    verdict: status_code,
                },
            );
        }
    }

    fn handle_link_down(&mut self, now_ms: TimeMs, link: LinkId) {
        self.links.remove(&link);
        for run in self.runs.values_mut() {
            if run.link == Some(link) {
                run.link = None;
                run.orphaned_since_ms = Some(now_ms);
            }
        }
    }

    fn handle_message(
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
            Some(Kind::Hello(hello)) => self.handle_hello(link, &hello, actions),
            Some(Kind::Submit(submit)) => self.handle_submit(now_ms, link, submit, actions),
            Some(Kind::Cancel(cancel)) => self.handle_cancel(link, cancel.attempt, actions),
            Some(Kind::Resume(resume)) => self.handle_resume(link, &resume, actions),
            Some(Kind::Acknowledge(ack)) => self.handle_acknowledge(link, ack.attempt),
            Some(Kind::Holder(notice)) => self.handle_holder_notice(&notice, actions),
            Some(Kind::Table(pages)) => self.handle_table(link, &pages, actions),
            Some(Kind::TableQuery(query)) => self.send_newer_table(link, query.version, actions),
            Some(Kind::Suspect(notice)) => self.handle_suspect_notice(now_ms, &notice),
            None => {}
        }
    }

    fn handle_hello(&mut self, link: LinkId, hello: &EntryHello, actions: &mut Vec<AgentAction>) {
        if let Some(known) = self.links.get_mut(&link) {
            known.entry = Some(hello.entry);
        }
        let version = self.table_version();
        if hello.table_version > version {
            send(actions, link, TableQuery { version });
        } else if hello.table_version < version {
            self.send_newer_table(link, hello.table_version, actions);
        }
    }

    fn handle_holder_notice(&mut self, notice: &HolderNotice, actions: &mut Vec<AgentAction>) {
        if notice.as_of_ms <= self.lease.newest_list_ms() {
            return;
        }
        self.lease
            .observe(notice.as_of_ms, notice.vm == *self.settings.vm);
        let was_draining = self.is_draining();
        self.is_listed_leaving = notice.leaving;
        if self.is_draining() && !was_draining {
            self.broadcast(DrainNotice {}, actions);
        }
    }

    fn handle_suspect_notice(&mut self, now_ms: TimeMs, notice: &SuspectNotice) {
        let status = SuspectStatus::from_code(notice.verdict);
        self.suspects.apply(notice.fingerprint, status, now_ms);
    }

    fn start_drain(&mut self, actions: &mut Vec<AgentAction>) {
        if !self.is_drain_requested {
            self.is_drain_requested = true;
            self.broadcast(DrainNotice {}, actions);
        }
    }

    fn finish_drain(&mut self, actions: &mut Vec<AgentAction>) {
        if self.is_drain_requested && !self.has_drained && self.runs.is_empty() {
            self.has_drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    fn tick(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        self.expire_runs(now_ms, actions);
        self.retry_loads(now_ms, actions);
        self.send_reports(now_ms, actions);
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

fn send<M: Into<AgentMessage>>(actions: &mut Vec<AgentAction>, link: LinkId, message: M) {
    actions.push(AgentAction::Send {
        link,
        message: message.into(),
    });
}
