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
mod admission;
mod event;
mod jobs;
mod loads;
mod reports;
mod run;
mod runs;
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
    adoption: ActiveTable,
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
            adoption: ActiveTable::default(),
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
                self.run_failed(run, failure, actions);
            }
            AgentEvent::Loaded { slot, generation } => {
                self.loaded(slot, generation, actions);
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
    pub const fn adoption(&self) -> &ActiveTable {
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
            Some(Kind::Cancel(cancel)) => self.cancel(link, cancel.attempt, actions),
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
            send(actions, link, TableQuery { version });
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
        let verdict = SuspectStatus::from_code(notice.verdict);
        self.suspects.apply(notice.fingerprint, verdict, now_ms);
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
