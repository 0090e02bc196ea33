//! One random history: steps drawn from the seed, faults among them, and rest at the end.

use {
    crate::{
        checks::{Summary, Violation},
        fleet::{BUDGET_MS, Fleet},
        platform::{ADAPTERS, OPAQUE_HORIZON_MS, SERVICE},
        server::POISON,
        tamper::Tamper,
    },
    arbtest::arbitrary::{Result, Unstructured},
    magnoliasail_core::{AgentEvent, EntryEvent, entry::RequestKind},
    uuid::{Builder, Uuid},
};

const ENTRIES: usize = 2;
const MODELS: usize = 2;
const MAX_STEPS: usize = 400;
const MAX_CALLS: usize = 40;

/// Runs one history and returns the first violation, if any.
pub(crate) fn run(
    choices: &mut Unstructured<'_>,
    tamper: Option<Tamper>,
) -> Result<(Option<Violation>, Summary)> {
    let mut history = History {
        fleet: Fleet::new(ENTRIES, MODELS, tamper),
        jobs: Vec::new(),
        calls: 0,
    };
    history.settle_in();
    for _ in 0..MAX_STEPS {
        if choices.is_empty() || history.fleet.record.violation().is_some() {
            break;
        }
        history.step(choices)?;
    }
    if history.fleet.record.violation().is_none() {
        history.come_to_rest();
        history.fleet.record.check_answered();
    }
    let record = &history.fleet.record;
    Ok((record.violation().cloned(), record.summary()))
}

/// A job that a caller may send again.
#[derive(Clone)]
struct Job {
    key: String,
    tag: String,
    sent_ms: u64,
    is_opaque: bool,
}

impl Job {
    /// Callers send a key that carries no time again only within the horizon that the operators
    /// have published, less the longest time that a request may be on its way.
    const fn may_be_resent(&self, now_ms: u64) -> bool {
        !self.is_opaque || now_ms < self.sent_ms + OPAQUE_HORIZON_MS - BUDGET_MS
    }
}

struct History {
    fleet: Fleet,
    jobs: Vec<Job>,
    calls: usize,
}

impl History {
    /// Lets the fleet find itself, so that most steps meet a fleet that works.
    fn settle_in(&mut self) {
        for _ in 0..3 {
            for entry in 0..ENTRIES {
                self.read_platform(entry, 0, 0);
                self.fleet.reconnect(entry);
            }
            self.deliver_all();
            self.advance(1_500);
        }
    }

    fn advance(&mut self, by_ms: u64) {
        self.fleet.now_ms += by_ms;
        self.fleet.tick();
    }

    fn read_platform(&mut self, entry: usize, table_lag: usize, list_lag_ms: u64) {
        if self.fleet.entries[entry].is_paused {
            return;
        }
        let now_ms = self.fleet.now_ms;
        let table = self.fleet.platform.table(table_lag, now_ms);
        let list = self.fleet.platform.list(list_lag_ms, now_ms);
        self.fleet.entry_event(entry, EntryEvent::Table(table));
        self.fleet.entry_event(entry, EntryEvent::VmList(list));
    }

    fn deliver_all(&mut self) {
        const MAX_ROUNDS: usize = 10_000;
        for _ in 0..MAX_ROUNDS {
            let mut is_quiet = true;
            for index in 0..self.fleet.links.len() {
                is_quiet &= !self.fleet.deliver_to_agent(index);
                is_quiet &= !self.fleet.deliver_to_entry(index);
            }
            if is_quiet {
                return;
            }
        }
    }

    fn agent_name(&self, choices: &mut Unstructured<'_>) -> Result<String> {
        let names: Vec<&String> = self
            .fleet
            .agents
            .iter()
            .filter(|(_, node)| !node.is_gone)
            .map(|(name, _)| name)
            .collect();
        Ok((*choices.choose(&names)?).clone())
    }

    fn step(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let entry = choices.int_in_range(0..=ENTRIES - 1)?;
        match choices.int_in_range(0..=99)? {
            0..=9 => self.chat(choices, entry)?,
            10..=17 => self.job(choices, entry)?,
            18 => self.poison(entry),
            19..=36 => self.deliver_some(choices)?,
            37..=44 => {
                self.deliver_all();
                self.serve_all();
            }
            45..=56 => self.serve(choices)?,
            57..=64 => self.load(choices)?,
            65..=72 => {
                let by_ms = choices.int_in_range(1..=400)?;
                self.advance(by_ms);
            }
            73 => {
                let by_ms = choices.int_in_range(1_000..=6_000)?;
                self.advance(by_ms);
            }
            74..=78 => self.read(choices, entry)?,
            79..=80 => self.break_a_link(choices)?,
            81..=83 => self.fleet.reconnect(entry),
            84..=85 => {
                self.fleet.close_half_open();
            }
            86 => {
                let name = self.agent_name(choices)?;
                self.fleet.restart_agent(&name);
            }
            87 => {
                let name = self.agent_name(choices)?;
                let is_zombie = choices.arbitrary()?;
                self.fleet.replace_vm(&name, is_zombie);
            }
            88 => self.fleet.restart_entry(entry),
            89..=90 => self.pause_or_wake_agent(choices)?,
            91 => self.pause_or_wake_entry(entry),
            92 => {
                let name = self.agent_name(choices)?;
                let event = self
                    .fleet
                    .agents
                    .get_mut(&name)
                    .map(|node| node.server.crash());
                if let Some(event) = event {
                    self.fleet.agent_event(&name, event);
                }
            }
            93 => {
                let name = self.agent_name(choices)?;
                self.fleet.agent_event(&name, AgentEvent::Drain);
            }
            94 => {
                let name = self.agent_name(choices)?;
                let now_ms = self.fleet.now_ms;
                self.fleet.platform.leave(&name, now_ms);
            }
            95 => {
                let adapter = choices.int_in_range(0..=ADAPTERS - 1)?;
                let now_ms = self.fleet.now_ms;
                self.fleet.platform.change_current(adapter, now_ms);
            }
            96 => {
                let now_ms = self.fleet.now_ms;
                if let Some(vm) = self.fleet.platform.add_slot(now_ms) {
                    self.fleet.add_agent(vm);
                }
            }
            97 => self.caller_goes(choices)?,
            _ => self.tamper(choices, entry)?,
        }
        Ok(())
    }

    fn chat(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        let adapter = choices.int_in_range(0..=ADAPTERS - 1)?;
        let model = match choices.int_in_range(0..=2)? {
            0 => format!("a{adapter}"),
            version => format!("a{adapter}@v{version}"),
        };
        if self.calls < MAX_CALLS {
            self.calls += 1;
            let tag = format!("chat-{}", self.calls);
            let ask = RequestKind::Model {
                model: model.into(),
            };
            self.fleet.submit(entry, ask, tag, None);
        }
        Ok(())
    }

    fn poison(&mut self, entry: usize) {
        let ask = RequestKind::Model { model: "a0".into() };
        self.fleet.submit(entry, ask, POISON.to_owned(), None);
    }

    /// Sends a new job, or an earlier one again through any entry.
    fn job(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        let now_ms = self.fleet.now_ms;
        let resendable: Vec<&Job> = self
            .jobs
            .iter()
            .filter(|job| job.may_be_resent(now_ms))
            .collect();
        let is_resent = !resendable.is_empty() && choices.arbitrary()?;
        let Job { key, tag, .. } = if is_resent {
            (*choices.choose(&resendable)?).clone()
        } else {
            let job = self.new_job(choices)?;
            self.jobs.push(job.clone());
            job
        };
        let ask = RequestKind::Service {
            service: SERVICE.into(),
            method: "POST".into(),
            path: "/orders".into(),
            content_type: "".into(),
            key: Some(key.as_str().into()),
        };
        self.fleet.submit(entry, ask, tag, Some(key));
        Ok(())
    }

    fn new_job(&self, choices: &mut Unstructured<'_>) -> Result<Job> {
        let sent_ms = self.fleet.now_ms;
        let number = self.jobs.len();
        let skew_ms: i64 = choices.int_in_range(-3_000..=3_000)?;
        let is_opaque = choices.ratio(1, 4)?;
        let key = if is_opaque {
            format!("opaque-{number}")
        } else {
            time_key(sent_ms.saturating_add_signed(skew_ms), number as u8).to_string()
        };
        Ok(Job {
            key,
            tag: format!("job-{number}"),
            sent_ms,
            is_opaque,
        })
    }

    fn deliver_some(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        if self.fleet.links.is_empty() {
            return Ok(());
        }
        let index = choices.int_in_range(0..=self.fleet.links.len() - 1)?;
        let is_to_agent: bool = choices.arbitrary()?;
        for _ in 0..choices.int_in_range(1..=12)? {
            if is_to_agent {
                self.fleet.deliver_to_agent(index);
            } else {
                self.fleet.deliver_to_entry(index);
            }
        }
        Ok(())
    }

    fn serve(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        let index = choices.int_in_range(0..=3)?;
        for _ in 0..choices.int_in_range(1..=5)? {
            let tamper = self.fleet.tamper;
            let event = self
                .fleet
                .agents
                .get_mut(&name)
                .filter(|node| !node.is_paused)
                .and_then(|node| node.server.step_run(index, tamper));
            if let Some(event) = event {
                self.fleet.agent_event(&name, event);
            }
        }
        Ok(())
    }

    fn load(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        let fails = choices.ratio(1, 5)?;
        let event = self
            .fleet
            .agents
            .get_mut(&name)
            .filter(|node| !node.is_paused)
            .and_then(|node| node.server.step_load(fails));
        if let Some(event) = event {
            self.fleet.agent_event(&name, event);
        }
        Ok(())
    }

    fn read(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        let is_stale = choices.ratio(1, 4)?;
        let table_lag = if is_stale {
            choices.int_in_range(0..=3)?
        } else {
            0
        };
        let list_lag_ms = if is_stale {
            choices.int_in_range(0..=4_000)?
        } else {
            0
        };
        self.read_platform(entry, table_lag, list_lag_ms);
        Ok(())
    }

    fn break_a_link(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        if self.fleet.links.is_empty() {
            return Ok(());
        }
        let index = choices.int_in_range(0..=self.fleet.links.len() - 1)?;
        let id = self.fleet.links[index].id;
        self.fleet.break_links(|link| link.id == id);
        Ok(())
    }

    fn pause_or_wake_agent(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        if let Some(node) = self.fleet.agents.get_mut(&name) {
            node.is_paused = !node.is_paused;
        }
        Ok(())
    }

    fn pause_or_wake_entry(&mut self, entry: usize) {
        let node = &mut self.fleet.entries[entry];
        node.is_paused = !node.is_paused;
        if !node.is_paused {
            self.fleet.entry_event(entry, EntryEvent::Paused);
        }
    }

    fn caller_goes(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<u64> = self
            .fleet
            .record
            .calls
            .iter()
            .filter(|(_, call)| call.is_open())
            .map(|(&request, _)| request)
            .collect();
        if open.is_empty() {
            return Ok(());
        }
        let request = *choices.choose(&open)?;
        let entry = (request % ENTRIES as u64) as usize;
        if let Some(call) = self.fleet.record.calls.get_mut(&request) {
            call.gone = true;
        }
        if !self.fleet.entries[entry].is_paused {
            self.fleet
                .entry_event(entry, EntryEvent::CallerGone { request });
        }
        Ok(())
    }

    fn tamper(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        match self.fleet.tamper {
            Some(Tamper::ForgetJobs) => {
                let name = choices.choose(&self.fleet.service_vms())?.clone();
                self.fleet.roll_back(&name);
            }
            Some(Tamper::ShareLease) => {
                if choices.ratio(1, 3)? {
                    let name = choices.choose(&self.fleet.service_vms())?.clone();
                    self.fleet.replace_vm(&name, true);
                    self.read_platform(entry, 0, 0);
                    self.fleet.reconnect(entry);
                    self.deliver_all();
                    self.advance(2_500);
                }
                self.fleet.share_leases();
            }
            Some(Tamper::RevertTables) => self.fleet.roll_back_entry(entry),
            _ => {}
        }
        Ok(())
    }

    /// Heals every fault and lets time pass until every deadline is over.
    fn come_to_rest(&mut self) {
        for node in self.fleet.agents.values_mut() {
            node.is_paused = false;
        }
        for entry in 0..ENTRIES {
            if self.fleet.entries[entry].is_paused {
                self.pause_or_wake_entry(entry);
            }
        }
        let until_ms = self.fleet.now_ms + 2 * BUDGET_MS;
        while self.fleet.now_ms < until_ms && self.fleet.record.violation().is_none() {
            while self.fleet.close_half_open() {}
            for entry in 0..ENTRIES {
                self.read_platform(entry, 0, 0);
                self.fleet.reconnect(entry);
            }
            self.deliver_all();
            self.serve_all();
            self.deliver_all();
            self.advance(500);
        }
    }

    fn serve_all(&mut self) {
        let names: Vec<String> = self.fleet.agents.keys().cloned().collect();
        let tamper = self.fleet.tamper;
        for name in names {
            for _ in 0..8 {
                let node = self.fleet.agents.get_mut(&name);
                let Some(node) = node.filter(|node| !node.is_gone && !node.is_paused) else {
                    break;
                };
                let loaded = node.server.step_load(false);
                let ran = node.server.step_run(0, tamper);
                for event in [loaded, ran].into_iter().flatten() {
                    self.fleet.agent_event(&name, event);
                }
            }
        }
    }
}

/// Returns a version 7 UUID that was minted at `minted_ms`.
fn time_key(minted_ms: u64, number: u8) -> Uuid {
    Builder::from_unix_timestamp_millis(minted_ms, &[number; 10]).into_uuid()
}
