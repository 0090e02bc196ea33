//! Requests that wait for the engine or run on it, from their arrival at the agent.

use {
    super::state::{AgentState, LinkId},
    crate::gateway::{
        buffer_budget::{FULL_RETRY_MS, HeldBytes},
        header_codec,
    },
    magnoliasail_core::gateway::{
        AdapterReadiness, EngineRefusal, EngineRequest, RequestMetadata, message::Submit,
    },
    magnoliasail_platform::headers,
    prost::Message,
    rand::Rng,
    std::rc::Rc,
    tokio::task::AbortHandle,
};

/// A queued or running request.
pub(super) struct ActiveRequest {
    pub(super) link: LinkId,
    pub(super) submit: Submit,
    pub(super) headers: hyper::HeaderMap,
    pub(super) metadata: RequestMetadata,
    /// The full name of the adapter, `model/adapter`.
    pub(super) adapter: Option<std::sync::Arc<str>>,
    /// Where the adapter was when the request arrived.
    pub(super) readiness: AdapterReadiness,
    pub(super) arrived_ms: u64,
    pub(super) deadline_ms: u64,
    /// The task that runs the request; absent while the request is queued.
    pub(super) task: Option<AbortHandle>,
    /// What counts towards the budget of the process while the request is kept.
    _held: HeldBytes,
}

impl AgentState {
    /// Returns whether the engine has another start than the request may run at.
    pub(super) fn has_other_start(&self, submit: &Submit) -> bool {
        submit
            .required_start_ms
            .is_some_and(|required_ms| self.engine_started_ms() != Some(required_ms))
    }

    /// Submits a request from an entry to the scheduler, or refuses it while the agent drains or holds too many
    /// bytes of others.
    pub(super) fn submit(self: &Rc<Self>, link: LinkId, submit: Submit) {
        self.metrics.requests.inc();
        if self.is_draining.get() {
            self.refuse(link, submit.attempt, EngineRefusal::Draining, 0);
            return;
        }
        if let Some(left_ms) = self.quarantine_left_ms(&submit) {
            self.refuse(link, submit.attempt, EngineRefusal::Quarantined, left_ms);
            return;
        }
        if self.has_other_start(&submit) {
            // The entry may know of a start that no report has named yet.
            self.report_requested.notify_one();
            self.refuse(link, submit.attempt, EngineRefusal::OtherStart, 0);
            return;
        }
        let Ok(held) = self.buffered.hold(submit.encoded_len()) else {
            let retry_after_ms = rand::rng().random_range(FULL_RETRY_MS);
            self.refuse(
                link,
                submit.attempt,
                EngineRefusal::BuffersFull,
                retry_after_ms,
            );
            return;
        };
        let now_ms = self.clock.now_ms();
        let headers = header_codec::decode_headers(&submit.headers);
        let metadata = headers::request_metadata(&headers);
        let model = metadata.model.clone().unwrap_or_else(|| "".into());
        let adapter = metadata
            .adapter
            .as_ref()
            .map(|adapter| format!("{model}/{adapter}").into());
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let deadline_ms = now_ms + submit.deadline_ms;
        let engine_request = EngineRequest {
            key,
            model,
            adapter: adapter.clone(),
            account: submit.account.as_deref().map(Into::into),
            rank: submit.rank,
            minor_rank: submit.minor_rank,
            prompt_tokens: metadata.prompt_tokens,
            kv_tokens: metadata
                .prompt_tokens
                .saturating_add(metadata.output_tokens),
            arrived_ms: now_ms,
            objective_ms: now_ms + submit.objective_ms,
            deadline_ms,
            may_move: submit.may_move,
        };
        let readiness = self
            .scheduler
            .borrow()
            .adapter_readiness(adapter.as_deref());
        let request = ActiveRequest {
            readiness,
            link,
            submit,
            headers,
            metadata,
            adapter,
            arrived_ms: now_ms,
            deadline_ms,
            task: None,
            _held: held,
        };
        self.active_requests.borrow_mut().insert(key, request);
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.submit(engine_request, now_ms, actions)
        });
    }
}
