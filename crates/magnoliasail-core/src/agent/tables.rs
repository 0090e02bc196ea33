//! Exchange of table versions between an agent and its entries.

use {
    super::{Agent, AgentAction, LinkId, send},
    crate::{
        message::{TablePages, TableQuery},
        table::{Pages, PublishedTable},
    },
};

impl Agent {
    /// Applies a table from an entry, or asks for the complete one if pages are missing.
    pub(super) fn handle_table(
        &mut self,
        link: LinkId,
        message: &TablePages,
        actions: &mut Vec<AgentAction>,
    ) {
        let version = message.version;
        if version <= self.active_table.version() {
            self.active_table.confirm(version, message.as_of_ms);
            return;
        }
        let published = PublishedTable::from_message(message, &self.active_table.published().pages);
        let Some(published) = published.filter(|published| !published.pages.is_empty()) else {
            send(actions, link, TableQuery { version: 0 });
            return;
        };
        match self.active_table.apply(published) {
            Ok(true) => actions.push(AgentAction::TableApplied { version }),
            Ok(false) => {}
            Err(error) => actions.push(AgentAction::TableRejected {
                message: error.to_string(),
            }),
        }
    }

    /// Sends the complete table to an entry if it is newer than the entry's `version`.
    pub(super) fn send_newer_table(
        &self,
        link: LinkId,
        version: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.active_table.version() > version {
            let confirmed_ms = self.active_table.confirmed_ms();
            let published = self.active_table.published();
            send(
                actions,
                link,
                published.to_message(confirmed_ms, &Pages::default()),
            );
        }
    }
}
