//! Admission of attempts.
//!
//! Within one event, an attempt is checked, gets its adapter pinned and is accepted, or it is
//! refused.

use {
    super::{
        Agent, AgentAction, LinkId, Refusal, RunId,
        run::{Run, Stage, Work},
        send,
    },
    crate::{
        AdapterRef, PinResult, RefusalReason, SuspectStatus, TimeMs,
        job::JobKey,
        message::{Accepted, JobWork, ModelWork, Refused, Submit, submit},
    },
};

/// An attempt that an entry has submitted and that is not accepted yet.
#[derive(Clone, Debug)]
pub(super) struct IncomingAttempt {
    pub(super) link: LinkId,
    pub(super) entry: u64,
    pub(super) submit: Submit,
}

impl Agent {
    pub(super) fn handle_submit(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        mut submit: Submit,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(entry) = self.links.get(&link).and_then(|link| link.entry) else {
            return;
        };
        // An attempt at or below the watermark is a duplicate, or was ruled out by a resume.
        let watermark = self.attempt_watermarks.entry(entry).or_default();
        if submit.attempt <= *watermark {
            return;
        }
        *watermark = submit.attempt;
        let attempt = submit.attempt;
        let work = submit.work.take();
        let incoming = IncomingAttempt {
            link,
            entry,
            submit,
        };
        let result = match work {
            Some(submit::Work::Model(model)) => {
                self.submit_model(now_ms, incoming, &model, actions)
            }
            Some(submit::Work::Job(call)) => self.submit_service(now_ms, incoming, &call, actions),
            None => Err(RefusalReason::BadRequest.into()),
        };
        if let Err(refusal) = result {
            self.refuse(link, attempt, refusal, actions);
        }
    }

    pub(super) fn submit_model(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        model: &ModelWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        let adapter = model.adapter.as_ref().ok_or(RefusalReason::BadRequest)?;
        if !self.settings.service.is_empty() {
            return Err(RefusalReason::NoServer.into());
        }
        let is_suspect = self.check_admission(now_ms, &incoming.submit)?;
        let adapter = AdapterRef::from(adapter);
        let past_uses = f64::from(model.past_milli_uses) / 1_000.0;
        let slot = match self.slots.pin(&adapter, past_uses, now_ms) {
            PinResult::Ready { slot } | PinResult::Loading { slot } => slot,
            PinResult::Reserved { slot, evicted } => {
                self.order_load(slot, &adapter, evicted, actions);
                slot
            }
            PinResult::Busy => return Err(RefusalReason::SlotsBusy.into()),
        };
        let generation = self.slots.generation(slot);
        let work = Work::Model {
            adapter,
            slot,
            generation,
        };
        self.accept(now_ms, incoming, work, is_suspect, actions);
        Ok(())
    }

    pub(super) fn submit_service(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        call: &JobWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        if call.service != *self.settings.service {
            return Err(RefusalReason::NotHome.into());
        }
        if !call.key.is_empty() {
            return self.submit_job(now_ms, incoming, call, actions);
        }
        let is_suspect = self.check_admission(now_ms, &incoming.submit)?;
        let work = service_work(call, None);
        self.accept(now_ms, incoming, work, is_suspect, actions);
        Ok(())
    }

    /// Checks whether a request may be accepted; returns `true` if it must run alone.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub(super) fn check_admission(
        &self,
        now_ms: TimeMs,
        submit: &Submit,
    ) -> Result<bool, RefusalReason> {
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if self.active_table.version() == 0 {
            return Err(RefusalReason::NotConfigured);
        }
        if self.waiting_count() >= self.settings.max_queue {
            return Err(RefusalReason::QueueFull);
        }
        match self.suspects.status(submit.fingerprint, now_ms) {
            SuspectStatus::Clear => Ok(false),
            SuspectStatus::Quarantined => Err(RefusalReason::Poisonous),
            SuspectStatus::Suspect => {
                let has_suspect = self
                    .runs
                    .values()
                    .any(|run| run.is_suspect && run.stage != Stage::Ended);
                if has_suspect {
                    return Err(RefusalReason::SuspectBusy);
                }
                Ok(true)
            }
        }
    }

    /// Adds a run for an attempt and confirms the admission to the entry.
    pub(super) fn accept(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        work: Work,
        is_suspect: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let link = incoming.link;
        let attempt = incoming.submit.attempt;
        self.add_run(now_ms, incoming, work, is_suspect);
        send(actions, link, Accepted { attempt });
    }

    pub(super) fn add_run(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        work: Work,
        is_suspect: bool,
    ) -> RunId {
        let IncomingAttempt {
            link,
            entry,
            submit,
        } = incoming;
        let id = self.next_run_id;
        self.next_run_id += 1;
        let waits_for_load = match &work {
            Work::Model { slot, .. } => !self.slots.is_ready(*slot),
            Work::Service { .. } => false,
        };
        let run = Run {
            id,
            entry,
            attempt: submit.attempt,
            link: Some(link),
            orphaned_since_ms: None,
            work,
            stage: Stage::Waiting,
            cancel_reason: None,
            fingerprint: submit.fingerprint,
            is_suspect,
            waits_for_load,
            priority: submit.priority,
            body: submit.body,
            accepted_ms: now_ms,
            deadline_ms: now_ms.saturating_add(submit.budget_ms),
            head: None,
            chunks: Vec::new(),
            retained_bytes: 0,
            final_message: None,
        };
        self.by_attempt.insert((entry, run.attempt), id);
        self.runs.insert(id, run);
        id
    }

    pub(super) fn refuse(
        &self,
        link: LinkId,
        attempt: u64,
        refusal: Refusal,
        actions: &mut Vec<AgentAction>,
    ) {
        actions.push(AgentAction::Refused {
            reason: refusal.reason,
        });
        send(actions, link, self.refused_message(attempt, refusal));
    }

    pub(super) fn refused_message(&self, attempt: u64, refusal: Refusal) -> Refused {
        Refused {
            attempt,
            reason: refusal.reason.code(),
            retry_after_ms: self.retry_after_ms(),
            covers_key: refusal.covers_key,
            epoch: refusal.epoch,
            load: Some(self.brief_report()),
        }
    }

    /// Returns the delay after which a refused attempt may be retried; it grows with the queue.
    pub(super) fn retry_after_ms(&self) -> u64 {
        const BASE_MS: u64 = 250;
        const PER_WAITING_MS: u64 = 25;
        BASE_MS + PER_WAITING_MS * self.waiting_count() as u64
    }
}

/// Returns the work of a call of a plain service, which is a job if it has a `key`.
pub(super) fn service_work(call: &JobWork, key: Option<JobKey>) -> Work {
    Work::Service {
        method: call.method.as_str().into(),
        path: call.path.as_str().into(),
        content_type: call.content_type.as_str().into(),
        key,
    }
}
