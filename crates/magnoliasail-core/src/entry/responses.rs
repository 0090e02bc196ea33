//! Relay of responses from agents to callers.
//!
//! Chunks are relayed in order and without gaps, the model in the head is checked, and a response
//! counts as complete only if the entry has relayed as many chunks as the agent reports at its end.

use {
    super::{
        Entry, EntryAction,
        request::{Attempt, Request, Stage, Target},
        send,
    },
    crate::{
        Outcome, Placement, RefusalReason, RetryReason, TimeMs,
        message::{Acknowledge, Cancel, Chunk, End, Failed, Head, Refused},
    },
    std::sync::Arc,
};

impl<P: Placement> Entry<P> {
    /// Returns the request of an attempt on `vm`, or `None` if the attempt has ended.
    fn request_for_attempt(&mut self, vm: &Arc<str>, number: u64) -> Option<(u64, &mut Request)> {
        let id = *self.request_by_attempt.get(&number)?;
        let request = self.requests.get_mut(&id)?;
        match &request.stage {
            Stage::Sent(attempt) if attempt.number == number && attempt.vm == *vm => {
                Some((id, request))
            }
            _ => None,
        }
    }

    pub(super) fn handle_head(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        head: Head,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some((id, request)) = self.request_for_attempt(vm, head.attempt) else {
            actions.push(EntryAction::DroppedFrame);
            return;
        };
        let is_right_model = match &request.target {
            Target::Model { adapter } => adapter.model() == head.model,
            Target::Service { .. } => true,
        };
        if !is_right_model {
            let cancel = Cancel {
                attempt: head.attempt,
            };
            send(actions, vm, cancel);
            self.fail_attempt(now_ms, id, RefusalReason::WrongModel, actions);
            return;
        }
        if request.has_started_response {
            return;
        }
        request.has_started_response = true;
        actions.push(EntryAction::Head {
            request: id,
            status: head.status,
            content_type: head.content_type.into(),
            model: head.model.into(),
            vm: Arc::clone(vm),
        });
    }

    pub(super) fn handle_chunk(
        &mut self,
        vm: &Arc<str>,
        chunk: Chunk,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some((id, request)) = self.request_for_attempt(vm, chunk.attempt) else {
            actions.push(EntryAction::DroppedFrame);
            return;
        };
        let has_started_response = request.has_started_response;
        let Stage::Sent(attempt) = &mut request.stage else {
            return;
        };
        if !has_started_response || chunk.sequence != attempt.next_sequence {
            actions.push(EntryAction::DroppedFrame);
            return;
        }
        attempt.next_sequence += 1;
        actions.push(EntryAction::Data {
            request: id,
            data: chunk.data,
        });
    }

    pub(super) fn handle_end(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        end: &End,
        actions: &mut Vec<EntryAction>,
    ) {
        acknowledge(actions, vm, end.attempt);
        let Some((id, request)) = self.request_for_attempt(vm, end.attempt) else {
            actions.push(EntryAction::DroppedFrame);
            return;
        };
        let is_complete =
            request.has_started_response && in_flight_attempt(request).next_sequence == end.chunks;
        if !is_complete {
            self.fail_attempt(now_ms, id, RefusalReason::LinkLost, actions);
            return;
        }
        self.remove_request(id);
        actions.push(EntryAction::Completed { request: id });
    }

    pub(super) fn handle_refused(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        refused: &Refused,
        actions: &mut Vec<EntryAction>,
    ) {
        acknowledge(actions, vm, refused.attempt);
        if let Some(load) = &refused.load {
            self.servers.get_or_insert(vm).apply_refusal(load, now_ms);
        }
        let Some((id, request)) = self.request_for_attempt(vm, refused.attempt) else {
            actions.push(EntryAction::DroppedFrame);
            return;
        };
        let reason = RefusalReason::from_code(refused.reason);
        let is_job = request.key().is_some();
        // A suspect may run on one server only, so no other server can take it.
        let is_suspect_busy = reason == RefusalReason::SuspectBusy;
        request.excluded.push(Arc::clone(vm));
        request.epoch = request.epoch.max(refused.epoch);
        let outcome = match request.outcome() {
            Outcome::Unknown if is_job && refused.covers_key => Outcome::NotRun,
            outcome => outcome,
        };
        self.release_attempt(refused.attempt, vm);
        self.set_placing(id);
        let may_retry = if is_job {
            reason == RefusalReason::StaleAttempt
        } else {
            reason.is_retryable_elsewhere() && !is_suspect_busy
        };
        let retry_reason = if is_job {
            RetryReason::JobEpoch
        } else {
            RetryReason::Refused
        };
        if may_retry && self.retry(now_ms, id, retry_reason, actions) {
            return;
        }
        self.fail_request(id, reason, outcome, refused.retry_after_ms, actions);
    }

    pub(super) fn handle_failed(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        failed: &Failed,
        actions: &mut Vec<EntryAction>,
    ) {
        acknowledge(actions, vm, failed.attempt);
        let Some((id, request)) = self.request_for_attempt(vm, failed.attempt) else {
            actions.push(EntryAction::DroppedFrame);
            return;
        };
        request.excluded.push(Arc::clone(vm));
        let reason = RefusalReason::from_code(failed.reason);
        self.fail_attempt(now_ms, id, reason, actions);
    }

    /// Ends an attempt that may have run, and retries the request if that does no harm.
    pub(super) fn fail_attempt(
        &mut self,
        now_ms: TimeMs,
        id: u64,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.may_have_run = true;
        let may_retry = request.is_idempotent() && !request.has_started_response;
        let Attempt { number, vm, .. } = in_flight_attempt(request).clone();
        if !request.excluded.contains(&vm) {
            request.excluded.push(Arc::clone(&vm));
        }
        self.release_attempt(number, &vm);
        self.set_placing(id);
        if may_retry && self.retry(now_ms, id, RetryReason::Repeatable, actions) {
            return;
        }
        self.fail_request(id, reason, Outcome::Unknown, 1_000, actions);
    }

    fn set_placing(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Placing;
        }
    }
}

/// Returns the attempt in flight of a request.
///
/// # Panics
///
/// Panics if no attempt of the request is in flight.
fn in_flight_attempt(request: &Request) -> &Attempt {
    match &request.stage {
        Stage::Sent(attempt) => attempt,
        stage => panic!("request has no attempt in flight: {stage:?}"),
    }
}

fn acknowledge(actions: &mut Vec<EntryAction>, vm: &Arc<str>, attempt: u64) {
    send(actions, vm, Acknowledge { attempt });
}
