//! Crashes of the engine, the requests that may have caused them, and the quarantine of those that did.
//!
//! The entries count crashes and decide what is quarantined; an agent refuses it, whichever entry sends
//! it, and tells entries that start later.

use {
    super::state::{AgentState, LinkId},
    crate::{
        events::{EventId, emit},
        gateway::{
            fingerprint_list::FingerprintList,
            pool::SendError,
            quarantine_log::{ChangeCause, Decider, log_quarantine},
        },
    },
    hyper::StatusCode,
    magnoliasail_core::gateway::{
        EngineRefusal, Quarantine,
        message::{
            CrashReport, QuarantineChange, QuarantinesSent, Submit, SuspectRequest, ToEntryKind,
        },
        server_start_fingerprint, service_fingerprint,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

impl AgentState {
    /// Records that the engine broke off a request, which is a suspect if the engine has crashed.
    pub(super) fn record_broken_off(&self, key: u64, error: &SendError) {
        self.report_requested.notify_one();
        let suspect = self.with_request(key, |request| {
            emit(
                EventId::AnswerBrokenOff,
                format_args!(
                    "request={} {error}",
                    request.metadata.id.as_deref().unwrap_or("-")
                ),
            );
            request.submit.suspect.clone()
        });
        if let Some(suspect) = suspect.flatten().filter(|_| !error.is_unsent()) {
            let now_ms = self.clock.now_ms();
            self.crash_detector
                .borrow_mut()
                .record_broken_off(suspect, now_ms);
        }
    }

    /// Records that a request was cancelled that the engine may still run, and may crash on.
    pub(super) fn record_cancelled(&self, suspect: Option<SuspectRequest>) {
        if let Some(suspect) = suspect {
            let now_ms = self.clock.now_ms();
            let mut crash_detector = self.crash_detector.borrow_mut();
            crash_detector.record_cancelled(suspect, now_ms);
        }
    }

    /// Records that the engine is gone or has started anew. An engine that was about to exit has not
    /// crashed.
    pub(super) fn record_engine_gone(&self) {
        let now_ms = self.clock.now_ms();
        let suspects = self.crash_detector.borrow_mut().take_suspects(now_ms);
        if suspects.is_empty() || self.scheduler.borrow().is_ending() {
            return;
        }
        emit(
            EventId::EngineCrashed,
            format_args!(
                "engine={} broken_off={} fingerprints={}",
                self.engine_address,
                suspects.len(),
                FingerprintList(&suspects)
            ),
        );
        let engine = self.engine_address.to_string();
        let service = self.settings.backend_service.as_deref().unwrap_or_default();
        self.pass_on_crash(CrashReport {
            server_start: server_start_fingerprint(&engine, self.engine_started_ms()),
            requests: suspects,
            service: service_fingerprint(service),
        });
    }

    /// Sends the report of a crash to all entries.
    pub(super) fn pass_on_crash(&self, report: CrashReport) {
        self.metrics.crashes.inc();
        self.broadcast(&ToEntryKind::Crash(report));
    }

    /// Returns the time for which a request is quarantined, in milliseconds, or `None` if it may run.
    pub(super) fn quarantine_left_ms(&self, submit: &Submit) -> Option<u64> {
        let suspect = submit.suspect.as_ref()?;
        self.quarantine
            .borrow()
            .left_ms(suspect, self.clock.now_ms())
    }

    /// Applies a change of the quarantine from an entry, and refuses the queued requests that it concerns.
    /// The entry is told if what it quarantines has completed here, and the other entries if it ends a
    /// quarantine, which they may have started too.
    pub(super) fn apply_quarantine(self: &Rc<Self>, link: LinkId, change: QuarantineChange) {
        let now_ms = self.clock.now_ms();
        let notice = self
            .quarantine
            .borrow()
            .completion_notice(change.fingerprint, now_ms);
        if let Some(notice) = notice.filter(|_| !change.is_ended) {
            self.send(link, ToEntryKind::Completed(notice));
        }
        if !self.quarantine.borrow_mut().apply(change, now_ms) {
            return;
        }
        log_quarantine(change, Decider::Entry, ChangeCause::Reported);
        let count = self.quarantine.borrow().len(now_ms);
        self.metrics.quarantined.set(count as i64);
        if change.is_ended {
            self.broadcast_except(link, &ToEntryKind::Quarantine(change));
            return;
        }
        self.refuse_waiting_where(EngineRefusal::Quarantined, |request| {
            self.quarantine_left_ms(&request.submit)
        });
    }

    /// Records that a request completed with this status. A server may fail a request before it has run what
    /// would crash it, so only success counts, and only once the engine has outlived it.
    pub(super) fn record_completed(&self, suspect: SuspectRequest, status: StatusCode) {
        if status.is_success() {
            let now_ms = self.clock.now_ms();
            let mut crash_detector = self.crash_detector.borrow_mut();
            crash_detector.record_completed(suspect, now_ms);
        }
    }

    /// Records that the engine answered a report that was requested at `requested_ms`, and tells all entries
    /// if a request that had completed before ends a quarantine.
    pub(super) fn record_engine_alive(&self, requested_ms: u64) {
        let completed = self.crash_detector.borrow_mut().record_alive(requested_ms);
        let now_ms = self.clock.now_ms();
        for suspect in completed {
            let ended = self
                .quarantine
                .borrow_mut()
                .record_completion(&suspect, now_ms);
            for change in ended {
                log_quarantine(change, Decider::Agent, ChangeCause::Completed);
                self.broadcast(&ToEntryKind::Quarantine(change));
            }
        }
    }

    /// Sends an entry what is quarantined and confirmed.
    fn send_quarantines(&self, link: LinkId) {
        let now_ms = self.clock.now_ms();
        for change in self.quarantine.borrow().changes_to_replay(now_ms) {
            self.send(link, ToEntryKind::Quarantine(change));
        }
    }
}

/// Tells an entry whose link has come up what is quarantined, and later what was not confirmed yet.
pub(super) async fn tell_entry(state: Rc<AgentState>, link: LinkId) {
    state.send_quarantines(link);
    state.send(link, ToEntryKind::QuarantinesSent(QuarantinesSent {}));
    sleep(Duration::from_millis(Quarantine::CONFIRMATION_MS)).await;
    state.send_quarantines(link);
}
