//! The queue of a model engine: requests that wait for it or run on it.

use {
    super::{
        EngineLimits, EngineRefusal, EngineRequest, account_shares::AccountShares, adapter_key,
        message::PendingFetch, prompt_rate::PromptRate, timely_starts::TimelyStarts,
    },
    crate::TimeMs,
    std::{collections::HashMap, sync::Arc},
};

/// Weight of the newest run in the moving average of run times.
const NEWEST_RUN_WEIGHT: f64 = 0.05;
/// Weight of a request that misses its objective, among those that wait for an adapter; other requests
/// have the weight 1.
const LATE_WEIGHT: f64 = 0.05;
/// Waiting time that adds as much weight to an adapter as one more request for it.
const AGE_WEIGHT_MS: f64 = 2_000.0;

/// A request that has started on the engine.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    request: EngineRequest,
    started_ms: TimeMs,
    /// The full name of the adapter whose slot the request pins.
    pub(super) pinned: Option<Arc<str>>,
    /// Whether the engine has not read the whole prompt yet.
    is_reading: bool,
}

/// The waiting and running requests of an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineQueue {
    waiting: Vec<EngineRequest>,
    running: HashMap<u64, RunningRequest>,
    mean_run_ms: f64,
    prompt_rate: PromptRate,
    shares: AccountShares,
    timely_starts: TimelyStarts,
}

impl EngineQueue {
    /// Creates an empty queue with the average run time to assume until runs have completed, in
    /// milliseconds.
    pub(super) fn new(initial_run_ms: f64) -> Self {
        Self {
            waiting: Vec::new(),
            running: HashMap::new(),
            mean_run_ms: initial_run_ms,
            prompt_rate: PromptRate::default(),
            shares: AccountShares::default(),
            timely_starts: TimelyStarts::default(),
        }
    }

    /// Returns the number of running and waiting requests.
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the number of waiting requests.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the average run time of recent requests, in milliseconds.
    pub(super) const fn mean_run_ms(&self) -> f64 {
        self.mean_run_ms
    }

    /// Adds a waiting request.
    pub(super) fn push(&mut self, request: EngineRequest) {
        self.waiting.push(request);
    }

    /// Removes a request; returns it if it had started. The run time counts towards the average
    /// only if `is_complete` is set.
    pub(super) fn finish(
        &mut self,
        key: u64,
        is_complete: bool,
        now_ms: TimeMs,
    ) -> Option<RunningRequest> {
        let Some(running) = self.running.remove(&key) else {
            self.waiting.retain(|request| request.key != key);
            return None;
        };
        if running.is_reading {
            self.prompt_rate.finish(0, now_ms);
        }
        if is_complete {
            let run_ms = now_ms.saturating_sub(running.started_ms) as f64;
            self.mean_run_ms += NEWEST_RUN_WEIGHT * (run_ms - self.mean_run_ms);
        }
        Some(running)
    }

    /// Discards the pins of running requests after a restart of the engine. Their ends must not
    /// unpin adapters that are loaded again.
    pub(super) fn discard_pins(&mut self) {
        for running in self.running.values_mut() {
            running.pinned = None;
        }
    }

    /// Removes the waiting requests for which `refusal` returns a reason; returns their keys and
    /// reasons.
    pub(super) fn reject_where<F>(&mut self, refusal: F) -> Vec<(u64, EngineRefusal)>
    where
        F: Fn(&EngineRequest) -> Option<EngineRefusal>,
    {
        let mut rejected = Vec::new();
        self.waiting.retain(|request| match refusal(request) {
            Some(reason) => {
                rejected.push((request.key, reason));
                false
            }
            None => true,
        });
        rejected
    }

    /// Starts at most `max_started` of the waiting requests that `can_serve` allows and for which the batch
    /// and the KV cache have room: those that can still meet their objective first, then by rank, then those
    /// of the account that was served least.
    ///
    /// The first request for which the KV cache has no room also holds back those after it, and so does the
    /// first whose prompt would exceed `max_reading_tokens` together with those that are being read. A
    /// prompt is read at least alone.
    pub(super) fn start<F>(
        &mut self,
        limits: &EngineLimits,
        max_started: usize,
        max_reading_tokens: u64,
        now_ms: TimeMs,
        can_serve: F,
    ) -> Vec<EngineRequest>
    where
        F: Fn(&EngineRequest) -> bool,
    {
        self.sort_waiting(now_ms);
        let running = self.running.values();
        let mut used_kv_tokens = running
            .map(|run| run.request.kv_tokens)
            .fold(0, u64::saturating_add);
        let mut reading_tokens = self.reading_tokens();
        let mut started = Vec::new();
        let mut index = 0;
        while index < self.waiting.len()
            && started.len() < max_started
            && self.running.len() < limits.batch_slots as usize
        {
            let request = &self.waiting[index];
            let fits = self.running.is_empty()
                || used_kv_tokens.saturating_add(request.kv_tokens) <= limits.kv_tokens;
            if !fits {
                break;
            }
            if !can_serve(request) {
                index += 1;
                continue;
            }
            let is_read_alone = reading_tokens == 0;
            reading_tokens = reading_tokens.saturating_add(request.prompt_tokens);
            if reading_tokens > max_reading_tokens && !is_read_alone {
                break;
            }
            let request = self.waiting.remove(index);
            used_kv_tokens = used_kv_tokens.saturating_add(request.kv_tokens);
            if request.account.is_some() {
                self.shares
                    .record_start(request.account.as_ref(), request.cost_units());
                self.sort_waiting(now_ms);
                index = 0;
            }
            started.push(request.clone());
            let running = RunningRequest {
                started_ms: now_ms,
                pinned: request.adapter.clone(),
                is_reading: true,
                request,
            };
            self.prompt_rate.start(now_ms);
            if now_ms <= running.request.objective_ms {
                self.timely_starts.record(now_ms);
            }
            self.running.insert(running.request.key, running);
        }
        started
    }

    /// Sorts the waiting requests in the order in which they start.
    ///
    /// A late request yields to those in time, unless its account has had less than its share: the next turn
    /// of an account with large requests may come only after the objective of each of them.
    fn sort_waiting(&mut self, now_ms: TimeMs) {
        let shares = &self.shares;
        self.waiting.sort_by_key(|request| {
            let is_late = now_ms > request.objective_ms;
            let account = request.account.as_ref();
            (
                is_late && !shares.is_behind(account),
                request.rank,
                shares.start_units(account),
                is_late,
                request.minor_rank,
                request.objective_ms,
            )
        });
    }

    /// Returns the late requests among those that `can_serve` allows which cannot start before their deadline
    /// while others that are in time go first, with the expected time until they could, in milliseconds.
    pub(super) fn without_room<F>(
        &self,
        batch_slots: u32,
        now_ms: TimeMs,
        can_serve: F,
    ) -> HashMap<u64, u64>
    where
        F: Fn(&EngineRequest) -> bool,
    {
        let mut late: Vec<&EngineRequest> = self
            .waiting
            .iter()
            .filter(|request| now_ms > request.objective_ms && can_serve(request))
            .filter(|request| !self.shares.is_behind(request.account.as_ref()))
            .collect();
        let mut without_room = HashMap::new();
        if late.is_empty() {
            return without_room;
        }
        late.sort_by_key(|request| (request.rank, request.minor_rank, request.objective_ms));
        let start_interval_ms = self.mean_run_ms / f64::from(batch_slots.max(1));
        let late_interval_ms = self
            .timely_starts
            .late_interval_ms(start_interval_ms, now_ms);
        let mut wait_ms = late_interval_ms;
        for request in late {
            if now_ms.saturating_add(wait_ms as u64) <= request.deadline_ms {
                wait_ms += late_interval_ms;
            } else {
                let retry_after_ms = wait_ms.min(TimelyStarts::MAX_WAIT_MS as f64);
                without_room.insert(request.key, retry_after_ms as u64);
            }
        }
        without_room
    }

    /// Returns the tokens of the prompts that the engine is reading.
    pub(super) fn reading_tokens(&self) -> u64 {
        let reading = self.running.values().filter(|run| run.is_reading);
        reading
            .map(|run| run.request.prompt_tokens)
            .fold(0, u64::saturating_add)
    }

    /// Records that a request has produced its first event, so that its prompt has been read.
    pub(super) fn record_first_event(&mut self, key: u64, now_ms: TimeMs) {
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        if std::mem::take(&mut running.is_reading) {
            let tokens = running.request.prompt_tokens;
            self.prompt_rate.finish(tokens, now_ms);
        }
    }

    /// Returns the rate at which the engine reads prompts, in tokens per millisecond.
    pub(super) fn prompt_tokens_per_ms(&self) -> f64 {
        self.prompt_rate.tokens_per_ms()
    }

    /// Returns the expected time until the first event of a request of this rank, in milliseconds,
    /// without the time to read its own prompt: the wait for a place in the batch, and the time to
    /// read the prompts ahead of it.
    pub(super) fn expected_first_event_ms(&self, rank: u32, batch_slots: u32) -> u64 {
        self.expected_wait_ms(rank, batch_slots) + self.reading_ms(rank)
    }

    /// Returns the expected time until the prompts ahead of a request of this rank are read, in milliseconds.
    pub(super) fn reading_ms(&self, rank: u32) -> u64 {
        let reading = self.running.values().filter(|run| run.is_reading);
        let tokens = reading
            .map(|run| &run.request)
            .chain(&self.waiting)
            .filter(|request| request.rank <= rank)
            .map(|request| request.prompt_tokens)
            .fold(0_u64, u64::saturating_add);
        (tokens as f64 / self.prompt_rate.tokens_per_ms()) as u64
    }

    /// Returns the expected wait of a request of this rank for a place in the batch, in
    /// milliseconds.
    pub(super) fn expected_wait_ms(&self, rank: u32, batch_slots: u32) -> u64 {
        self.wait_behind_ms(self.waiting_up_to(rank), batch_slots)
    }

    /// Returns the expected wait for a place in the batch behind `ahead` others, in milliseconds.
    fn wait_behind_ms(&self, ahead: usize, batch_slots: u32) -> u64 {
        let slots = batch_slots.max(1) as usize;
        let free = slots.saturating_sub(self.running.len());
        let runs_to_await = (ahead + 1).saturating_sub(free);
        (runs_to_await as f64 * self.mean_run_ms / slots as f64) as u64
    }

    /// Returns the expected wait of a request that arrives now for a place in the batch, in milliseconds.
    pub(super) fn expected_wait_of(&self, request: &EngineRequest, batch_slots: u32) -> u64 {
        self.wait_behind_ms(self.waiting_before(request), batch_slots)
    }

    /// Returns the number of waiting requests that start before one which arrives now.
    fn waiting_before(&self, request: &EngineRequest) -> usize {
        let Some(account) = &request.account else {
            return self.waiting_up_to(request.rank);
        };
        let is_ahead = |other: &&EngineRequest| {
            (other.rank, other.minor_rank) <= (request.rank, request.minor_rank)
        };
        let (own, others): (Vec<_>, Vec<_>) = self
            .waiting
            .iter()
            .filter(|other| other.rank <= request.rank)
            .partition(|other| other.account.as_ref() == Some(account));
        let own_ahead: Vec<_> = own.into_iter().filter(is_ahead).collect();
        let start_units = own_ahead
            .iter()
            .map(|other| other.cost_units())
            .fold(self.shares.start_units(Some(account)), u64::saturating_add);
        own_ahead.len() + self.others_before(request.rank, start_units, &others)
    }

    /// Returns how many of the requests of other accounts start before the virtual time `start_units`, or
    /// have a more urgent rank than `rank`.
    fn others_before(&self, rank: u32, start_units: u64, others: &[&EngineRequest]) -> usize {
        let mut reached_units: HashMap<Option<&Arc<str>>, u64> = HashMap::new();
        let mut count = 0;
        for other in others {
            let account = other.account.as_ref();
            let other_units = reached_units
                .entry(account)
                .or_insert_with(|| self.shares.start_units(account));
            if other.rank < rank || *other_units <= start_units {
                count += 1;
            }
            *other_units = other_units.saturating_add(other.cost_units());
        }
        count
    }

    /// Returns the number of waiting requests that start before one of this rank which arrives now.
    pub(super) fn waiting_up_to(&self, rank: u32) -> usize {
        let ranks = self.waiting.iter().map(|request| request.rank);
        ranks.filter(|&other| other <= rank).count()
    }

    /// Returns the adapters of waiting requests for which `is_missing` returns `true`, with the sum
    /// of the requests' weights. A weight grows with the waiting time and is small for a request
    /// that would miss its objective even if the load, which takes `load_ms`, began at once.
    pub(super) fn missing_adapters<L, F>(
        &self,
        now_ms: TimeMs,
        load_ms: L,
        is_missing: F,
    ) -> HashMap<&Arc<str>, f64>
    where
        L: Fn(&str) -> u64,
        F: Fn(&EngineRequest, &Arc<str>) -> bool,
    {
        let mut missing = HashMap::new();
        for (request, adapter) in self.without_adapter(is_missing) {
            let is_late = now_ms + load_ms(adapter) > request.objective_ms;
            let weight = if is_late { LATE_WEIGHT } else { 1.0 };
            let age_ms = now_ms.saturating_sub(request.arrived_ms) as f64;
            *missing.entry(adapter).or_insert(0.0) += weight + age_ms / AGE_WEIGHT_MS;
        }
        missing
    }

    /// Returns the fetches, each of which takes `fetch_ms`, of the adapters of waiting requests for which
    /// `is_missing` returns `true`.
    pub(super) fn pending_fetches<F>(
        &self,
        now_ms: TimeMs,
        fetch_ms: u64,
        batch_slots: u32,
        is_missing: F,
    ) -> Vec<PendingFetch>
    where
        F: Fn(&EngineRequest, &Arc<str>) -> bool,
    {
        let mut pending: HashMap<&Arc<str>, PendingFetch> = HashMap::new();
        let mut first_event_ms_by_rank = HashMap::new();
        for (request, adapter) in self.without_adapter(is_missing) {
            let fetch = pending.entry(adapter).or_insert_with(|| PendingFetch {
                adapter: adapter_key(adapter),
                ..PendingFetch::default()
            });
            let first_event_ms = *first_event_ms_by_rank
                .entry(request.rank)
                .or_insert_with(|| self.expected_first_event_ms(request.rank, batch_slots));
            let prompt_ms = request.prompt_tokens as f64 / self.prompt_rate.tokens_per_ms();
            // A caller may name any number of tokens.
            let ready_ms = [first_event_ms, fetch_ms, prompt_ms as u64]
                .into_iter()
                .fold(now_ms, u64::saturating_add);
            let left_ms = request.objective_ms.checked_sub(ready_ms);
            fetch.left_ms = [fetch.left_ms, left_ms].into_iter().flatten().min();
            fetch.waited_ms = fetch
                .waited_ms
                .max(now_ms.saturating_sub(request.arrived_ms));
            fetch.requests += 1;
        }
        pending.into_values().collect()
    }

    /// Returns the waiting requests, with their adapters, for which `is_missing` returns `true`.
    fn without_adapter<F>(&self, is_missing: F) -> impl Iterator<Item = (&EngineRequest, &Arc<str>)>
    where
        F: Fn(&EngineRequest, &Arc<str>) -> bool,
    {
        self.waiting
            .iter()
            .filter_map(|request| Some((request, request.adapter.as_ref()?)))
            .filter(move |(request, adapter)| is_missing(request, adapter))
    }

    /// Returns whether a waiting request needs an adapter.
    pub(super) fn needs_adapter(&self, adapter: &str) -> bool {
        self.waiting
            .iter()
            .any(|request| request.adapter.as_deref() == Some(adapter))
    }
}
