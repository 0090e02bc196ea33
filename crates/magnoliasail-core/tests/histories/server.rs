//! A fake backend server: an engine with slots, or a service that counts its jobs.

use {
    crate::{
        checks::{Check, Record},
        tamper::Tamper,
    },
    bytes::Bytes,
    magnoliasail_core::{
        AgentEvent,
        agent::{RequestTarget, RunFailure, RunId, ServerRequest},
    },
    std::collections::{BTreeMap, BTreeSet},
};

pub(crate) const PARTS: usize = 3;
pub(crate) const POISON: &str = "poison";

#[derive(Clone, Debug)]
struct Run {
    tag: String,
    model: String,
    is_started: bool,
    next_part: usize,
}

#[derive(Clone, Debug)]
struct Load {
    slot: usize,
    generation: u64,
    model: String,
}

/// A backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    residents: BTreeSet<String>,
    runs: BTreeMap<RunId, Run>,
    loads: Vec<Load>,
    pub(crate) crashes: u32,
}

impl Server {
    /// Starts a run; returns what the server says at once.
    pub(crate) fn run(
        &mut self,
        id: RunId,
        order: &ServerRequest,
        tamper: Option<Tamper>,
        record: &mut Record,
    ) -> Vec<AgentEvent> {
        let tag = String::from_utf8_lossy(&order.body).into_owned();
        let model = match &order.target {
            RequestTarget::Model { adapter } => adapter.model(),
            RequestTarget::Call { key, .. } => {
                record.job_ran(key);
                String::new()
            }
        };
        if !model.is_empty() {
            if !self.residents.contains(&model) {
                let failure = RunFailure::NotResident;
                return vec![AgentEvent::RunFailed { run: id, failure }];
            }
            let used = match tamper {
                Some(Tamper::RunAnotherAdapter) => "another@v0",
                _ => &model,
            };
            record.model_ran(&tag, &model, used);
        }
        if tag.contains(POISON) {
            return vec![self.crash()];
        }
        let run = Run {
            tag,
            model,
            is_started: false,
            next_part: 0,
        };
        self.runs.insert(id, run);
        Vec::new()
    }

    /// Ends a run that was cancelled.
    pub(crate) fn cancel(&mut self, id: RunId) -> AgentEvent {
        self.runs.remove(&id);
        AgentEvent::RunFailed {
            run: id,
            failure: RunFailure::Cancelled,
        }
    }

    /// Forgets the runs of an agent that has gone; a service finishes what it was handed.
    pub(crate) fn disconnect(&mut self) {
        self.runs.clear();
        self.loads.clear();
    }

    pub(crate) fn load(
        &mut self,
        slot: usize,
        generation: u64,
        model: String,
        evicted: Option<String>,
        record: &mut Record,
    ) {
        if let Some(evicted) = evicted {
            if self.runs.values().any(|run| run.model == evicted) {
                let detail = format!("{evicted} is evicted while it serves a request");
                record.violate(Check::NoEvictionInUse, detail);
            }
            self.residents.remove(&evicted);
        }
        self.loads.push(Load {
            slot,
            generation,
            model,
        });
    }

    /// Completes or fails the oldest load.
    pub(crate) fn step_load(&mut self, fails: bool) -> Option<AgentEvent> {
        if self.loads.is_empty() {
            return None;
        }
        let Load {
            slot,
            generation,
            model,
        } = self.loads.remove(0);
        if fails {
            return Some(AgentEvent::LoadFailed {
                slot,
                generation,
                is_store_refusal: true,
            });
        }
        self.residents.insert(model);
        Some(AgentEvent::Loaded { slot, generation })
    }

    /// Moves the `index`-th run on by one part.
    pub(crate) fn step_run(&mut self, index: usize, tamper: Option<Tamper>) -> Option<AgentEvent> {
        if self.runs.is_empty() {
            return None;
        }
        let index = index % self.runs.len();
        let (&id, run) = self.runs.iter_mut().nth(index)?;
        if tamper == Some(Tamper::EndPinsEarly) && !run.is_started {
            // The agent takes the run for ended while the engine goes on with it.
            run.is_started = true;
            let failure = RunFailure::ServerError;
            return Some(AgentEvent::RunFailed { run: id, failure });
        }
        if !run.is_started {
            run.is_started = true;
            return Some(AgentEvent::Head {
                run: id,
                status: 200,
                content_type: "text/event-stream".into(),
                model: run.model.as_str().into(),
            });
        }
        if run.next_part < PARTS {
            let data = Bytes::from(format!("{}/{}", run.tag, run.next_part));
            run.next_part += 1;
            return Some(AgentEvent::Chunk { run: id, data });
        }
        if tamper == Some(Tamper::EndPinsEarly) {
            return None;
        }
        self.runs.remove(&id);
        Some(AgentEvent::End { run: id })
    }

    /// Loses all that the server held and ran.
    pub(crate) fn crash(&mut self) -> AgentEvent {
        self.crashes += 1;
        self.residents.clear();
        self.disconnect();
        AgentEvent::ServerCrashed
    }
}
