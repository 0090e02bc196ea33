//! Rates of requests that servers name: that of the agent's own engine, and those of plain servers, for which
//! entries ask the agent.

use {
    super::state::{AgentState, LinkId},
    crate::gateway::announcement::record_rate,
    magnoliasail_core::gateway::{
        RateSource, RateStatement, RequestRate,
        message::{AskSend, SendAnswer, ToEntryKind},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

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
        let grant = self.send_grants.borrow_mut().ask(
            question.server_start,
            RequestRate::from_interval_us(question.interval_us),
            question.max_wait_ms,
            now_ms,
        );
        let answer = SendAnswer {
            question: question.question,
            is_granted: grant.is_granted,
            wait_ms: grant.wait_ms,
        };
        self.send(link, ToEntryKind::SendAnswer(answer));
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
