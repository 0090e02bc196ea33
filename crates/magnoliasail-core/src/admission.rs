//! Admission of caller populations by rate, limit and share.
//!
//! While the fleet has room, requests pass at once. When it is busy they wait in a queue for each
//! population, and weighted fair queueing picks the next: a flood of one population cannot starve
//! another. What could not be served before its deadline is refused early.
//!
//! ```
//! use magnoliasail_core::{Admission, AdmissionSettings, AdmissionDecision};
//!
//! let mut admission = Admission::new(AdmissionSettings::default());
//! admission.set_population("clinic", 3, 10, 100.0, 0);
//! assert_eq!(admission.offer(0, "clinic", 1), AdmissionDecision::Admitted);
//! ```

use {
    crate::{RefusalReason, TimeMs, TokenBucket},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Limits of [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests in flight at which further ones are queued.
    pub max_in_flight: usize,
    /// Requests that may wait per population.
    pub max_queue: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_in_flight: 1_024,
            max_queue: 512,
        }
    }
}

/// What became of a request that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may go on.
    Admitted,
    /// The request waits for its turn.
    Queued,
    /// The request is refused.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Population {
    share: f64,
    max_in_flight: usize,
    bucket: TokenBucket,
    in_flight: usize,
    /// Virtual time at which the request at the head of the queue starts.
    ///
    /// It is set when the queue fills and does not move with the virtual time of others, so that
    /// waiting earns a population its turn.
    start: f64,
    /// Virtual time at which the last request that was started is done.
    finish: f64,
    queue: VecDeque<u64>,
}

impl Population {
    fn has_room(&self) -> bool {
        self.in_flight < self.max_in_flight
    }

    fn is_ready(&self) -> bool {
        !self.queue.is_empty() && self.has_room()
    }

    fn cost(&self) -> f64 {
        1.0 / self.share
    }
}

/// The requests of all populations that are in flight or wait.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    populations: BTreeMap<Arc<str>, Population>,
    in_flight: usize,
    virtual_time: f64,
}

impl Admission {
    /// Creates an admission without populations.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            populations: BTreeMap::new(),
            in_flight: 0,
            virtual_time: 0.0,
        }
    }

    /// Changes the number of requests in flight at which further ones are queued.
    pub const fn set_max_in_flight(&mut self, max_in_flight: usize) {
        self.settings.max_in_flight = max_in_flight;
    }

    /// Adds a population or changes its share and limits.
    pub fn set_population(
        &mut self,
        name: &str,
        share: u32,
        max_in_flight: usize,
        rate_per_s: f64,
        now_ms: TimeMs,
    ) {
        let burst = rate_per_s.max(1.0);
        let population = self
            .populations
            .entry(name.into())
            .or_insert_with(|| Population {
                share: 1.0,
                max_in_flight,
                bucket: TokenBucket::new(rate_per_s, burst, now_ms),
                in_flight: 0,
                start: 0.0,
                finish: 0.0,
                queue: VecDeque::new(),
            });
        population.share = f64::from(share.max(1));
        population.max_in_flight = max_in_flight;
        population.bucket.set_rate(rate_per_s, burst, now_ms);
    }

    /// Offers a request of a population.
    pub fn offer(&mut self, now_ms: TimeMs, name: &str, request: u64) -> AdmissionDecision {
        let is_free = self.in_flight < self.settings.max_in_flight && !self.has_backlog();
        let max_queue = self.settings.max_queue;
        let Some(population) = self.populations.get_mut(name) else {
            return refused(RefusalReason::Unauthorized, 0);
        };
        if !population.bucket.take(now_ms) {
            let wait_ms = population.bucket.wait_ms(now_ms);
            return refused(RefusalReason::RateLimited, wait_ms);
        }
        if is_free && population.has_room() {
            self.start(name);
            return AdmissionDecision::Admitted;
        }
        if population.queue.len() >= max_queue {
            return refused(RefusalReason::Overloaded, overload_wait_ms(max_queue));
        }
        if population.queue.is_empty() {
            population.start = population.finish.max(self.virtual_time);
        }
        population.queue.push_back(request);
        AdmissionDecision::Queued
    }

    /// Ends a request that was in flight.
    pub fn release(&mut self, name: &str) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(population) = self.populations.get_mut(name) {
            population.in_flight = population.in_flight.saturating_sub(1);
        }
    }

    /// Takes back a request that waits.
    pub fn cancel(&mut self, name: &str, request: u64) {
        if let Some(population) = self.populations.get_mut(name) {
            population.queue.retain(|&queued| queued != request);
        }
    }

    /// Starts the waiting request whose population is furthest below its share.
    pub fn next_request(&mut self) -> Option<u64> {
        if self.in_flight >= self.settings.max_in_flight {
            return None;
        }
        let name = self
            .populations
            .iter()
            .filter(|(_, population)| population.is_ready())
            .min_by(|(_, a), (_, b)| (a.start + a.cost()).total_cmp(&(b.start + b.cost())))
            .map(|(name, _)| Arc::clone(name))?;
        let population = self.populations.get_mut(&name)?;
        let request = population.queue.pop_front();
        let start = population.start;
        self.run(&name, start);
        request
    }

    /// Returns the share, the requests in flight and the requests waiting of each population.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, f64, usize, usize)> {
        self.populations.iter().map(|(name, population)| {
            let waiting = population.queue.len();
            (name, population.share, population.in_flight, waiting)
        })
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    fn has_backlog(&self) -> bool {
        self.populations.values().any(Population::is_ready)
    }

    /// Starts a request that did not have to wait.
    fn start(&mut self, name: &str) {
        let virtual_time = self.virtual_time;
        let start = self
            .populations
            .get(name)
            .map_or(virtual_time, |population| {
                population.finish.max(virtual_time)
            });
        self.run(name, start);
    }

    fn run(&mut self, name: &str, start: f64) {
        self.in_flight += 1;
        self.virtual_time = self.virtual_time.max(start);
        if let Some(population) = self.populations.get_mut(name) {
            population.finish = start + population.cost();
            population.start = population.finish;
            population.in_flight += 1;
        }
    }
}

const fn refused(reason: RefusalReason, retry_after_ms: u64) -> AdmissionDecision {
    AdmissionDecision::Refused {
        reason,
        retry_after_ms,
    }
}

/// Returns the time in which a full queue is expected to shorten, in milliseconds.
const fn overload_wait_ms(max_queue: usize) -> u64 {
    const DRAIN_MS_PER_REQUEST: u64 = 4;
    let wait_ms = max_queue as u64 * DRAIN_MS_PER_REQUEST;
    if wait_ms < 500 { 500 } else { wait_ms }
}
