//! Detects which requests may have crashed a server.
//!
//! A connection that breaks while a request runs does not show a crash: a sound engine may have reset
//! it. The request is kept for a moment. If the server then turns out to be gone or to have started
//! anew, it may have crashed on any of the requests that it broke off; if it answers, it has not.
//!
//! A request whose caller left is cancelled, but the server may run it for a while nevertheless. It is
//! kept for a moment too, and an answer of the server does not clear it.
//!
//! A completed request shows only that the server could write its response. The server may crash on it right
//! after, and its connection may end as if all had been sent. So a completion counts once the server answers
//! a report that was requested after it; until then the request is a suspect.

use {
    super::{
        message::SuspectRequest,
        suspect_sample::{MAX_SUSPECT_PARTS, limit_parts},
    },
    crate::TimeMs,
    std::{collections::VecDeque, mem},
};

/// Longest time between the break of a connection and the detection that the server is gone: that of
/// two unanswered reports.
const DETECTION_TIME_MS: u64 = 2_000;
/// Limit on the requests that are kept; more than the size of any batch.
const MAX_REQUESTS: usize = 256;

/// Requests that ended recently, at a server that may have crashed since.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    broken_off: Vec<EndedRequest>,
    /// The requests that completed, until the server is known to have outlived them; the oldest is dropped for
    /// a new one.
    completed: VecDeque<EndedRequest>,
    /// The cancelled requests; the oldest is dropped for a new one.
    cancelled: VecDeque<EndedRequest>,
    /// Decides which parts are kept if there are too many; changes with each crash.
    sample_seed: u64,
}

#[derive(Clone, Debug)]
struct EndedRequest {
    suspect: SuspectRequest,
    ended_ms: TimeMs,
}

impl CrashDetector {
    /// Records that the server broke off a request that it was running.
    pub fn record_broken_off(&mut self, suspect: SuspectRequest, now_ms: TimeMs) {
        self.drop_old(now_ms);
        if self.broken_off.len() < MAX_REQUESTS {
            self.broken_off.push(EndedRequest {
                suspect,
                ended_ms: now_ms,
            });
            bound_parts(self.broken_off.iter_mut(), self.sample_seed);
        }
    }

    /// Records that a request was cancelled, which the server may still run.
    pub fn record_cancelled(&mut self, suspect: SuspectRequest, now_ms: TimeMs) {
        self.drop_old(now_ms);
        push_latest(&mut self.cancelled, suspect, now_ms);
        bound_parts(self.cancelled.iter_mut(), self.sample_seed);
    }

    /// Records that a request completed.
    pub fn record_completed(&mut self, suspect: SuspectRequest, now_ms: TimeMs) {
        self.drop_old(now_ms);
        push_latest(&mut self.completed, suspect, now_ms);
        bound_parts(self.completed.iter_mut(), self.sample_seed);
    }

    /// Records that the server responded to a report request that was sent at `sent_ms`, so that it has
    /// not crashed before. Returns the requests that had completed by then.
    pub fn record_alive(&mut self, sent_ms: TimeMs) -> Vec<SuspectRequest> {
        self.broken_off.retain(|request| request.ended_ms > sent_ms);
        let outlived = |request: &EndedRequest| request.ended_ms <= sent_ms;
        let count = self
            .completed
            .iter()
            .take_while(|&request| outlived(request))
            .count();
        self.completed
            .drain(..count)
            .map(|request| request.suspect)
            .collect()
    }

    /// Records that the server is gone or has started anew; returns the requests that may be the cause.
    ///
    /// Requests whose connections break only later are returned by the next call.
    pub fn take_suspects(&mut self, now_ms: TimeMs) -> Vec<SuspectRequest> {
        self.drop_old(now_ms);
        let mut suspects: Vec<SuspectRequest> = mem::take(&mut self.broken_off)
            .into_iter()
            .chain(mem::take(&mut self.completed))
            .chain(mem::take(&mut self.cancelled))
            .map(|request| request.suspect)
            .collect();
        limit_parts(suspects.iter_mut(), self.sample_seed);
        self.sample_seed = now_ms;
        suspects
    }

    /// Returns whether no request may be the cause of a crash that is detected now.
    #[must_use]
    pub fn is_empty(&self, now_ms: TimeMs) -> bool {
        let ended = self.broken_off.iter().chain(&self.completed);
        !ended
            .chain(&self.cancelled)
            .any(|request| is_recent(request, now_ms))
    }

    fn drop_old(&mut self, now_ms: TimeMs) {
        self.broken_off.retain(|request| is_recent(request, now_ms));
        self.completed.retain(|request| is_recent(request, now_ms));
        self.cancelled.retain(|request| is_recent(request, now_ms));
    }
}

fn push_latest(requests: &mut VecDeque<EndedRequest>, suspect: SuspectRequest, ended_ms: TimeMs) {
    if requests.len() >= MAX_REQUESTS {
        requests.pop_front();
    }
    requests.push_back(EndedRequest { suspect, ended_ms });
}

/// Bounds the parts that are kept of these requests. A request that ends later is sampled by the same seed,
/// so that none is sampled down further than the others.
fn bound_parts<'a>(requests: impl Iterator<Item = &'a mut EndedRequest>, seed: u64) {
    let mut requests: Vec<_> = requests.collect();
    let count: usize = requests
        .iter()
        .map(|request| request.suspect.parts.len())
        .sum();
    if count > 2 * MAX_SUSPECT_PARTS {
        let suspects = requests.iter_mut().map(|request| &mut request.suspect);
        limit_parts(suspects, seed);
    }
}

const fn is_recent(request: &EndedRequest, now_ms: TimeMs) -> bool {
    now_ms.saturating_sub(request.ended_ms) <= DETECTION_TIME_MS
}
