//! A fake engine in virtual time that batches continuously.

use {magnoliasail_core::agent::RunId, std::collections::BTreeMap};

const STEP_MS: f64 = 15.0;
const STEP_PER_REQUEST_MS: f64 = 0.5;

/// A request in the batch.
#[derive(Clone, Copy, Debug)]
struct Running {
    tokens_left: u64,
    is_started: bool,
}

/// What a step brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) started: Vec<RunId>,
    pub(crate) ended: Vec<RunId>,
}

/// An engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    capacity: usize,
    running: BTreeMap<RunId, Running>,
    pub(crate) is_stepping: bool,
    pub(crate) generation: u64,
    busy_ms: u64,
    filled_ms: f64,
}

impl Engine {
    pub(crate) const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: BTreeMap::new(),
            is_stepping: false,
            generation: 0,
            busy_ms: 0,
            filled_ms: 0.0,
        }
    }

    pub(crate) fn start(&mut self, run: RunId, tokens: u64) {
        let running = Running {
            tokens_left: tokens,
            is_started: false,
        };
        self.running.insert(run, running);
    }

    pub(crate) fn cancel(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the time of the next step, in milliseconds.
    pub(crate) fn step_ms(&self) -> u64 {
        let others = self.running.len().saturating_sub(1) as f64;
        (STEP_MS + STEP_PER_REQUEST_MS * others).round() as u64
    }

    /// Generates one token for each request; `is_measured` counts the fill of the batch.
    pub(crate) fn step(&mut self, took_ms: u64, is_measured: bool) -> Step {
        if is_measured && !self.running.is_empty() {
            self.busy_ms += took_ms;
            let fill = self.running.len() as f64 / self.capacity as f64;
            self.filled_ms += fill * took_ms as f64;
        }
        let mut step = Step::default();
        for (&run, running) in &mut self.running {
            running.tokens_left -= 1;
            if !running.is_started {
                running.is_started = true;
                step.started.push(run);
            }
            if running.tokens_left == 0 {
                step.ended.push(run);
            }
        }
        for run in &step.ended {
            self.running.remove(run);
        }
        step
    }

    /// Loses every request.
    pub(crate) fn crash(&mut self) {
        self.running.clear();
        self.generation += 1;
        self.is_stepping = false;
    }

    /// Returns the time in which the engine was busy and its sum weighted by fill.
    pub(crate) const fn fill(&self) -> (u64, f64) {
        (self.busy_ms, self.filled_ms)
    }
}
