//! A simulated model engine with continuous batching, in virtual time.
//!
//! Each step generates one token for every request in the batch. A step takes `STEP_MS` for one
//! request and `STEP_PER_REQUEST_MS` more for each further one.

use {magnoliasail_core::agent::RunId, std::collections::BTreeMap};

const STEP_MS: f64 = 15.0;
const STEP_PER_REQUEST_MS: f64 = 0.5;

/// A request in the batch.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    tokens_left: u64,
    has_first_token: bool,
}

/// Requests that got their first or their last token in a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StepResult {
    /// Requests that got their first token.
    pub(crate) started: Vec<RunId>,
    /// Requests that got their last token and left the batch.
    pub(crate) ended: Vec<RunId>,
}

/// A simulated model engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    capacity: usize,
    running: BTreeMap<RunId, RunningRequest>,
    /// Whether the end of a step is scheduled.
    pub(crate) is_stepping: bool,
    /// Number of crashes; a step that was scheduled before a crash is ignored.
    pub(crate) generation: u64,
    /// Measured time with requests in the batch, in milliseconds.
    busy_ms: u64,
    /// The same time, weighted by the batch fill.
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

    /// Adds a request to the batch that generates this number of tokens.
    pub(crate) fn start(&mut self, run: RunId, tokens: u64) {
        let request = RunningRequest {
            tokens_left: tokens,
            has_first_token: false,
        };
        self.running.insert(run, request);
    }

    pub(crate) fn cancel(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the duration of the next step, in milliseconds.
    pub(crate) fn step_ms(&self) -> u64 {
        let others = self.running.len().saturating_sub(1) as f64;
        (STEP_MS + STEP_PER_REQUEST_MS * others).round() as u64
    }

    /// Generates one token for each request in the batch.
    ///
    /// The step counts toward the batch fill if `is_measured` is set.
    pub(crate) fn step(&mut self, took_ms: u64, is_measured: bool) -> StepResult {
        if is_measured && !self.running.is_empty() {
            self.busy_ms += took_ms;
            let fill = self.running.len() as f64 / self.capacity as f64;
            self.filled_ms += fill * took_ms as f64;
        }
        let mut result = StepResult::default();
        for (&run, request) in &mut self.running {
            request.tokens_left -= 1;
            if !request.has_first_token {
                request.has_first_token = true;
                result.started.push(run);
            }
            if request.tokens_left == 0 {
                result.ended.push(run);
            }
        }
        for run in &result.ended {
            self.running.remove(run);
        }
        result
    }

    /// Discards every request and invalidates the scheduled step.
    pub(crate) fn crash(&mut self) {
        self.running.clear();
        self.generation += 1;
        self.is_stepping = false;
    }

    /// Returns the measured time with requests in the batch, and that time weighted by the fill.
    ///
    /// Both are in milliseconds; the second divided by the first is the mean batch fill.
    pub(crate) const fn busy_and_filled_ms(&self) -> (u64, f64) {
        (self.busy_ms, self.filled_ms)
    }
}
