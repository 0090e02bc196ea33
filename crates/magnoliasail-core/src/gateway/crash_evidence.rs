//! What was running at crashes of servers, within a bound that holds for prompts of any length.
//!
//! Nearly all that runs at a crash is never there at another one. It is remembered with that one crash
//! only, in many small records; few suspects are there again, and only these have a list of crashes. What
//! is there most often, and has not completed, is recorded last, so that it outlasts all the rest when the
//! bound is reached.

use {
    super::{
        crash::{Crash, explains},
        expiring_map::ExpiringMap,
        message::{CrashReport, SuspectRequest},
    },
    crate::TimeMs,
    std::{cmp::Reverse, collections::HashMap, iter},
};

/// Limit on the fingerprints that are remembered with one crash; more than a report holds.
const MAX_SEEN_ONCE: usize = 114_688;
/// Limit on the suspects that are remembered with several crashes.
const MAX_REPEATED: usize = 16_384;
/// Limit on the suspects with several crashes that one report records, so that those of earlier reports
/// stay.
const MAX_REPEATED_OF_A_REPORT: usize = 4_096;
/// Limit on the crashes that are remembered of one suspect.
const MAX_REMEMBERED_CRASHES: usize = 16;

/// The crashes at which requests and parts of prompts were running.
#[derive(Clone, Debug)]
pub(super) struct CrashEvidence {
    seen_once: ExpiringMap<Crash>,
    repeated: ExpiringMap<Vec<Crash>>,
}

/// A suspect that was running at the crash that is recorded, and at an earlier one.
#[derive(Clone, Debug)]
pub(super) struct RepeatedSuspect {
    pub(super) fingerprint: u64,
    pub(super) has_completed: bool,
    pub(super) crashes: Vec<Crash>,
}

impl RepeatedSuspect {
    /// Returns whether the suspect is a part of a prompt, rather than a request.
    pub(super) fn is_part(&self) -> bool {
        self.crashes
            .first()
            .is_some_and(|crash| crash.request.is_some())
    }
}

impl CrashEvidence {
    /// Creates an empty record that keeps each suspect for `retention_ms` milliseconds.
    pub(super) fn new(retention_ms: u64) -> Self {
        Self {
            seen_once: ExpiringMap::new(retention_ms, MAX_SEEN_ONCE),
            repeated: ExpiringMap::new(retention_ms, MAX_REPEATED),
        }
    }

    /// Records a crash; returns what was running at it and at an earlier one, the most suspicious first.
    /// `has_completed` tells whether a suspect completed recently.
    pub(super) fn record(
        &mut self,
        report: &CrashReport,
        has_completed: impl Fn(u64) -> bool,
        now_ms: TimeMs,
    ) -> Vec<RepeatedSuspect> {
        let running = || report.requests.iter().flat_map(fingerprints_with_request);
        let mut requests_with: HashMap<u64, u32> = HashMap::new();
        for (fingerprint, _) in running() {
            *requests_with.entry(fingerprint).or_default() += 1;
        }
        let mut suspects = HashMap::new();
        for (fingerprint, request) in running() {
            let crash = Crash {
                server_start: report.server_start,
                request,
                requests: requests_with[&fingerprint],
                at_ms: now_ms,
            };
            self.add(&mut suspects, fingerprint, crash, &has_completed);
        }
        let mut suspects: Vec<RepeatedSuspect> = suspects.into_values().collect();
        suspects.sort_unstable_by_key(|suspect| {
            let count = Reverse(suspect.crashes.len());
            (suspect.has_completed, count, suspect.fingerprint)
        });
        suspects.truncate(MAX_REPEATED_OF_A_REPORT);
        for suspect in suspects.iter().rev() {
            let crashes = suspect.crashes.clone();
            self.repeated.record(suspect.fingerprint, crashes, now_ms);
        }
        suspects
    }

    /// Adds a crash to those of a suspect, which is moved to `suspects` if it is there again.
    fn add(
        &mut self,
        suspects: &mut HashMap<u64, RepeatedSuspect>,
        fingerprint: u64,
        crash: Crash,
        has_completed: impl Fn(u64) -> bool,
    ) {
        if let Some(suspect) = suspects.get_mut(&fingerprint) {
            push_other(&mut suspect.crashes, crash, suspect.has_completed);
            return;
        }
        let now_ms = crash.at_ms;
        let has_completed = has_completed(fingerprint);
        let repeated = self.repeated.get(fingerprint, now_ms).cloned();
        let crashes = if let Some(mut crashes) = repeated {
            push_other(&mut crashes, crash, has_completed);
            crashes
        } else if let Some(&first) = self.seen_once.get(fingerprint, now_ms) {
            if !crash.is_other_than(&first, has_completed) {
                return;
            }
            self.seen_once.remove(fingerprint);
            vec![first, crash]
        } else {
            self.seen_once.record(fingerprint, crash, now_ms);
            return;
        };
        let suspect = RepeatedSuspect {
            fingerprint,
            has_completed,
            crashes,
        };
        suspects.insert(fingerprint, suspect);
    }

    /// Returns whether something else that has not completed explains these crashes of a suspect.
    pub(super) fn is_explained(
        &self,
        crashes: &[Crash],
        has_completed: impl Fn(u64) -> bool,
        now_ms: TimeMs,
    ) -> bool {
        self.repeated
            .iter(now_ms)
            .any(|(other, of_other)| explains(of_other, crashes) && !has_completed(other))
    }

    /// Drops the crashes of a suspect up to this time; returns the later ones.
    pub(super) fn discard_until(
        &mut self,
        fingerprint: u64,
        until_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Vec<Crash> {
        let repeated = self.repeated.remove(fingerprint).unwrap_or_default();
        let once = self.seen_once.remove(fingerprint);
        let mut crashes: Vec<Crash> = repeated.into_iter().chain(once).collect();
        crashes.retain(|crash| crash.at_ms > until_ms);
        self.restore(fingerprint, crashes.clone(), now_ms);
        crashes
    }

    /// Records crashes of a suspect that were dropped.
    pub(super) fn restore(&mut self, fingerprint: u64, crashes: Vec<Crash>, now_ms: TimeMs) {
        match crashes[..] {
            [] => {}
            [crash] => self.seen_once.record(fingerprint, crash, now_ms),
            _ => self.repeated.record(fingerprint, crashes, now_ms),
        }
    }

    /// Drops all crashes of a suspect.
    pub(super) fn discard(&mut self, fingerprint: u64) {
        self.seen_once.remove(fingerprint);
        self.repeated.remove(fingerprint);
    }

    /// Returns the number of crashes at which a suspect was running.
    pub(super) fn count(&self, fingerprint: u64, now_ms: TimeMs) -> usize {
        let once = self.seen_once.get(fingerprint, now_ms).map_or(0, |_| 1);
        let repeated = self.repeated.get(fingerprint, now_ms);
        repeated.map_or(once, Vec::len)
    }

    /// Returns the number of suspects that are remembered.
    pub(super) fn len(&self) -> usize {
        self.seen_once.len() + self.repeated.len()
    }
}

/// Returns the fingerprint of a request, and those of its parts with the request that has them.
fn fingerprints_with_request(
    suspect: &SuspectRequest,
) -> impl Iterator<Item = (u64, Option<u64>)> + '_ {
    let request = suspect.request;
    let parts = suspect.parts.iter().map(move |&part| (part, Some(request)));
    iter::once((request, None)).chain(parts)
}

fn push_other(crashes: &mut Vec<Crash>, crash: Crash, has_completed: bool) {
    let is_other = crashes
        .iter()
        .all(|earlier| crash.is_other_than(earlier, has_completed));
    if is_other && crashes.len() < MAX_REMEMBERED_CRASHES {
        crashes.push(crash);
    }
}
