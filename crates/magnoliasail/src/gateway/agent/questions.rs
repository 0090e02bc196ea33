//! Answers to questions of entries about accounts and configurations.

use {
    super::state::{AgentState, LinkId},
    magnoliasail_core::gateway::message::{
        AskConfiguration, AskQuota, ConfigurationCopy, QuotaAnswer, ToEntryKind,
    },
    serde_json::{Value, json},
};

impl AgentState {
    /// Answers an entry that asks for units of an account's quota.
    pub(super) fn answer_quota(&self, link: LinkId, question: &AskQuota) {
        // A question that makes no sense gets no answer; its entry asks another agent.
        let Some(content) = question.content() else {
            return;
        };
        let now_ms = self.clock.now_ms();
        let grant = self.quota_grants.borrow_mut().ask(&content, now_ms);
        self.metrics.count_quota_grant(grant);
        let answer = QuotaAnswer {
            question: question.question,
            granted_units: grant.granted_units,
            wait_ms: grant.wait_ms,
        };
        self.send(link, ToEntryKind::QuotaAnswer(answer));
    }

    /// Returns the engine's load and speed, and what the agent grants, as JSON.
    pub(super) fn status(&self) -> Value {
        let now_ms = self.clock.now_ms();
        let scheduler = self.scheduler.borrow();
        let configuration = self.configuration.borrow();
        json!({
            "configuration_version": configuration.as_ref().map(|(version, _)| version),
            "load": scheduler.load(),
            "waiting": scheduler.waiting(),
            "slowdown": scheduler.slowdown(now_ms),
            "prompt_tokens_per_s": scheduler.prompt_tokens_per_ms() * 1_000.0,
            "quota_shares": self.quota_grants.borrow().len(),
        })
    }

    /// Keeps the newest configuration for entries that cannot read the store.
    pub(super) fn keep_configuration(&self, version: u64, copy: ConfigurationCopy) {
        self.configuration.replace(Some((version, copy)));
    }

    /// Sends the configuration to an entry, unless the entry has one that is as new, or knows a later era of the
    /// store than that in which it was read.
    pub(super) fn answer_configuration(&self, link: LinkId, question: AskConfiguration) {
        let configuration = self.configuration.borrow();
        let Some((version, copy)) = configuration.as_ref() else {
            return;
        };
        let is_newer = question.known_version.is_none_or(|known| known < *version);
        // No era is before any era.
        if is_newer && copy.era >= question.era {
            self.send(link, ToEntryKind::Configuration(copy.clone()));
        }
    }
}
