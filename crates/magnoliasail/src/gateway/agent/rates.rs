//! Rates of requests that servers name: that of the agent's own engine, and those of plain servers, for which
//! entries ask the agent.

use {
    super::state::{AgentState, LinkId},
    crate::{
        events::{EventId, emit},
        gateway::announcement::record_rate,
    },
    magnoliasail_core::gateway::{
        GrantView, RateQuestion, RateSource, RateStatement, RequestRate, SendGrant,
        message::{AskSend, FollowView, SendAnswer, ToEntryKind},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time after which an entry may ask again while others have not told their views.
const SURVEY_RETRY_MS: u64 = 20;

impl AgentState {
    /// Applies what the engine said about its rate in the response to a request that was sent at `sent_ms` to
    /// the start `started_ms` of it.
    pub(super) fn apply_rate(
        self: &Rc<Self>,
        started_ms: Option<u64>,
        statement: RateStatement,
        source: RateSource,
        sent_ms: u64,
    ) {
        let is_usual = statement == RateStatement::Unnamed;
        if is_usual && self.scheduler.borrow().rate().is_none() {
            return;
        }
        let mut change = None;
        self.update_scheduler(|scheduler, now_ms, actions| {
            change = scheduler.apply_rate(statement, source, started_ms, sent_ms, now_ms, actions);
        });
        record_rate(
            &self.metrics,
            self.engine_address,
            statement,
            source,
            change,
        );
        if change.is_some() {
            self.broadcast_engine_state();
        }
    }

    /// Answers an entry that asks to send a request to a plain server.
    pub(super) fn answer_send(&self, link: LinkId, question: AskSend) {
        let now_ms = self.clock.now_ms();
        if self.grant_views.borrow_mut().start_survey(now_ms) {
            self.broadcast(&ToEntryKind::FollowView(FollowView {}));
        }
        let rate = self.granted_rate(link, &question, now_ms);
        let grant = rate.map(|rate| {
            let mut grants = self.send_grants.borrow_mut();
            let changed_ms = self.grant_views.borrow().changed_ms();
            grants.drop_saved(question.server_start, changed_ms);
            grants.ask(question.server_start, rate, question.max_wait_ms, now_ms)
        });
        let grant = grant.unwrap_or(SendGrant {
            is_granted: false,
            wait_ms: SURVEY_RETRY_MS,
        });
        let answer = SendAnswer {
            question: question.question,
            is_granted: grant.is_granted,
            wait_ms: grant.wait_ms,
        };
        self.send(link, ToEntryKind::SendAnswer(answer));
    }

    /// Returns the rate that this agent may grant, or `None` while entries have not told their views.
    fn granted_rate(&self, link: LinkId, question: &AskSend, now_ms: u64) -> Option<RequestRate> {
        let rate_question = RateQuestion {
            server_start: question.server_start,
            rate: RequestRate::from_interval_us(question.interval_us),
            view: question.view.map(GrantView::from).unwrap_or_default(),
            is_substitute: question.is_substitute,
        };
        let mut views = self.grant_views.borrow_mut();
        let granted = views.rate(link, &rate_question, now_ms)?;
        if granted.is_changed {
            emit(
                EventId::RateDivided,
                format_args!(
                    "server_start={:016x} interval_us={} asking={} entries={}",
                    question.server_start,
                    granted.rate.interval_us(),
                    granted.asking,
                    granted.entry_count
                ),
            );
        }
        Some(granted.rate)
    }

    /// Starts the task that starts waiting requests when the engine's rate allows the next one, unless it
    /// runs already.
    pub(super) fn schedule_rate_wakeup(self: &Rc<Self>, now_ms: u64) {
        let delay_ms = self.scheduler.borrow().rate_delay_ms(now_ms);
        if let Some(delay_ms) = delay_ms
            && !self.has_rate_wakeup.replace(true)
        {
            tokio::task::spawn_local(start_at_rate(Rc::clone(self), delay_ms));
        }
    }
}

/// Starts queued requests when the engine's rate allows the next one.
async fn start_at_rate(state: Rc<AgentState>, delay_ms: u64) {
    sleep(Duration::from_millis(delay_ms)).await;
    state.has_rate_wakeup.set(false);
    state.update_scheduler(|scheduler, now_ms, actions| scheduler.advance(now_ms, actions));
}
