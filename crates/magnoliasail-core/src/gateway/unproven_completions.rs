//! Completions of requests whose servers may have crashed right after them.
//!
//! A server that crashes on a request may have sent a response that looks complete. An entry hears from the
//! server's agent that it is gone; a completion of which it hears nothing for a while counts.

use {
    super::message::SuspectRequest,
    crate::TimeMs,
    std::{collections::VecDeque, net::IpAddr, sync::Arc},
};

/// Time after a completion in which the report of a crash arrives: two reports of the server that time out.
const PROOF_MS: u64 = 1_000;
/// Limit on the completions that wait. The oldest counts early if there are more.
const CAPACITY: usize = 1_024;

/// Completions that do not count yet, in the order of their times.
#[derive(Clone, Debug, Default)]
pub(super) struct UnprovenCompletions {
    waiting: VecDeque<Completion>,
}

/// A completed request.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) suspect: SuspectRequest,
    /// The id that the caller gave the request, for logs.
    pub(super) id: Option<Arc<str>>,
    /// The VM of the server.
    pub(super) vm: IpAddr,
    /// The fingerprint of the server's service.
    pub(super) service: u64,
    pub(super) completed_ms: TimeMs,
}

impl UnprovenCompletions {
    /// Adds a completion that is later than the others.
    pub(super) fn add(&mut self, completion: Completion) {
        self.waiting.push_back(completion);
    }

    /// Drops the completions at a server of a service that has crashed.
    pub(super) fn refute(&mut self, vm: IpAddr, service: u64) {
        let is_refuted =
            |completion: &Completion| completion.vm == vm && completion.service == service;
        self.waiting.retain(|completion| !is_refuted(completion));
    }

    /// Takes a completion that counts by now.
    pub(super) fn take_proven(&mut self, now_ms: TimeMs) -> Option<Completion> {
        let oldest = self.waiting.front()?;
        let is_proven = now_ms.saturating_sub(oldest.completed_ms) >= PROOF_MS;
        if !is_proven && self.waiting.len() <= CAPACITY {
            return None;
        }
        self.waiting.pop_front()
    }
}
