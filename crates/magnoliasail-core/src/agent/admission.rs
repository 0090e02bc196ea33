//! Admission of attempts: checked, pinned and accepted in one step, or refused.

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

/// An attempt as it arrived.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) link: LinkId,
    pub(super) entry: u64,
    pub(super) submit: Submit,
}

impl Agent {
    pub(super) fn submit(
        &mut self,
        now_ms: TimeMs,
        link: LinkId,
        mut submit: Submit,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(entry) = self.links.get(&link).and_then(|link| link.entry) else {
            return;
        };
        // A number at or below the watermark is a duplicate of an attempt that was seen before.
        let watermark = self.watermarks.entry(entry).or_default();
        if submit.attempt <= *watermark {
            return;
        }
        *watermark = submit.attempt;
        let attempt = submit.attempt;
        let work = submit.work.take();
        let arrival = Arrival {
            link,
            entry,
            submit,
        };
        let result = match work {
            Some(submit::Work::Model(part)) => self.submit_model(now_ms, arrival, &part, actions),
            Some(submit::Work::Job(part)) => self.submit_call(now_ms, arrival, &part, actions),
            None => Err(RefusalReason::BadRequest.into()),
        };
        if let Err(refusal) = result {
            self.refuse(link, attempt, refusal, actions);
        }
    }

    pub(super) fn submit_model(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        part: &ModelWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        let adapter = part.adapter.as_ref().ok_or(RefusalReason::BadRequest)?;
        if !self.settings.service.is_empty() {
            return Err(RefusalReason::NoServer.into());
        }
        let is_suspect = self.check_admission(now_ms, &arrival.submit)?;
        let adapter = AdapterRef::from(adapter);
        let past_uses = f64::from(part.past_milli_uses) / 1_000.0;
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
        self.accept(now_ms, arrival, work, is_suspect, actions);
        Ok(())
    }

    pub(super) fn submit_call(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        part: &JobWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        if part.service != *self.settings.service {
            return Err(RefusalReason::NotHome.into());
        }
        if !part.key.is_empty() {
            return self.submit_job(now_ms, arrival, part, actions);
        }
        let is_suspect = self.check_admission(now_ms, &arrival.submit)?;
        let work = call_work(part, None);
        self.accept(now_ms, arrival, work, is_suspect, actions);
        Ok(())
    }

    /// Returns whether the request must run alone, or why it is refused.
    pub(super) fn check_admission(
        &self,
        now_ms: TimeMs,
        submit: &Submit,
    ) -> Result<bool, RefusalReason> {
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if self.adoption.version() == 0 {
            return Err(RefusalReason::NotConfigured);
        }
        if self.waiting() >= self.settings.max_queue {
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

    pub(super) fn accept(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        work: Work,
        is_suspect: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let link = arrival.link;
        let attempt = arrival.submit.attempt;
        self.add_run(now_ms, arrival, work, is_suspect);
        send(actions, link, Accepted { attempt });
    }

    pub(super) fn add_run(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        work: Work,
        is_suspect: bool,
    ) -> RunId {
        let Arrival {
            link,
            entry,
            submit,
        } = arrival;
        let id = self.next_run;
        self.next_run += 1;
        let waits_for_load = match &work {
            Work::Model { slot, .. } => !self.slots.is_ready(*slot),
            Work::Call { .. } => false,
        };
        let run = Run {
            id,
            entry,
            attempt: submit.attempt,
            link: Some(link),
            orphaned_ms: None,
            work,
            stage: Stage::Waiting,
            given_up: None,
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
            ending: None,
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
        send(actions, link, self.refused(attempt, refusal));
    }

    pub(super) fn refused(&self, attempt: u64, refusal: Refusal) -> Refused {
        Refused {
            attempt,
            reason: refusal.reason.code(),
            retry_after_ms: self.retry_after_ms(),
            covers_key: refusal.covers_key,
            epoch: refusal.epoch,
            load: Some(self.brief_report()),
        }
    }

    pub(super) fn retry_after_ms(&self) -> u64 {
        const BASE_MS: u64 = 250;
        const PER_WAITING_MS: u64 = 25;
        BASE_MS + PER_WAITING_MS * self.waiting() as u64
    }
}

/// Returns the work of a call of a plain service.
pub(super) fn call_work(part: &JobWork, key: Option<JobKey>) -> Work {
    Work::Call {
        method: part.method.as_str().into(),
        path: part.path.as_str().into(),
        content_type: part.content_type.as_str().into(),
        key,
    }
}
