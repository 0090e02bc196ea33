//! The table in force at an agent, as entries pass it on.

use {
    super::{Agent, AgentAction, LinkId, send},
    crate::{
        message::{TablePages, TableQuery},
        table::{Pages, PublishedTable},
    },
};

impl Agent {
    pub(super) fn offered_table(
        &mut self,
        link: LinkId,
        message: &TablePages,
        actions: &mut Vec<AgentAction>,
    ) {
        let version = message.version;
        if version <= self.adoption.version() {
            self.adoption.confirm(version, message.as_of_ms);
            return;
        }
        let offer = PublishedTable::from_message(message, &self.adoption.published().pages);
        let Some(offer) = offer.filter(|offer| !offer.pages.is_empty()) else {
            send(actions, link, TableQuery { version: 0 });
            return;
        };
        match self.adoption.apply(offer) {
            Ok(true) => actions.push(AgentAction::TableAdopted { version }),
            Ok(false) => {}
            Err(error) => actions.push(AgentAction::TableRejected {
                message: error.to_string(),
            }),
        }
    }

    /// Sends the whole table to a peer that has only `version`.
    pub(super) fn table_query(&self, link: LinkId, version: u64, actions: &mut Vec<AgentAction>) {
        if self.adoption.version() > version {
            let confirmed_ms = self.adoption.confirmed_ms();
            let offer = self.adoption.published();
            send(
                actions,
                link,
                offer.to_message(confirmed_ms, &Pages::default()),
            );
        }
    }
}
