//! Admission of jobs that may run at most once.

use {
    super::{
        Agent, AgentAction, Refusal,
        admission::{Arrival, call_work},
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
    pub(super) fn submit_job(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        part: &JobWork,
        actions: &mut Vec<AgentAction>,
    ) -> Result<(), Refusal> {
        let key = JobKey::parse(&part.key).ok_or(RefusalReason::BadRequest)?;
        let span = self.key_span(&key, now_ms)?;
        let fingerprint = arrival.submit.fingerprint;
        let epoch = match self.ledger.lookup(&key, span, fingerprint) {
            LedgerLookup::Reused => return Err(RefusalReason::KeyReused.into()),
            LedgerLookup::Forgotten => return Err(RefusalReason::JobMayHaveRun.into()),
            LedgerLookup::Known { epoch, state } => match state {
                JobState::NotRun => epoch,
                JobState::Running => return Err(RefusalReason::JobInProgress.into()),
                JobState::Lost => return Err(RefusalReason::JobMayHaveRun.into()),
                JobState::Done(answer) => {
                    self.replay_job(now_ms, arrival, part, answer, actions);
                    return Ok(());
                }
            },
            LedgerLookup::New => 0,
        };
        self.check_home(&key, span)?;
        // The refusal that raised the epoch told a caller that no attempt up to then would run.
        if part.epoch != epoch {
            return Err(Refusal {
                reason: RefusalReason::StaleAttempt,
                covers_key: false,
                epoch,
            });
        }
        match self.check_admission(now_ms, &arrival.submit) {
            Ok(is_suspect) => {
                self.ledger.start(&key, span, fingerprint);
                let work = call_work(part, Some(key));
                self.accept(now_ms, arrival, work, is_suspect, actions);
                Ok(())
            }
            Err(reason) => Err(Refusal {
                reason,
                covers_key: true,
                epoch: self.ledger.refuse(&key, span, fingerprint),
            }),
        }
    }

    fn key_span(&self, key: &JobKey, now_ms: TimeMs) -> Result<KeySpan, RefusalReason> {
        let row = self
            .adoption
            .rosters()
            .newest_row(&self.settings.service, &self.settings.slot);
        match row {
            Some(row) => Ok(key.span(now_ms, row.opaque_horizon_ms)),
            // A slot that has left the roster still answers for the keys that carry a time.
            None if key.minted_ms().is_some() => Ok(key.span(now_ms, 0)),
            None => Err(RefusalReason::NoJobLease),
        }
    }

    /// Checks that this incarnation, and no other, may run a key.
    fn check_home(&self, key: &JobKey, span: KeySpan) -> Result<(), RefusalReason> {
        let row = self
            .adoption
            .rosters()
            .home(&self.settings.service, key.text(), span)
            .ok_or(RefusalReason::NoJobLease)?;
        if row.slot != self.settings.slot {
            return Err(RefusalReason::NotHome);
        }
        if self.lease.may_be_successors(span, row.lease_ms) {
            return Err(RefusalReason::NoJobLease);
        }
        if self.lease.may_be_predecessors(span, row.lease_ms) {
            return Err(RefusalReason::JobMayHaveRun);
        }
        Ok(())
    }

    /// Answers a resent job from the ledger.
    fn replay_job(
        &mut self,
        now_ms: TimeMs,
        arrival: Arrival,
        part: &JobWork,
        answer: JobAnswer,
        actions: &mut Vec<AgentAction>,
    ) {
        let link = arrival.link;
        let attempt = arrival.submit.attempt;
        let work = call_work(part, None);
        let id = self.add_run(now_ms, arrival, work, false);
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
        run.ending = Some(run.end());
        for message in run.replay(0) {
            send(actions, link, message);
        }
    }

    /// Records the answer of a job that completed.
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
