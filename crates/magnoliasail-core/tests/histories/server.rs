//! A simulated backend server: a model engine, or a plain service whose jobs are counted.

use {
    crate::{
        invariants::{Invariant, Observer},
        mutation::Mutation,
    },
    bytes::Bytes,
    magnoliasail_core::{
        AgentEvent,
        agent::{RequestTarget, RunFailure, RunId, ServerRequest},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of parts in every complete answer.
pub(crate) const PARTS: usize = 3;
/// A request with this text in its body crashes the server that runs it.
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

/// A backend server, with the state that a crash loses.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    residents: BTreeSet<String>,
    runs: BTreeMap<RunId, Run>,
    loads: Vec<Load>,
    pub(crate) crashes: u32,
}

impl Server {
    /// Starts a run; returns the events that follow immediately.
    pub(crate) fn run(
        &mut self,
        id: RunId,
        request: &ServerRequest,
        mutation: Option<Mutation>,
        observer: &mut Observer,
    ) -> Vec<AgentEvent> {
        let tag = String::from_utf8_lossy(&request.body).into_owned();
        let model = match &request.target {
            RequestTarget::Model { adapter } => adapter.model(),
            RequestTarget::Service { key, .. } => {
                observer.record_job_run(key);
                String::new()
            }
        };
        if !model.is_empty() {
            if !self.residents.contains(&model) {
                let failure = RunFailure::NotResident;
                return vec![AgentEvent::RunFailed { run: id, failure }];
            }
            let used_model = match mutation {
                Some(Mutation::RunWrongAdapter) => "another@v0",
                _ => &model,
            };
            observer.record_model_run(&tag, &model, used_model);
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

    /// Cancels a run.
    pub(crate) fn cancel(&mut self, id: RunId) -> AgentEvent {
        self.runs.remove(&id);
        AgentEvent::RunFailed {
            run: id,
            failure: RunFailure::Cancelled,
        }
    }

    /// Drops the runs and loads of an agent that has disconnected.
    ///
    /// A job was counted when it started, since a service finishes what it has received.
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
        observer: &mut Observer,
    ) {
        if let Some(evicted) = evicted {
            if self.runs.values().any(|run| run.model == evicted) {
                let detail = format!("{evicted} is evicted while it serves a request");
                observer.record_violation(Invariant::NoEvictionInUse, detail);
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
    pub(crate) fn step_load(&mut self, is_failure: bool) -> Option<AgentEvent> {
        if self.loads.is_empty() {
            return None;
        }
        let Load {
            slot,
            generation,
            model,
        } = self.loads.remove(0);
        if is_failure {
            return Some(AgentEvent::LoadFailed {
                slot,
                generation,
                is_store_refusal: true,
            });
        }
        self.residents.insert(model);
        Some(AgentEvent::Loaded { slot, generation })
    }

    /// Advances the `index`-th run by one step: its head, a part of the answer or its end.
    pub(crate) fn step_run(
        &mut self,
        index: usize,
        mutation: Option<Mutation>,
    ) -> Option<AgentEvent> {
        if self.runs.is_empty() {
            return None;
        }
        let index = index % self.runs.len();
        let (&id, run) = self.runs.iter_mut().nth(index)?;
        if mutation == Some(Mutation::ReleasePinsEarly) && !run.is_started {
            // The agent treats the run as ended while the engine continues it.
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
        if mutation == Some(Mutation::ReleasePinsEarly) {
            return None;
        }
        self.runs.remove(&id);
        Some(AgentEvent::End { run: id })
    }

    /// Crashes the server, which loses its resident adapters, runs and loads.
    pub(crate) fn crash(&mut self) -> AgentEvent {
        self.crashes += 1;
        self.residents.clear();
        self.disconnect();
        AgentEvent::ServerCrashed
    }
}
