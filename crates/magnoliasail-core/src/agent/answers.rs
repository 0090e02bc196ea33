//! Relaying of answers from the server to an entry, and the end of a run at the server.

use {
    super::{
        Agent, AgentAction, LinkId, RunFailure, RunId,
        run::{Stage, Work},
        send,
    },
    crate::{
        RefusalReason, TimeMs,
        message::{Chunk, Failed, Head, Refused, Resume, SuspectNotice},
    },
    bytes::Bytes,
};

impl Agent {
    pub(super) fn handle_head(
        &mut self,
        id: RunId,
        status: u32,
        content_type: &str,
        model: &str,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.stage != Stage::Running {
            return;
        }
        let is_right_model = match &run.work {
            Work::Model { adapter, .. } => adapter.model() == model,
            Work::Service { .. } => true,
        };
        if !is_right_model {
            self.reject_wrong_model(id, actions);
            return;
        }
        let head = Head {
            attempt: run.attempt,
            status,
            content_type: content_type.to_owned(),
            model: model.to_owned(),
        };
        run.head = Some(head.clone());
        if let Some(link) = run.link {
            send(actions, link, head);
        }
    }

    /// Cancels a run for which the engine used the wrong model, and reloads the right adapter.
    fn reject_wrong_model(&mut self, id: RunId, actions: &mut Vec<AgentAction>) {
        let slot = self.runs[&id].pinned_slot();
        self.abort_run(id, RefusalReason::WrongModel, actions);
        if let Some((slot, generation)) = slot {
            self.reload(slot, generation, actions);
        }
    }

    pub(super) fn handle_chunk(&mut self, id: RunId, data: Bytes, actions: &mut Vec<AgentAction>) {
        let max_retained_bytes = self.settings.max_retained_bytes;
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.stage != Stage::Running || run.head.is_none() {
            return;
        }
        if run.retained_bytes + data.len() > max_retained_bytes {
            self.abort_run(id, RefusalReason::TooLarge, actions);
            return;
        }
        run.retained_bytes += data.len();
        let chunk = Chunk {
            attempt: run.attempt,
            sequence: run.chunks.len() as u64,
            data: data.clone(),
        };
        run.chunks.push(data);
        if let Some(link) = run.link {
            send(actions, link, chunk);
        }
    }

    pub(super) fn handle_end(&mut self, now_ms: TimeMs, id: RunId, actions: &mut Vec<AgentAction>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        match run.stage {
            Stage::Running if run.head.is_some() => {
                let run = run.clone();
                self.record_job(&run);
                self.clear_suspect(now_ms, run.fingerprint, actions);
                self.finish_run(id, run.end_message(), actions);
            }
            Stage::Running => self.fail_run(id, RefusalReason::EngineError, actions),
            Stage::Cancelling => {
                let reason = run.cancel_reason.unwrap_or(RefusalReason::CallerGone);
                self.fail_run(id, reason, actions);
            }
            Stage::Waiting | Stage::Ended => {}
        }
    }

    fn clear_suspect(&mut self, now_ms: TimeMs, fingerprint: u64, actions: &mut Vec<AgentAction>) {
        if self.suspects.record_completion(fingerprint, now_ms) {
            self.broadcast_quarantine_change(fingerprint, crate::SuspectStatus::Clear, actions);
        }
    }

    fn broadcast_quarantine_change(
        &self,
        fingerprint: u64,
        status: crate::SuspectStatus,
        actions: &mut Vec<AgentAction>,
    ) {
        actions.push(AgentAction::QuarantineChanged {
            fingerprint,
            status,
        });
        let notice = SuspectNotice {
            fingerprint,
            verdict: status.code(),
        };
        self.broadcast(notice, actions);
    }

    pub(super) fn handle_run_failure(
        &mut self,
        id: RunId,
        failure: RunFailure,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if !run.is_running() {
            return;
        }
        if let Some(reason) = run.cancel_reason {
            self.fail_run(id, reason, actions);
            return;
        }
        match failure {
            RunFailure::NotSent => {
                self.refuse_run(id, RefusalReason::EngineError, actions);
            }
            RunFailure::NotResident => {
                let slot = run.pinned_slot();
                run.stage = Stage::Waiting;
                if let Some((slot, generation)) = slot {
                    self.reload(slot, generation, actions);
                }
            }
            RunFailure::ServerError => self.fail_run(id, RefusalReason::EngineError, actions),
            RunFailure::ConnectionLost => self.fail_run(id, RefusalReason::LinkLost, actions),
            RunFailure::Cancelled => self.fail_run(id, RefusalReason::CallerGone, actions),
        }
    }

    /// Fails every run on the crashed server, refuses the runs that wait for an adapter, and clears
    /// the slots.
    pub(super) fn handle_server_crashed(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let running: Vec<RunId> = self
            .runs
            .values()
            .filter(|run| run.is_running())
            .map(|run| run.id)
            .collect();
        for &id in &running {
            let run = &self.runs[&id];
            let fingerprint = run.fingerprint;
            let ran_alone = run.is_suspect && running.len() == 1;
            let status = self.suspects.record_crash(fingerprint, ran_alone, now_ms);
            self.broadcast_quarantine_change(fingerprint, status, actions);
            self.fail_run(id, RefusalReason::EngineCrashed, actions);
        }
        let waiting: Vec<RunId> = self
            .runs
            .values()
            .filter(|run| run.stage == Stage::Waiting && run.pinned_slot().is_some())
            .map(|run| run.id)
            .collect();
        for id in waiting {
            self.refuse_run(id, RefusalReason::EngineError, actions);
        }
        self.pending_loads.clear();
        self.slots.clear_all();
        self.report.record_server_restart();
    }

    /// Replays the rest of an answer to an entry.
    ///
    /// An attempt that has not arrived is refused and ruled out; one that was removed fails.
    pub(super) fn handle_resume(
        &mut self,
        link: LinkId,
        resume: &Resume,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(entry) = self.links.get(&link).and_then(|link| link.entry) else {
            return;
        };
        let attempt = resume.attempt;
        if let Some(&id) = self.by_attempt.get(&(entry, attempt)) {
            let Some(run) = self.runs.get_mut(&id) else {
                return;
            };
            run.link = Some(link);
            run.orphaned_since_ms = None;
            for message in run.replay(resume.next_sequence) {
                send(actions, link, message);
            }
            return;
        }
        // The raised watermark ensures that the attempt does not run if it arrives late.
        let watermark = self.attempt_watermarks.entry(entry).or_default();
        let reason = RefusalReason::LinkLost.code();
        if attempt > *watermark {
            *watermark = attempt;
            let refused = Refused {
                attempt,
                reason,
                ..Refused::default()
            };
            send(actions, link, refused);
        } else {
            send(actions, link, Failed { attempt, reason });
        }
    }

    pub(super) fn handle_acknowledge(&mut self, link: LinkId, attempt: u64) {
        let Some(id) = self.find_run(link, attempt) else {
            return;
        };
        if self.runs[&id].stage == Stage::Ended {
            self.remove_run(id);
        }
    }
}
