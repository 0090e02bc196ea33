//! Admission control of caller populations by rate limit, concurrency limit and share.
//!
//! Requests are admitted immediately while the fleet has capacity. When it is busy, they wait in
//! one queue per population and weighted fair queueing picks the next request, so that a flood
//! from one population cannot starve the others. A request that finds its population's queue full
//! is refused immediately with a retry delay rather than left to miss its deadline.
//!
//! ```
//! use magnoliasail_core::{Admission, AdmissionDecision, AdmissionSettings};
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
    /// Number of requests in flight at which further requests are queued.
    pub max_in_flight: usize,
    /// Maximum number of queued requests per population.
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

/// The decision on a request passed to [`Admission::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted and counts as in flight.
    Admitted,
    /// The request waits in its population's queue.
    Queued,
    /// The request is refused.
    Refused {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Delay after which the caller should retry, in milliseconds.
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
    /// It is set when the queue becomes non-empty and does not advance with other populations'
    /// virtual time, so that a waiting population is eventually served.
    start: f64,
    /// Virtual time at which the most recently started request finishes.
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

    /// Returns the virtual time that one request of this population takes.
    fn cost(&self) -> f64 {
        1.0 / self.share
    }
}

/// Admission state of all populations: their limits, queues and requests in flight.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    populations: BTreeMap<Arc<str>, Population>,
    in_flight: usize,
    virtual_time: f64,
}

impl Admission {
    /// Creates an admission controller without populations.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            populations: BTreeMap::new(),
            in_flight: 0,
            virtual_time: 0.0,
        }
    }

    /// Sets the number of requests in flight at which further requests are queued.
    pub const fn set_max_in_flight(&mut self, max_in_flight: usize) {
        self.settings.max_in_flight = max_in_flight;
    }

    /// Adds a population, or updates its share and limits if it exists.
    ///
    /// A share of zero counts as one. The rate limiter allows a burst of one second's requests, at
    /// least one.
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

    /// Admits, queues or refuses a request of the population `name`.
    ///
    /// A request of an unknown population is refused as [`RefusalReason::Unauthorized`].
    pub fn offer(&mut self, now_ms: TimeMs, name: &str, request: u64) -> AdmissionDecision {
        let has_capacity = self.in_flight < self.settings.max_in_flight && !self.has_backlog();
        let max_queue = self.settings.max_queue;
        let Some(population) = self.populations.get_mut(name) else {
            return refused(RefusalReason::Unauthorized, 0);
        };
        if !population.bucket.take(now_ms) {
            let wait_ms = population.bucket.wait_ms(now_ms);
            return refused(RefusalReason::RateLimited, wait_ms);
        }
        if has_capacity && population.has_room() {
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

    /// Records that a request in flight has ended.
    pub fn release(&mut self, name: &str) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(population) = self.populations.get_mut(name) {
            population.in_flight = population.in_flight.saturating_sub(1);
        }
    }

    /// Removes a queued request, for instance because its caller disconnected.
    pub fn cancel(&mut self, name: &str, request: u64) {
        if let Some(population) = self.populations.get_mut(name) {
            population.queue.retain(|&queued| queued != request);
        }
    }

    /// Admits and returns the queued request that weighted fair queueing picks next.
    ///
    /// Returns `None` if the fleet has no capacity or no population has both a queued request and
    /// room below its own limit.
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
        self.start_at(&name, start);
        request
    }

    /// Returns the name, the share, the requests in flight and the queued requests of each
    /// population, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, f64, usize, usize)> {
        self.populations.iter().map(|(name, population)| {
            let queued = population.queue.len();
            (name, population.share, population.in_flight, queued)
        })
    }

    /// Returns the number of requests in flight, over all populations.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns whether any population has a queued request and room below its own limit.
    fn has_backlog(&self) -> bool {
        self.populations.values().any(Population::is_ready)
    }

    /// Starts a request that was not queued.
    fn start(&mut self, name: &str) {
        let virtual_time = self.virtual_time;
        let start = self
            .populations
            .get(name)
            .map_or(virtual_time, |population| {
                population.finish.max(virtual_time)
            });
        self.start_at(name, start);
    }

    /// Starts a request at the virtual time `start`.
    fn start_at(&mut self, name: &str, start: f64) {
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

/// Returns the time in which a full queue is expected to drain, in milliseconds, at least 500.
const fn overload_wait_ms(max_queue: usize) -> u64 {
    const DRAIN_MS_PER_REQUEST: u64 = 4;
    let wait_ms = max_queue as u64 * DRAIN_MS_PER_REQUEST;
    if wait_ms < 500 { 500 } else { wait_ms }
}
