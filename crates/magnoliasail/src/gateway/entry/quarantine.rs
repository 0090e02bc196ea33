//! Quarantine of requests and parts of prompts that crash servers, at an entry.
//!
//! Agents report crashes of their engines to all entries. Plain servers have no agent: the entry whose
//! request broke off reports it through agents, so that all entries count alike. When an entry starts or
//! ends a quarantine, it tells all agents, which refuse what other entries still send, object if they have
//! seen a completion, and tell entries that start later.

use {
    super::{
        attempt::OutgoingRequest,
        state::{EntryState, PickedServer},
    },
    crate::{
        events::{EventId, emit},
        gateway::{
            fingerprint_list::FingerprintList,
            quarantine_log::{ChangeCause, Decider, log_quarantine},
        },
    },
    hyper::StatusCode,
    magnoliasail_core::gateway::{
        Quarantine, ReplicaCandidate,
        message::{CompletionNotice, CrashReport, QuarantineChange, SuspectRequest, ToAgentKind},
        pick_replicas, server_start_fingerprint, service_fingerprint,
    },
    std::{net::IpAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

impl EntryState {
    pub(super) fn mark_quarantines_known(&self) {
        if !self.has_quarantines.replace(true) {
            self.changes.notify_waiters();
        }
    }

    /// Returns whether an entry that has just started may still be told by an agent what is quarantined.
    pub(super) fn awaits_quarantines(&self) -> bool {
        /// Time from the first read of the server list in which links usually come up.
        const MAX_WAIT_MS: u64 = 600;
        if self.has_quarantines.get() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let listed_since_ms = self.listed_since_ms.get();
        let is_over = listed_since_ms.is_some_and(|since_ms| now_ms > since_ms + MAX_WAIT_MS);
        !is_over && self.has_engines()
    }

    fn has_engines(&self) -> bool {
        let table = self.table.borrow();
        let directory = self.directory.borrow();
        directory
            .all()
            .any(|server| table.engine(&server.entry.service).is_some())
    }

    /// Returns the time for which a request is quarantined, in milliseconds, or `None` if it may run.
    pub(super) fn quarantine_left_ms(&self, suspect: &SuspectRequest) -> Option<u64> {
        self.quarantine
            .borrow()
            .left_ms(suspect, self.clock.now_ms())
    }

    /// Records that a request completed at a server with this status. A server may fail a request before it
    /// has run what would crash it, so only success counts. A completion at an engine counts once no crash of
    /// it has been reported for a while.
    pub(super) fn record_completion(
        &self,
        pick: &PickedServer,
        outgoing: &OutgoingRequest,
        status: StatusCode,
    ) {
        if !status.is_success() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let suspect = &outgoing.suspect;
        if pick.is_engine {
            let engine = (pick.address.ip(), service_fingerprint(&pick.service));
            let id = outgoing.metadata.id.clone();
            self.quarantine.borrow_mut().record_unproven_completion(
                suspect.clone(),
                id,
                engine,
                now_ms,
            );
            self.record_proven_completions();
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let crashes = quarantine.counted_crashes(suspect, now_ms);
        let ended = quarantine.record_completion(suspect, now_ms);
        drop(quarantine);
        log_discounted(outgoing.metadata.id.as_deref(), suspect.request, crashes);
        self.announce(&ended, ChangeCause::Completed);
    }

    fn record_proven_completions(&self) {
        let now_ms = self.clock.now_ms();
        let proven = self
            .quarantine
            .borrow_mut()
            .record_proven_completions(now_ms);
        for completion in proven {
            log_discounted(
                completion.id.as_deref(),
                completion.request,
                completion.crashes,
            );
            self.announce(&completion.ended, ChangeCause::Completed);
        }
    }

    /// Records that a request was cancelled at a server. A plain server may still run it, and crash on it;
    /// that of an engine is recorded by its agent.
    pub(super) fn record_cancelled(&self, pick: &PickedServer, outgoing: &OutgoingRequest) {
        if pick.is_engine {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut detectors = self.plain_crash_detectors.borrow_mut();
        detectors.retain(|_, detector| !detector.is_empty(now_ms));
        detectors
            .entry(server_start_fingerprint(&pick.id, pick.started_ms))
            .or_default()
            .record_cancelled(outgoing.suspect.clone(), now_ms);
    }

    /// Records that a plain server broke off a request, which may have crashed it.
    pub(super) fn record_plain_crash(&self, pick: &PickedServer, suspect: &SuspectRequest) {
        self.report_suspects(pick, Some(suspect.clone()));
    }

    /// Records that no process listens at the address of a plain server. If a request was cancelled there a
    /// moment ago, it may have crashed the server.
    pub(super) fn record_plain_server_gone(&self, pick: &PickedServer) {
        self.report_suspects(pick, None);
    }

    /// Reports a crash of a plain server at the request that it broke off, if any, and at those that were
    /// cancelled there a moment ago.
    fn report_suspects(&self, pick: &PickedServer, broken_off: Option<SuspectRequest>) {
        let server_start = server_start_fingerprint(&pick.id, pick.started_ms);
        let cancelled = self.take_cancelled(server_start);
        let requests: Vec<_> = broken_off.into_iter().chain(cancelled).collect();
        if !requests.is_empty() {
            self.report_plain_crash(CrashReport {
                server_start,
                requests,
                service: service_fingerprint(&pick.service),
            });
        }
    }

    /// Takes the requests that were cancelled at this start of a plain server a moment ago.
    fn take_cancelled(&self, server_start: u64) -> Vec<SuspectRequest> {
        let now_ms = self.clock.now_ms();
        let detector = self
            .plain_crash_detectors
            .borrow_mut()
            .remove(&server_start);
        detector.map_or_else(Vec::new, |mut detector| detector.take_suspects(now_ms))
    }

    /// Applies the report of a crash from the agent on a VM, and adds what this entry has cancelled at the same
    /// server, of which no other process knows. If it is of the engine there, what the engine completed just
    /// before does not count.
    pub(super) fn apply_reported_crash(&self, vm: IpAddr, report: CrashReport) {
        self.record_proven_completions();
        self.quarantine
            .borrow_mut()
            .refute_completions(vm, report.service);
        let requests = self.take_cancelled(report.server_start);
        self.apply_crash_report(&report);
        if !requests.is_empty() {
            self.report_plain_crash(CrashReport { requests, ..report });
        }
    }

    /// Applies the report of a crash of a plain server, and sends it to other entries through agents.
    fn report_plain_crash(&self, report: CrashReport) {
        emit(
            EventId::PlainServerCrashed,
            format_args!(
                "server_start={:016x} suspects={} fingerprints={}",
                report.server_start,
                report.requests.len(),
                FingerprintList(&report.requests)
            ),
        );
        self.apply_crash_report(&report);
        let links = self.links.borrow();
        let candidates = links
            .iter()
            .filter(|(_, link)| link.is_up())
            .map(|(&vm, _)| ReplicaCandidate {
                vm,
                data_centre: "".into(),
            })
            .collect();
        for vm in pick_replicas(report.server_start, None, candidates) {
            if let Some(link) = links.get(&vm) {
                // Without the link, the other entries miss one crash.
                let _ = link.send(ToAgentKind::Crash(report.clone()));
            }
        }
    }

    fn apply_crash_report(&self, report: &CrashReport) {
        self.metrics.crashes.inc();
        let now_ms = self.clock.now_ms();
        let changes = self.quarantine.borrow_mut().record_crash(report, now_ms);
        self.announce(&changes, ChangeCause::Crashed);
    }

    pub(super) fn apply_completion(&self, notice: CompletionNotice) {
        let now_ms = self.clock.now_ms();
        let change = self
            .quarantine
            .borrow_mut()
            .apply_completion(notice, now_ms);
        self.announce(change.as_slice(), ChangeCause::CompletedElsewhere);
    }

    pub(super) fn adopt_quarantine(&self, change: QuarantineChange) {
        let now_ms = self.clock.now_ms();
        if self.quarantine.borrow_mut().apply(change, now_ms) {
            log_quarantine(change, Decider::Agent, ChangeCause::Reported);
            self.count_quarantined();
        }
    }

    /// Logs the quarantines that this entry has started or ended, and tells all agents.
    fn announce(&self, changes: &[QuarantineChange], cause: ChangeCause) {
        for &change in changes {
            log_quarantine(change, Decider::Entry, cause);
            for link in self.links.borrow().values() {
                // An agent whose link is down is told when the link is up again.
                let _ = link.send(ToAgentKind::Quarantine(change));
            }
        }
        if !changes.is_empty() {
            self.count_quarantined();
        }
    }

    /// Tells the agent of a server, which refuses a request, which quarantines have ended. It may have missed that.
    pub(super) fn contest_quarantine(&self, pick: &PickedServer, suspect: &SuspectRequest) {
        let now_ms = self.clock.now_ms();
        let ends = self.quarantine.borrow().known_ends(suspect, now_ms);
        for change in ends {
            // If it is not taken, the next refusal brings it.
            let _ = self.send_to_agent(pick.address.ip(), ToAgentKind::Quarantine(change));
        }
    }

    /// Sends an agent what is quarantined and confirmed.
    fn send_quarantines(&self, vm: IpAddr) {
        let now_ms = self.clock.now_ms();
        for change in self.quarantine.borrow().changes_to_replay(now_ms) {
            // If the link goes down again, the agent is told at its next start.
            let _ = self.send_to_agent(vm, ToAgentKind::Quarantine(change));
        }
    }

    fn count_quarantined(&self) {
        let now_ms = self.clock.now_ms();
        let count = self.quarantine.borrow().len(now_ms);
        self.metrics.quarantined.set(count as i64);
    }
}

/// Tells an agent whose link has come up what is quarantined, and later what was not confirmed yet.
pub(super) async fn tell_agent(state: Rc<EntryState>, vm: IpAddr) {
    state.send_quarantines(vm);
    sleep(Duration::from_millis(Quarantine::CONFIRMATION_MS)).await;
    state.send_quarantines(vm);
}

/// Logs that crashes do not count against a request any more, if there were any.
fn log_discounted(id: Option<&str>, fingerprint: u64, crashes: usize) {
    if crashes > 0 {
        let id = id.unwrap_or("-");
        emit(
            EventId::CrashesDiscounted,
            format_args!("request={id} fingerprint={fingerprint:016x} crashes={crashes}"),
        );
    }
}
