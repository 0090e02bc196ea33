//! Admission of jobs, each of which may run at most once.

use {
    super::{
        Agent, AgentAction, Refusal,
        admission::{IncomingAttempt, service_work},
        run::{Run, Stage},
        send,
    },
    crate::{
        RefusalReason, TimeMs,
        job::{JobAnswer, JobKey, JobState, KeySpan, LedgerLookup},
        message::{Head, JobWork},
    },
    std::sync::Arc,
};

impl Agent {
    /// Accepts a job, answers it from the ledger, or returns why it is refused.
    pub(super) fn submit_job(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        call: &JobWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        let key = JobKey::parse(&call.key).ok_or(RefusalReason::BadRequest)?;
        let span = self.key_span(&key, now_ms)?;
        let fingerprint = incoming.submit.fingerprint;
        let epoch = match self.ledger.lookup(&key, span, fingerprint) {
            LedgerLookup::Reused => return Err(RefusalReason::KeyReused.into()),
            LedgerLookup::MaybeEvicted => return Err(RefusalReason::JobMayHaveRun.into()),
            LedgerLookup::Known { epoch, state } => match state {
                JobState::NotRun => epoch,
                JobState::Running => return Err(RefusalReason::JobInProgress.into()),
                JobState::AnswerLost => return Err(RefusalReason::JobMayHaveRun.into()),
                JobState::Done(answer) => {
                    self.replay_job(now_ms, incoming, call, answer, actions);
                    return Ok(());
                }
            },
            LedgerLookup::New => 0,
        };
        self.check_ownership(&key, span)?;
        // The refusal that raised the epoch guaranteed that no earlier attempt would run.
        if call.epoch != epoch {
            return Err(Refusal {
                reason: RefusalReason::StaleAttempt,
                covers_key: false,
                epoch,
            });
        }
        match self.check_admission(now_ms, &incoming.submit) {
            Ok(is_suspect) => {
                self.ledger.start(&key, span, fingerprint);
                let work = service_work(call, Some(key));
                self.accept(now_ms, incoming, work, is_suspect, actions);
                Ok(())
            }
            Err(reason) => Err(Refusal {
                reason,
                covers_key: true,
                epoch: self.ledger.refuse(&key, span, fingerprint),
            }),
        }
    }

    /// Returns the span in which a key was created, as seen by this slot.
    fn key_span(&self, key: &JobKey, now_ms: TimeMs) -> Result<KeySpan, RefusalReason> {
        let row = self
            .active_table
            .rosters()
            .newest_row(&self.settings.service, &self.settings.slot);
        match row {
            Some(row) => Ok(key.span(now_ms, row.opaque_horizon_ms)),
            // A slot that has left the roster still answers for keys that contain a creation time.
            None if key.created_ms().is_some() => Ok(key.span(now_ms, 0)),
            None => Err(RefusalReason::NoJobLease),
        }
    }

    /// Checks that this incarnation, and no other, may run the job with a key.
    fn check_ownership(&self, key: &JobKey, span: KeySpan) -> Result<(), RefusalReason> {
        let row = self
            .active_table
            .rosters()
            .owner_slot(&self.settings.service, key.text(), span)
            .ok_or(RefusalReason::NoJobLease)?;
        if row.slot != self.settings.slot {
            return Err(RefusalReason::NotHome);
        }
        if self.lease.may_belong_to_successor(span, row.lease_ms) {
            return Err(RefusalReason::NoJobLease);
        }
        if self.lease.may_belong_to_predecessor(span, row.lease_ms) {
            return Err(RefusalReason::JobMayHaveRun);
        }
        Ok(())
    }

    /// Answers a resent job with the answer from the ledger.
    fn replay_job(
        &mut self,
        now_ms: TimeMs,
        incoming: IncomingAttempt,
        call: &JobWork,
        answer: JobAnswer,
        actions: &mut Vec<AgentAction>,
    ) {
        let link = incoming.link;
        let attempt = incoming.submit.attempt;
        let work = service_work(call, None);
        let id = self.add_run(now_ms, incoming, work, false);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.stage = Stage::Ended;
        run.head = Some(Head {
            attempt,
            status: answer.status,
            content_type: answer.content_type.to_string(),
            model: String::new(),
        });
        run.chunks = answer.chunks;
        run.final_message = Some(run.end_message());
        for message in run.replay(0) {
            send(actions, link, message);
        }
    }

    /// Records the answer of a completed run in the ledger if the run is a job.
    pub(super) fn record_job(&mut self, run: &Run) {
        let Some(key) = run.key() else { return };
        let head = run.head.as_ref();
        let answer = JobAnswer {
            status: head.map_or(0, |head| head.status),
            content_type: head.map_or("".into(), |head| Arc::from(head.content_type.as_str())),
            chunks: run.chunks.clone(),
        };
        self.ledger.complete(key.text(), answer);
    }
}
