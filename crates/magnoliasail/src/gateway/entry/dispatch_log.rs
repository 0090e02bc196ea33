//! What the dispatch of a request logs and measures.

use {
    super::{
        dispatch::{Dispatch, RespondingServer},
        refusal::{Refusal, log_refusal},
        state::PickedServer,
    },
    crate::{
        events::{EventId, emit},
        gateway::metrics::Stage,
    },
    hyper::StatusCode,
};

impl Dispatch {
    pub(super) fn log_failed_attempt(&self, pick: &PickedServer, outcome: &'static str) {
        let left_ms = self.left_ms();
        emit(
            EventId::AttemptFailed,
            format_args!(
                "request={} fingerprint={:016x} server={} software_version={} started_ms={:?} outcome={outcome} left_ms={left_ms} sent={}",
                self.id(),
                self.outgoing.suspect.request,
                pick.id,
                pick.software_version.as_deref().unwrap_or("-"),
                pick.started_ms,
                self.servers_reached
            ),
        );
    }

    pub(super) fn log_caller_left(&self) {
        let waited_ms = self.state.clock.now_ms().saturating_sub(self.arrived_ms);
        emit(
            EventId::CallerLeft,
            format_args!(
                "request={} fingerprint={:016x} in_flight={} sent={} waited_ms={waited_ms} left_ms={}",
                self.id(),
                self.outgoing.suspect.request,
                self.attempts_in_flight,
                self.servers_reached,
                self.left_ms()
            ),
        );
    }

    /// Logs the response of a server: each server error, and a sample of the others.
    pub(super) fn log_answered(&self, status: StatusCode, server: &RespondingServer) {
        let is_sampled = self.state.count_answered();
        if !is_sampled && !status.is_server_error() {
            return;
        }
        let took_ms = self.state.clock.now_ms().saturating_sub(self.arrived_ms);
        emit(
            EventId::RequestAnswered,
            format_args!(
                "request={} status={} service={} server={} software_version={} resumes={} sent={} took_ms={took_ms}",
                self.id(),
                status.as_u16(),
                self.route.service,
                server.id,
                server.software_version.as_deref().unwrap_or("-"),
                self.outgoing.metadata.resumes.as_deref().unwrap_or("-"),
                self.servers_reached
            ),
        );
    }

    pub(super) fn log_refused(&self, refusal: &Refusal) {
        log_refusal(
            Some(self.id()),
            self.outgoing.account.as_deref(),
            refusal.cause,
            refusal.retry_after_ms,
            self.left_ms(),
        );
    }

    /// Records the duration of a stage that started with the request's arrival and ends now.
    pub(super) fn record_stage(&self, stage: Stage) {
        let took_ms = self.state.clock.now_ms().saturating_sub(self.arrived_ms);
        self.state.metrics.observe_stage(stage, took_ms);
    }
}
