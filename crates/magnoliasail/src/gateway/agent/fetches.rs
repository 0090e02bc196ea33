//! Asks an entry for permits to fetch adapters from the weight store.
//!
//! Of the linked entries, all agents ask the one whose name ranks first, so that one queue orders the fetches of
//! the fleet.

use {
    super::state::{AgentState, LinkId},
    crate::events::{EventId, emit},
    magnoliasail_core::{
        gateway::message::{FetchPermits, ToEntryKind},
        score,
    },
    std::{collections::HashMap, rc::Rc},
};

/// What ranks the names of entries; all agents use the same.
const RANKING_KEY: &str = "fetch-permits";

/// The entries that permit fetches, and the one that is asked.
#[derive(Debug, Default)]
pub(super) struct FetchEntries {
    names: HashMap<LinkId, String>,
    asked: Option<LinkId>,
}

impl FetchEntries {
    /// Picks the entry to ask; returns whether it is another one than before.
    fn pick(&mut self) -> bool {
        let first = self
            .names
            .iter()
            .max_by_key(|(link, name)| (score(RANKING_KEY, name), **link));
        let picked = first.map(|(&link, _)| link);
        std::mem::replace(&mut self.asked, picked) != picked
    }
}

impl AgentState {
    /// Adds an entry that permits fetches.
    pub(super) fn add_fetch_entry(self: &Rc<Self>, link: LinkId, entry: String) {
        self.fetch_entries.borrow_mut().names.insert(link, entry);
        self.pick_fetch_entry();
    }

    /// Removes an entry whose link has ended.
    pub(super) fn remove_fetch_entry(self: &Rc<Self>, link: LinkId) {
        self.fetch_entries.borrow_mut().names.remove(&link);
        self.pick_fetch_entry();
    }

    fn pick_fetch_entry(self: &Rc<Self>) {
        let (is_changed, entry) = {
            let mut entries = self.fetch_entries.borrow_mut();
            let is_changed = entries.pick();
            let asked = entries.asked.and_then(|link| entries.names.get(&link));
            (is_changed, asked.cloned())
        };
        if !is_changed {
            return;
        }
        emit(
            EventId::FetchEntryPicked,
            format_args!("entry={}", entry.as_deref().unwrap_or("-")),
        );
        self.scheduler.borrow_mut().set_fetch_entry(entry.is_some());
        self.update_scheduler(|scheduler, now_ms, actions| scheduler.advance(now_ms, actions));
    }

    /// Applies the permits of an entry, unless another one is asked now.
    pub(super) fn apply_fetch_permits(self: &Rc<Self>, link: LinkId, permits: &FetchPermits) {
        if self.fetch_entries.borrow().asked != Some(link) {
            return;
        }
        self.update_scheduler(|scheduler, now_ms, actions| {
            scheduler.apply_fetch_permits(permits, now_ms, actions);
        });
    }

    /// Tells the entry that is asked what has changed.
    pub(super) fn report_fetches(&self, now_ms: u64) {
        let Some(link) = self.fetch_entries.borrow().asked else {
            return;
        };
        let message = self.scheduler.borrow_mut().fetch_message(now_ms);
        if let Some(message) = message {
            self.send(link, ToEntryKind::Fetches(message));
        }
    }
}
