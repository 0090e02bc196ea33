//! A random history: steps drawn from the seed, including faults, then a phase without faults.

use {
    crate::{
        fleet::{Fleet, REQUEST_BUDGET_MS},
        invariants::{Summary, Violation},
        mutation::Mutation,
        platform::{ADAPTERS, OPAQUE_HORIZON_MS, SERVICE},
        server::POISON,
    },
    arbtest::arbitrary::{Result, Unstructured},
    magnoliasail_core::{AgentEvent, EntryEvent, entry::RequestKind},
    uuid::{Builder, Uuid},
};

const ENTRIES: usize = 2;
const MODELS: usize = 2;
const MAX_STEPS: usize = 400;
const MAX_CALLS: usize = 40;

/// Runs one history and returns its first violation, if any, and its summary.
pub(crate) fn run(
    choices: &mut Unstructured<'_>,
    mutation: Option<Mutation>,
) -> Result<(Option<Violation>, Summary)> {
    let mut history = History {
        fleet: Fleet::new(ENTRIES, MODELS, mutation),
        jobs: Vec::new(),
        calls: 0,
    };
    history.warm_up();
    for _ in 0..MAX_STEPS {
        if choices.is_empty() || history.fleet.observer.violation().is_some() {
            break;
        }
        history.step(choices)?;
    }
    if history.fleet.observer.violation().is_none() {
        history.quiesce();
        history.fleet.observer.check_answered();
    }
    let observer = &history.fleet.observer;
    Ok((observer.violation().cloned(), observer.summary()))
}

/// A job that a caller has sent and may resend.
#[derive(Clone)]
struct Job {
    key: String,
    tag: String,
    sent_ms: u64,
    is_opaque: bool,
}

impl Job {
    /// Returns whether a caller may resend the job.
    ///
    /// Keys without a timestamp are resent only within the horizon that the operators have
    /// published, minus the longest time for which a request may be in flight.
    const fn may_be_resent(&self, now_ms: u64) -> bool {
        !self.is_opaque || now_ms < self.sent_ms + OPAQUE_HORIZON_MS - REQUEST_BUDGET_MS
    }
}

struct History {
    fleet: Fleet,
    jobs: Vec<Job>,
    calls: usize,
}

impl History {
    /// Lets the fleet connect and read the platform, so that most steps act on a working fleet.
    fn warm_up(&mut self) {
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
        self.fleet
            .handle_entry_event(entry, EntryEvent::Table(table));
        self.fleet
            .handle_entry_event(entry, EntryEvent::VmList(list));
    }

    fn deliver_all(&mut self) {
        const MAX_ROUNDS: usize = 10_000;
        for _ in 0..MAX_ROUNDS {
            let mut is_idle = true;
            for index in 0..self.fleet.links.len() {
                is_idle &= !self.fleet.deliver_to_agent(index);
                is_idle &= !self.fleet.deliver_to_entry(index);
            }
            if is_idle {
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

    /// Performs one random step.
    fn step(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let entry = choices.int_in_range(0..=ENTRIES - 1)?;
        match choices.int_in_range(0..=99)? {
            0..=9 => self.submit_model_request(choices, entry)?,
            10..=17 => self.submit_job(choices, entry)?,
            18 => self.submit_poison_request(entry),
            19..=36 => self.deliver_batch(choices)?,
            37..=44 => {
                self.deliver_all();
                self.advance_all_servers();
            }
            45..=56 => self.advance_runs(choices)?,
            57..=64 => self.advance_load(choices)?,
            65..=72 => {
                let by_ms = choices.int_in_range(1..=400)?;
                self.advance(by_ms);
            }
            73 => {
                let by_ms = choices.int_in_range(1_000..=6_000)?;
                self.advance(by_ms);
            }
            74..=78 => self.read_platform_with_lag(choices, entry)?,
            79..=80 => self.break_link(choices)?,
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
                let keeps_running = choices.arbitrary()?;
                self.fleet.replace_vm(&name, keeps_running);
            }
            88 => self.fleet.restart_entry(entry),
            89..=90 => self.toggle_agent_pause(choices)?,
            91 => self.toggle_entry_pause(entry),
            92 => {
                let name = self.agent_name(choices)?;
                let event = self
                    .fleet
                    .agents
                    .get_mut(&name)
                    .map(|node| node.server.crash());
                if let Some(event) = event {
                    self.fleet.handle_agent_event(&name, event);
                }
            }
            93 => {
                let name = self.agent_name(choices)?;
                self.fleet.handle_agent_event(&name, AgentEvent::Drain);
            }
            94 => {
                let name = self.agent_name(choices)?;
                let now_ms = self.fleet.now_ms;
                self.fleet.platform.mark_leaving(&name, now_ms);
            }
            95 => {
                let adapter = choices.int_in_range(0..=ADAPTERS - 1)?;
                let now_ms = self.fleet.now_ms;
                self.fleet.platform.change_current_version(adapter, now_ms);
            }
            96 => {
                let now_ms = self.fleet.now_ms;
                if let Some(vm) = self.fleet.platform.add_slot(now_ms) {
                    self.fleet.add_agent(vm);
                }
            }
            97 => self.disconnect_caller(choices)?,
            _ => self.apply_mutation(choices, entry)?,
        }
        Ok(())
    }

    fn submit_model_request(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        let adapter = choices.int_in_range(0..=ADAPTERS - 1)?;
        let model = match choices.int_in_range(0..=2)? {
            0 => format!("a{adapter}"),
            version => format!("a{adapter}@v{version}"),
        };
        if self.calls < MAX_CALLS {
            self.calls += 1;
            let tag = format!("chat-{}", self.calls);
            let kind = RequestKind::Model {
                model: model.into(),
            };
            self.fleet.submit(entry, kind, tag, None);
        }
        Ok(())
    }

    fn submit_poison_request(&mut self, entry: usize) {
        let kind = RequestKind::Model { model: "a0".into() };
        self.fleet.submit(entry, kind, POISON.to_owned(), None);
    }

    /// Sends a new job, or resends an earlier one through any entry.
    fn submit_job(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        let now_ms = self.fleet.now_ms;
        let resendable: Vec<&Job> = self
            .jobs
            .iter()
            .filter(|job| job.may_be_resent(now_ms))
            .collect();
        let is_resend = !resendable.is_empty() && choices.arbitrary()?;
        let Job { key, tag, .. } = if is_resend {
            (*choices.choose(&resendable)?).clone()
        } else {
            let job = self.new_job(choices)?;
            self.jobs.push(job.clone());
            job
        };
        let kind = RequestKind::Service {
            service: SERVICE.into(),
            method: "POST".into(),
            path: "/orders".into(),
            content_type: "".into(),
            key: Some(key.as_str().into()),
        };
        self.fleet.submit(entry, kind, tag, Some(key));
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
            timestamped_key(sent_ms.saturating_add_signed(skew_ms), number as u8).to_string()
        };
        Ok(Job {
            key,
            tag: format!("job-{number}"),
            sent_ms,
            is_opaque,
        })
    }

    fn deliver_batch(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
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

    fn advance_runs(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        let index = choices.int_in_range(0..=3)?;
        for _ in 0..choices.int_in_range(1..=5)? {
            let mutation = self.fleet.mutation;
            let event = self
                .fleet
                .agents
                .get_mut(&name)
                .filter(|node| !node.is_paused)
                .and_then(|node| node.server.step_run(index, mutation));
            if let Some(event) = event {
                self.fleet.handle_agent_event(&name, event);
            }
        }
        Ok(())
    }

    fn advance_load(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        let is_failure = choices.ratio(1, 5)?;
        let event = self
            .fleet
            .agents
            .get_mut(&name)
            .filter(|node| !node.is_paused)
            .and_then(|node| node.server.step_load(is_failure));
        if let Some(event) = event {
            self.fleet.handle_agent_event(&name, event);
        }
        Ok(())
    }

    fn read_platform_with_lag(
        &mut self,
        choices: &mut Unstructured<'_>,
        entry: usize,
    ) -> Result<()> {
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

    fn break_link(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        if self.fleet.links.is_empty() {
            return Ok(());
        }
        let index = choices.int_in_range(0..=self.fleet.links.len() - 1)?;
        let id = self.fleet.links[index].id;
        self.fleet.break_links(|link| link.id == id);
        Ok(())
    }

    fn toggle_agent_pause(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let name = self.agent_name(choices)?;
        if let Some(node) = self.fleet.agents.get_mut(&name) {
            node.is_paused = !node.is_paused;
        }
        Ok(())
    }

    fn toggle_entry_pause(&mut self, entry: usize) {
        let node = &mut self.fleet.entries[entry];
        node.is_paused = !node.is_paused;
        if !node.is_paused {
            self.fleet.handle_entry_event(entry, EntryEvent::Paused);
        }
    }

    fn disconnect_caller(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<u64> = self
            .fleet
            .observer
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
        if let Some(call) = self.fleet.observer.calls.get_mut(&request) {
            call.is_caller_gone = true;
        }
        if !self.fleet.entries[entry].is_paused {
            self.fleet
                .handle_entry_event(entry, EntryEvent::CallerGone { request });
        }
        Ok(())
    }

    fn apply_mutation(&mut self, choices: &mut Unstructured<'_>, entry: usize) -> Result<()> {
        match self.fleet.mutation {
            Some(Mutation::LoseJobLedger) => {
                let name = choices.choose(&self.fleet.service_vms())?.clone();
                self.fleet.roll_back_agent(&name);
            }
            Some(Mutation::DuplicateLease) => {
                if choices.ratio(1, 3)? {
                    let name = choices.choose(&self.fleet.service_vms())?.clone();
                    self.fleet.replace_vm(&name, true);
                    self.read_platform(entry, 0, 0);
                    self.fleet.reconnect(entry);
                    self.deliver_all();
                    self.advance(2_500);
                }
                self.fleet.duplicate_leases();
            }
            Some(Mutation::RevertTables) => self.fleet.roll_back_entry(entry),
            _ => {}
        }
        Ok(())
    }

    /// Ends all faults and runs the fleet until every deadline has passed.
    fn quiesce(&mut self) {
        for node in self.fleet.agents.values_mut() {
            node.is_paused = false;
        }
        for entry in 0..ENTRIES {
            if self.fleet.entries[entry].is_paused {
                self.toggle_entry_pause(entry);
            }
        }
        let until_ms = self.fleet.now_ms + 2 * REQUEST_BUDGET_MS;
        while self.fleet.now_ms < until_ms && self.fleet.observer.violation().is_none() {
            while self.fleet.close_half_open() {}
            for entry in 0..ENTRIES {
                self.read_platform(entry, 0, 0);
                self.fleet.reconnect(entry);
            }
            self.deliver_all();
            self.advance_all_servers();
            self.deliver_all();
            self.advance(500);
        }
    }

    fn advance_all_servers(&mut self) {
        let names: Vec<String> = self.fleet.agents.keys().cloned().collect();
        let mutation = self.fleet.mutation;
        for name in names {
            for _ in 0..8 {
                let node = self.fleet.agents.get_mut(&name);
                let Some(node) = node.filter(|node| !node.is_gone && !node.is_paused) else {
                    break;
                };
                let load_event = node.server.step_load(false);
                let run_event = node.server.step_run(0, mutation);
                for event in [load_event, run_event].into_iter().flatten() {
                    self.fleet.handle_agent_event(&name, event);
                }
            }
        }
    }
}

/// Returns a version 7 UUID with the timestamp `created_ms`.
fn timestamped_key(created_ms: u64, number: u8) -> Uuid {
    Builder::from_unix_timestamp_millis(created_ms, &[number; 10]).into_uuid()
}
