//! Answers on their way from the server to an entry.

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
    pub(super) fn head(
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
            Work::Call { .. } => true,
        };
        if !is_right_model {
            self.contain_wrong_model(id, actions);
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

    /// Stops a run for which the engine used another adapter, and loads the right one anew.
    fn contain_wrong_model(&mut self, id: RunId, actions: &mut Vec<AgentAction>) {
        let slot = self.runs[&id].slot();
        self.abort_run(id, RefusalReason::WrongModel, actions);
        if let Some((slot, generation)) = slot {
            self.reload(slot, generation, actions);
        }
    }

    pub(super) fn chunk(&mut self, id: RunId, data: Bytes, actions: &mut Vec<AgentAction>) {
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

    pub(super) fn run_ended(&mut self, now_ms: TimeMs, id: RunId, actions: &mut Vec<AgentAction>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        match run.stage {
            Stage::Running if run.head.is_some() => {
                let run = run.clone();
                self.record_job(&run);
                self.clear_suspect(now_ms, run.fingerprint, actions);
                self.end_run(id, run.end(), actions);
            }
            Stage::Running => self.fail_run(id, RefusalReason::EngineError, actions),
            Stage::Cancelling => {
                let reason = run.given_up.unwrap_or(RefusalReason::CallerGone);
                self.fail_run(id, reason, actions);
            }
            Stage::Waiting | Stage::Ended => {}
        }
    }

    fn clear_suspect(&mut self, now_ms: TimeMs, fingerprint: u64, actions: &mut Vec<AgentAction>) {
        if self.suspects.record_completion(fingerprint, now_ms) {
            self.announce(fingerprint, crate::SuspectStatus::Clear, actions);
        }
    }

    fn announce(
        &self,
        fingerprint: u64,
        verdict: crate::SuspectStatus,
        actions: &mut Vec<AgentAction>,
    ) {
        actions.push(AgentAction::Verdict {
            fingerprint,
            verdict,
        });
        let notice = SuspectNotice {
            fingerprint,
            verdict: verdict.code(),
        };
        self.broadcast(notice, actions);
    }

    pub(super) fn run_failed(
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
        if let Some(reason) = run.given_up {
            self.fail_run(id, reason, actions);
            return;
        }
        match failure {
            RunFailure::NotSent => {
                self.refuse_run(id, RefusalReason::EngineError, actions);
            }
            RunFailure::NotResident => {
                let slot = run.slot();
                run.stage = Stage::Waiting;
                if let Some((slot, generation)) = slot {
                    self.reload(slot, generation, actions);
                }
            }
            RunFailure::Error => self.fail_run(id, RefusalReason::EngineError, actions),
            RunFailure::Broken => self.fail_run(id, RefusalReason::LinkLost, actions),
            RunFailure::Cancelled => self.fail_run(id, RefusalReason::CallerGone, actions),
        }
    }

    /// Ends everything that a crashed server ran or held.
    pub(super) fn server_crashed(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
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
            let verdict = self.suspects.record_crash(fingerprint, ran_alone, now_ms);
            self.announce(fingerprint, verdict, actions);
            self.fail_run(id, RefusalReason::EngineCrashed, actions);
        }
        let waiting: Vec<RunId> = self
            .runs
            .values()
            .filter(|run| run.stage == Stage::Waiting && run.slot().is_some())
            .map(|run| run.id)
            .collect();
        for id in waiting {
            self.refuse_run(id, RefusalReason::EngineError, actions);
        }
        self.pending_loads.clear();
        self.slots.clear_all();
        self.report.server_restarted();
    }

    pub(super) fn resume(&mut self, link: LinkId, resume: &Resume, actions: &mut Vec<AgentAction>) {
        let Some(entry) = self.links.get(&link).and_then(|link| link.entry) else {
            return;
        };
        let attempt = resume.attempt;
        if let Some(&id) = self.by_attempt.get(&(entry, attempt)) {
            let Some(run) = self.runs.get_mut(&id) else {
                return;
            };
            run.link = Some(link);
            run.orphaned_ms = None;
            for message in run.replay(resume.next_sequence) {
                send(actions, link, message);
            }
            return;
        }
        // Raising the watermark makes sure that the attempt will not run if it arrives late.
        let watermark = self.watermarks.entry(entry).or_default();
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

    pub(super) fn acknowledge(&mut self, link: LinkId, attempt: u64) {
        let Some(id) = self.find(link, attempt) else {
            return;
        };
        if self.runs[&id].stage == Stage::Ended {
            self.forget(id);
        }
    }
}
