//! Start, cancellation, expiry and end of a run.

use {
    super::{
        Agent, AgentAction, LinkId, Refusal, RequestTarget, RunId, ServerRequest,
        run::{Run, Stage, Work},
        send,
    },
    crate::{
        RefusalReason, TimeMs,
        message::{AgentMessage, Failed},
    },
    std::sync::Arc,
};

impl Agent {
    /// Sends waiting requests to the server while it has capacity, by priority, then by age.
    ///
    /// A suspect runs alone.
    pub(super) fn start_runs(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        loop {
            let running = self.runs.values().filter(|run| run.is_running()).count();
            let is_suspect_running = self
                .runs
                .values()
                .any(|run| run.is_running() && run.is_suspect);
            if running >= self.settings.capacity || is_suspect_running {
                return;
            }
            let Some(id) = self.next_startable_run() else {
                return;
            };
            if self.runs[&id].is_suspect && running > 0 {
                return;
            }
            self.start_run(now_ms, id, actions);
        }
    }

    pub(super) fn next_startable_run(&self) -> Option<RunId> {
        let is_startable = |run: &&Run| {
            run.stage == Stage::Waiting
                && run.pinned_slot().is_none_or(|(slot, generation)| {
                    self.slots.is_ready(slot) && self.slots.generation(slot) == generation
                })
        };
        // A suspect runs first, so that it does not starve while others keep the server busy.
        self.runs
            .values()
            .filter(is_startable)
            .min_by_key(|run| (!run.is_suspect, u32::MAX - run.priority, run.id))
            .map(|run| run.id)
    }

    pub(super) fn start_run(&mut self, now_ms: TimeMs, id: RunId, actions: &mut Vec<AgentAction>) {
        let fencing_token = self.lease.fencing_token();
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.stage = Stage::Running;
        let stall_ms = run.stall_ms(now_ms);
        self.report.record_stall(stall_ms);
        let target = match &run.work {
            Work::Model { adapter, .. } => RequestTarget::Model {
                adapter: adapter.clone(),
            },
            Work::Service {
                method,
                path,
                content_type,
                key,
            } => RequestTarget::Service {
                method: Arc::clone(method),
                path: Arc::clone(path),
                content_type: Arc::clone(content_type),
                key: key.as_ref().map_or("".into(), |key| Arc::clone(key.text())),
                fencing_token: key.as_ref().map_or(0, |_| fencing_token),
            },
        };
        let request = ServerRequest {
            target,
            priority: run.priority,
            body: run.body.clone(),
            budget_ms: run.deadline_ms.saturating_sub(now_ms),
        };
        actions.push(AgentAction::Run {
            run: id,
            request,
            stall_ms,
        });
    }

    pub(super) fn handle_cancel(
        &mut self,
        link: LinkId,
        attempt: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(id) = self.find_run(link, attempt) else {
            return;
        };
        self.cancel_run(id, RefusalReason::CallerGone, actions);
    }

    /// Refuses a waiting run, cancels a running one unless it is a job, and removes an ended one.
    pub(super) fn cancel_run(
        &mut self,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        match run.stage {
            Stage::Waiting => self.refuse_run(id, reason, actions),
            Stage::Running if run.key().is_none() => self.abort_run(id, reason, actions),
            Stage::Running | Stage::Cancelling => {}
            Stage::Ended => self.remove_run(id),
        }
    }

    /// Cancels a run at the server; its slot stays pinned until the daemon confirms the end.
    pub(super) fn abort_run(
        &mut self,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stage = Stage::Cancelling;
            run.cancel_reason = Some(reason);
            actions.push(AgentAction::CancelRun { run: id });
        }
    }

    /// Refuses a run that never reached the server.
    pub(super) fn refuse_run(
        &mut self,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let attempt = run.attempt;
        let key = run.key().map(|key| Arc::clone(key.text()));
        let refusal = Refusal {
            reason,
            covers_key: key.is_some(),
            epoch: key.map_or(0, |key| self.ledger.withdraw(&key)),
        };
        actions.push(AgentAction::Refused { reason });
        let final_message = self.refused_message(attempt, refusal).into();
        self.finish_run(id, final_message, actions);
    }

    /// Fails a run that may have reached the server.
    pub(super) fn fail_run(
        &mut self,
        id: RunId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let attempt = run.attempt;
        if let Some(key) = run.key() {
            let key = Arc::clone(key.text());
            self.ledger.mark_answer_lost(&key);
        }
        actions.push(AgentAction::Refused { reason });
        let reason = reason.code();
        self.finish_run(id, Failed { attempt, reason }.into(), actions);
    }

    /// Ends a run with its final message and unpins its slot.
    pub(super) fn finish_run(
        &mut self,
        id: RunId,
        final_message: AgentMessage,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some((slot, generation)) = run.pinned_slot() {
            self.slots.unpin(slot, generation);
        }
        run.stage = Stage::Ended;
        run.body.clear();
        run.final_message = Some(final_message.clone());
        if let Some(link) = run.link {
            send(actions, link, final_message);
        }
    }

    pub(super) fn remove_run(&mut self, id: RunId) {
        if let Some(run) = self.runs.remove(&id) {
            self.by_attempt.remove(&(run.entry, run.attempt));
        }
    }

    pub(super) fn find_run(&self, link: LinkId, attempt: u64) -> Option<RunId> {
        let entry = self.links.get(&link)?.entry?;
        self.by_attempt.get(&(entry, attempt)).copied()
    }

    /// Ends the runs whose deadline has passed or whose entry has not reconnected within the resume
    /// window.
    pub(super) fn expire_runs(&mut self, now_ms: TimeMs, actions: &mut Vec<AgentAction>) {
        let window_ms = self.settings.resume_window_ms;
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        for id in ids {
            let run = &self.runs[&id];
            let is_orphan = run
                .orphaned_since_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > window_ms);
            let is_late = now_ms >= run.deadline_ms;
            match run.stage {
                Stage::Ended if is_orphan => self.remove_run(id),
                Stage::Waiting if is_late => {
                    self.refuse_run(id, RefusalReason::DeadlineExceeded, actions);
                }
                Stage::Waiting | Stage::Running if is_orphan => {
                    self.cancel_run(id, RefusalReason::LinkLost, actions);
                }
                Stage::Running if is_late => {
                    self.cancel_run(id, RefusalReason::DeadlineExceeded, actions);
                }
                _ => {}
            }
        }
    }
}
