//! Quarantine of requests and of parts of prompts that crash the servers on which they run.
//!
//! A server that crashes breaks off all requests that run on it, and nothing says which of them it
//! crashed on, or on what in it. What keeps being there when servers crash, and never completes in
//! between, is quarantined: requests with it are refused before they reach a server. A request is
//! identified by the fingerprint of its content, since each attempt of a caller has an id of its own. A
//! part of a prompt is shared by different requests, and is quarantined only if it was there with several.
//!
//! Many servers may crash at once for another reason, such as a loss of power, beside content that
//! callers request all the time. What has completed recently is therefore quarantined only after crashes
//! at separate times, and only if nothing that has not completed explains them. A part that was at fewer
//! than half of the crashes of the last moment does not explain them, and waits for further evidence.
//!
//! Each entry counts the crashes that agents report. A quarantine that one process starts is adopted by
//! the others; a process that has seen a completion says so, and whoever started the quarantine decides
//! again.

use {
    super::{
        crash::{count_separate, explains, explains_better},
        crash_evidence::{CrashEvidence, RepeatedSuspect},
        expiring_map::ExpiringMap,
        message::{CompletionNotice, CrashReport, QuarantineChange, SuspectRequest},
        recent_crashes::RecentCrashes,
        unproven_completions::{Completion, UnprovenCompletions},
    },
    crate::TimeMs,
    std::{net::IpAddr, sync::Arc},
};

/// Crashes after which what was there at all of them is quarantined.
const MAX_CRASHES: usize = 3;
/// Time for which a completion counts as recent. Content that matters to many callers completes more
/// often.
const COMPLETION_RETENTION_MS: u64 = 60_000;
/// Time within which a further completion need not be recorded.
const COMPLETION_RESOLUTION_MS: u64 = 1_000;
/// Limit on the suspects with which one is compared at a crash, the most suspicious first. It keeps the work
/// small when all parts of long prompts are at the same crashes.
const MAX_COMPARED: usize = 32;
/// Limit on the completions that are remembered, by fingerprint.
const MAX_COMPLETED: usize = 114_688;
/// Time for which the start of a quarantine may be on its way from a process that has not heard of its end yet.
const CROSSING_MS: u64 = 500;
/// Limit on the quarantined fingerprints.
const MAX_QUARANTINED: usize = 16_384;

/// Records of what was there when servers crashed, and what is quarantined.
#[derive(Clone, Debug)]
pub struct Quarantine {
    evidence: CrashEvidence,
    /// When requests and parts last completed, by fingerprint.
    completed: ExpiringMap<TimeMs>,
    /// The completions whose servers may have crashed right after them.
    unproven: UnprovenCompletions,
    recent_crashes: RecentCrashes,
    /// The parts that this process quarantined recently.
    unconfirmed_parts: Vec<UnconfirmedPart>,
    /// The latest change of each quarantine, by fingerprint. Processes exchange these; whichever change
    /// was decided later is in force.
    changes: ExpiringMap<Change>,
}

/// A completion that counts because its server has outlived it.
#[derive(Clone, Debug)]
pub struct ProvenCompletion {
    /// The fingerprint of the request.
    pub request: u64,
    /// The id that the caller gave the request.
    pub id: Option<Arc<str>>,
    /// The number of crashes that counted against the request or a part of its prompt.
    pub crashes: usize,
    /// The quarantines that end.
    pub ended: Vec<QuarantineChange>,
}

/// A part that may be found not to explain the crashes after all.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedPart {
    fingerprint: u64,
    service: u64,
    quarantined_ms: TimeMs,
}

/// The start or the end of a quarantine.
#[derive(Clone, Copy, Debug)]
struct Change {
    is_ended: bool,
    decided_ms: TimeMs,
    /// When the quarantine started first, if it has been renewed since.
    since_ms: TimeMs,
    is_part: bool,
}

impl Change {
    /// Returns whether this change is in force although another one is reported.
    const fn outdates(&self, is_other_end: bool, other_decided_ms: TimeMs) -> bool {
        match (self.is_ended, is_other_end) {
            (true, false) => self.decided_ms + CROSSING_MS > other_decided_ms,
            (false, true) => self.decided_ms > other_decided_ms + CROSSING_MS,
            _ => self.decided_ms > other_decided_ms,
        }
    }
}

impl Quarantine {
    /// Time for which a quarantine lasts, and for which crashes count.
    pub const RETENTION_MS: u64 = 86_400_000;
    /// Time after which a quarantine stands, because processes that have seen completions have said so.
    pub const CONFIRMATION_MS: u64 = 2_000;

    /// Records a crash; returns the quarantines that it starts, and those that it ends because something
    /// else is the more likely cause.
    pub fn record_crash(&mut self, report: &CrashReport, now_ms: TimeMs) -> Vec<QuarantineChange> {
        self.recent_crashes.record(report, now_ms);
        let mut changes = self.end_unexplained(now_ms);
        // A crash beside a request that is quarantined already needs no other explanation.
        let is_explained = |suspect| self.left_ms(suspect, now_ms).is_some();
        if report.requests.iter().any(is_explained) {
            return changes;
        }
        let completed = &self.completed;
        let has_completed = |fingerprint| completed.get(fingerprint, now_ms).is_some();
        let suspects = self.evidence.record(report, has_completed, now_ms);
        for suspect in &suspects {
            let is_justified = self.is_justified(suspect, report.service, now_ms);
            if !is_justified || is_explained_by_others(suspect, &suspects) {
                continue;
            }
            let change = QuarantineChange {
                fingerprint: suspect.fingerprint,
                is_part: suspect.is_part(),
                ..QuarantineChange::default()
            };
            if !self.apply(change, now_ms) {
                continue;
            }
            changes.push(change);
            if change.is_part {
                self.unconfirmed_parts.push(UnconfirmedPart {
                    fingerprint: change.fingerprint,
                    service: report.service,
                    quarantined_ms: now_ms,
                });
            }
        }
        changes
    }

    /// Returns whether the crashes justify the quarantine of what was there at the last one.
    fn is_justified(&self, suspect: &RepeatedSuspect, service: u64, now_ms: TimeMs) -> bool {
        let count = count_separate(&suspect.crashes, suspect.has_completed);
        let explains_recent = || {
            self.recent_crashes
                .are_explained_by(suspect.fingerprint, service, now_ms)
        };
        count >= MAX_CRASHES && (!suspect.is_part() || explains_recent())
    }

    /// Ends the quarantines of parts that were started within the last moment and that do not explain
    /// half of its crashes any more. The crashes still count against them: the part may crash servers beside
    /// those that ended for another reason.
    fn end_unexplained(&mut self, now_ms: TimeMs) -> Vec<QuarantineChange> {
        self.unconfirmed_parts
            .retain(|part| now_ms.saturating_sub(part.quarantined_ms) < Self::CONFIRMATION_MS);
        let unexplained: Vec<u64> = self
            .unconfirmed_parts
            .iter()
            .filter(|part| {
                !self
                    .recent_crashes
                    .are_explained_by(part.fingerprint, part.service, now_ms)
            })
            .map(|part| part.fingerprint)
            .collect();
        let mut ended = Vec::new();
        for part in unexplained {
            let crashes = self.evidence.discard_until(part, 0, now_ms);
            ended.extend(self.end(part, now_ms));
            self.evidence.restore(part, crashes, now_ms);
        }
        ended
    }

    /// Records that a request completed, so that neither it nor a part of its prompt crashes each server;
    /// returns the quarantines that this ends.
    pub fn record_completion(
        &mut self,
        suspect: &SuspectRequest,
        now_ms: TimeMs,
    ) -> Vec<QuarantineChange> {
        let mut ended = Vec::new();
        for fingerprint in fingerprints(suspect) {
            self.remember_completion(fingerprint, now_ms, now_ms);
            self.evidence.discard(fingerprint);
            ended.extend(self.end(fingerprint, now_ms));
        }
        ended
    }

    /// Records that a request completed at the server of a service on this VM, whose crashes another process
    /// reports. It counts, as in [`Self::record_completion`], once the server has outlived it.
    pub fn record_unproven_completion(
        &mut self,
        suspect: SuspectRequest,
        id: Option<Arc<str>>,
        (vm, service): (IpAddr, u64),
        now_ms: TimeMs,
    ) {
        self.unproven.add(Completion {
            suspect,
            id,
            vm,
            service,
            completed_ms: now_ms,
        });
    }

    /// Records that the server of a service on this VM has crashed, so that what it completed just before does not
    /// count.
    pub fn refute_completions(&mut self, vm: IpAddr, service: u64) {
        self.unproven.refute(vm, service);
    }

    /// Records the completions that count by now.
    pub fn record_proven_completions(&mut self, now_ms: TimeMs) -> Vec<ProvenCompletion> {
        let mut proven = Vec::new();
        while let Some(Completion { suspect, id, .. }) = self.unproven.take_proven(now_ms) {
            proven.push(ProvenCompletion {
                request: suspect.request,
                id,
                crashes: self.counted_crashes(&suspect, now_ms),
                ended: self.record_completion(&suspect, now_ms),
            });
        }
        proven
    }

    /// Returns the number of crashes that count against a request, or against a part of its prompt.
    #[must_use]
    pub fn counted_crashes(&self, suspect: &SuspectRequest, now_ms: TimeMs) -> usize {
        fingerprints(suspect)
            .map(|fingerprint| self.evidence.count(fingerprint, now_ms))
            .max()
            .unwrap_or(0)
    }

    /// Applies the notice that something completed at another process; returns the end of its quarantine
    /// if the crashes do not justify it any more.
    pub fn apply_completion(
        &mut self,
        notice: CompletionNotice,
        now_ms: TimeMs,
    ) -> Option<QuarantineChange> {
        let fingerprint = notice.fingerprint;
        let completed_ms = now_ms.saturating_sub(notice.age_ms);
        self.remember_completion(fingerprint, completed_ms, now_ms);
        if self.evidence.count(fingerprint, now_ms) == 0 {
            return None;
        }
        let crashes = self
            .evidence
            .discard_until(fingerprint, completed_ms, now_ms);
        let completed = &self.completed;
        let has_completed = |other| completed.get(other, now_ms).is_some();
        let is_justified = count_separate(&crashes, true) >= MAX_CRASHES
            && !self.evidence.is_explained(&crashes, has_completed, now_ms);
        if is_justified {
            return None;
        }
        self.end(fingerprint, now_ms)
    }

    /// Returns the notice that something completed recently, as an answer to its quarantine, or `None`
    /// if this process has not seen it complete.
    #[must_use]
    pub fn completion_notice(&self, fingerprint: u64, now_ms: TimeMs) -> Option<CompletionNotice> {
        let completed_ms = *self.completed.get(fingerprint, now_ms)?;
        Some(CompletionNotice {
            fingerprint,
            age_ms: now_ms.saturating_sub(completed_ms),
        })
    }

    /// Applies a change that another process reports, unless a later one is known; returns whether
    /// something is now refused, or not refused any more.
    ///
    /// Two processes that decide at nearly the same time do not agree on which of them was later. The end is in
    /// force then: it follows from a completion, or from other crashes, of which the other process has not heard yet.
    pub fn apply(&mut self, change: QuarantineChange, now_ms: TimeMs) -> bool {
        let fingerprint = change.fingerprint;
        let decided_ms = now_ms.saturating_sub(change.age_ms);
        let known = self.changes.get(fingerprint, now_ms).copied();
        if known.is_some_and(|known| known.outdates(change.is_ended, decided_ms)) {
            return false;
        }
        let was_quarantined = self.fingerprint_left_ms(fingerprint, now_ms).is_some();
        let renewed = known.filter(|_| was_quarantined && !change.is_ended);
        let change = Change {
            is_ended: change.is_ended,
            decided_ms,
            since_ms: renewed.map_or(decided_ms, |known| known.since_ms),
            is_part: change.is_part,
        };
        self.changes.record(fingerprint, change, now_ms);
        // An end that this process has decided too leaves it the evidence of its own decision.
        if change.is_ended && was_quarantined {
            self.evidence.discard(fingerprint);
        }
        was_quarantined == change.is_ended
    }

    /// Returns the time for which a request, or a part of its prompt, is still quarantined, in
    /// milliseconds, or `None` if the request may run.
    #[must_use]
    pub fn left_ms(&self, suspect: &SuspectRequest, now_ms: TimeMs) -> Option<u64> {
        fingerprints(suspect)
            .filter_map(|fingerprint| self.fingerprint_left_ms(fingerprint, now_ms))
            .max()
    }

    /// Returns the number of fingerprints that are remembered as suspects.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Returns the number of fingerprints that are quarantined.
    #[must_use]
    pub fn len(&self, now_ms: TimeMs) -> usize {
        let changes = self.changes.iter(now_ms);
        changes
            .filter(|&(fingerprint, _)| self.fingerprint_left_ms(fingerprint, now_ms).is_some())
            .count()
    }

    /// Returns whether nothing is quarantined.
    #[must_use]
    pub fn is_empty(&self, now_ms: TimeMs) -> bool {
        self.len(now_ms) == 0
    }

    /// Returns what to tell a process to which a link has come up: all changes except quarantines of parts
    /// that may end at once because another process has seen a completion. Those are due after
    /// [`Self::CONFIRMATION_MS`], if they still stand then; agents refuse them meanwhile. Requests are
    /// shared by few callers, and plain servers have no agent to refuse them.
    pub fn changes_to_replay(&self, now_ms: TimeMs) -> impl Iterator<Item = QuarantineChange> + '_ {
        self.changes
            .iter(now_ms)
            .filter(move |(_, change)| {
                let age_ms = now_ms.saturating_sub(change.since_ms);
                change.is_ended || !change.is_part || age_ms >= Self::CONFIRMATION_MS
            })
            .map(move |(fingerprint, change)| QuarantineChange {
                fingerprint,
                is_ended: change.is_ended,
                age_ms: now_ms.saturating_sub(change.decided_ms),
                is_part: change.is_part,
            })
    }

    /// Returns the ends, as far as this process knows them, of quarantines of a request and of the parts of its
    /// prompt: what to tell a process that refuses the request.
    #[must_use]
    pub fn known_ends(&self, suspect: &SuspectRequest, now_ms: TimeMs) -> Vec<QuarantineChange> {
        let end = |fingerprint| {
            let change = self.changes.get(fingerprint, now_ms)?;
            change.is_ended.then(|| QuarantineChange {
                fingerprint,
                is_ended: true,
                age_ms: now_ms.saturating_sub(change.decided_ms),
                is_part: change.is_part,
            })
        };
        fingerprints(suspect).filter_map(end).collect()
    }

    fn fingerprint_left_ms(&self, fingerprint: u64, now_ms: TimeMs) -> Option<u64> {
        let change = self.changes.get(fingerprint, now_ms)?;
        let end_ms = change.decided_ms + Self::RETENTION_MS;
        (!change.is_ended && end_ms > now_ms).then(|| end_ms - now_ms)
    }

    /// Ends a quarantine; returns the change, or `None` if there is no such quarantine.
    fn end(&mut self, fingerprint: u64, now_ms: TimeMs) -> Option<QuarantineChange> {
        let change = QuarantineChange {
            fingerprint,
            is_ended: true,
            ..QuarantineChange::default()
        };
        let is_quarantined = self.fingerprint_left_ms(fingerprint, now_ms).is_some();
        (is_quarantined && self.apply(change, now_ms)).then_some(change)
    }

    /// Records the time of a completion, unless a later or nearly equal one is known.
    fn remember_completion(&mut self, fingerprint: u64, completed_ms: TimeMs, now_ms: TimeMs) {
        let known_ms = self.completed.get(fingerprint, now_ms);
        if known_ms.is_none_or(|known_ms| completed_ms > known_ms + COMPLETION_RESOLUTION_MS) {
            self.completed.record(fingerprint, completed_ms, now_ms);
        }
    }
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            evidence: CrashEvidence::new(Self::RETENTION_MS),
            completed: ExpiringMap::new(COMPLETION_RETENTION_MS, MAX_COMPLETED),
            unproven: UnprovenCompletions::default(),
            recent_crashes: RecentCrashes::default(),
            unconfirmed_parts: Vec::new(),
            changes: ExpiringMap::new(Self::RETENTION_MS, MAX_QUARANTINED),
        }
    }
}

/// Returns whether something else that ran at the same crash, and has not completed, explains the crashes of a
/// suspect. Sound requests share their parts with those that crash servers, and may complete too seldom to
/// show it between the crashes.
fn is_explained_by_others(suspect: &RepeatedSuspect, running: &[RepeatedSuspect]) -> bool {
    let others = running.iter().filter(|other| !other.has_completed);
    let mut others = others.take(MAX_COMPARED);
    if suspect.has_completed {
        return others.any(|other| explains(&other.crashes, &suspect.crashes));
    }
    suspect.is_part() && others.any(|other| explains_better(&other.crashes, &suspect.crashes))
}

/// Returns the fingerprints of a request and of the parts of its prompt.
fn fingerprints(suspect: &SuspectRequest) -> impl Iterator<Item = u64> + '_ {
    std::iter::once(suspect.request).chain(suspect.parts.iter().copied())
}
