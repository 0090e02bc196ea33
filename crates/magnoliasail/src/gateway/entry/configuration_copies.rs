//! The operator's configuration at an entry: from the store, or from agents while the store is not read.

use {
    super::state::EntryState,
    crate::gateway::store_client::{ConfigurationSource, apply_configuration},
    magnoliasail_core::gateway::{
        DiscardReason,
        message::{AskConfiguration, ConfigurationCopy, ToAgentKind},
    },
    std::{net::IpAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time between two questions to agents while the store is not read.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Asks agents for a newer configuration while the store is not read, until the process exits.
pub(super) async fn ask_for_configurations(state: Rc<EntryState>) {
    loop {
        sleep(ASK_INTERVAL).await;
        state.ask_for_configuration();
    }
}

impl EntryState {
    /// Applies a published configuration, unless the active one is as new.
    pub(super) fn apply_configuration(
        &self,
        value: &[u8],
        revision: u64,
        source: ConfigurationSource,
    ) {
        apply_configuration(value, revision, source, &self.metrics, |configuration| {
            let is_newer = self.table.borrow_mut().apply(configuration);
            if is_newer {
                self.changes.notify_waiters();
            }
            is_newer
        });
    }

    /// Applies a configuration that an agent has read from the store, unless it read it in an earlier era than
    /// this entry knows: the store may have lost it since.
    pub(super) fn apply_configuration_copy(&self, copy: &ConfigurationCopy) {
        if !self.store_freshness.get().may_use(copy.era) {
            self.metrics
                .count_discarded_store_answer(DiscardReason::EarlierEra);
            return;
        }
        self.apply_configuration(&copy.value, copy.revision, ConfigurationSource::Agent);
    }

    fn ask_for_configuration(&self) {
        let links = self.links.borrow();
        let agents: Vec<IpAddr> = links
            .iter()
            .filter(|(_, link)| link.is_up())
            .map(|(&vm, _)| vm)
            .collect();
        let mut freshness = self.store_freshness.get();
        let asked = freshness.agents_to_ask(agents, self.clock.now_ms());
        self.store_freshness.set(freshness);
        let question = AskConfiguration {
            known_version: self.table.borrow().version(),
            era: freshness.era(),
        };
        for vm in asked {
            if let Some(link) = links.get(&vm) {
                // If the message is not sent, other agents are asked next time.
                let _ = link.send(ToAgentKind::AskConfiguration(question));
            }
        }
    }
}
