//! Tells agents which of them this entry may ask to send requests to plain servers.
//!
//! Entries may know different lists of agents for a while. Agents that grant requests follow the lists of all
//! entries, so that together they grant no more than a server's rate.

use {
    super::state::EntryState,
    magnoliasail_core::gateway::{
        GrantView, RecentMaximum, agent_list_fingerprint, message::ToAgentKind,
    },
    std::{collections::HashMap, net::IpAddr},
};

/// Time for which an entry remembers how many entries there were. It is longer than the lists of entries
/// differ.
const COUNT_WINDOW_MS: u64 = 30_000;

/// What this entry knows of the agents and of the other entries, and to whom it has told that.
pub(super) struct OwnView {
    view: GrantView,
    entry_counts: RecentMaximum,
    /// What each agent that follows the view has been told.
    told: HashMap<IpAddr, Option<GrantView>>,
}

impl Default for OwnView {
    fn default() -> Self {
        Self {
            view: GrantView::default(),
            entry_counts: RecentMaximum::new(COUNT_WINDOW_MS),
            told: HashMap::new(),
        }
    }
}

impl EntryState {
    /// Returns what this entry knows.
    pub(super) fn grant_view(&self) -> GrantView {
        self.own_view.borrow().view
    }

    /// Updates what this entry knows after its links may have changed, and tells the agents that follow it.
    pub(super) fn refresh_grant_view(&self) {
        let now_ms = self.clock.now_ms();
        let links = self.links.borrow();
        let reported = links.values().filter_map(|link| link.reported_entries());
        let mut own = self.own_view.borrow_mut();
        let entry_count = own.entry_counts.record(reported.max(), now_ms);
        own.told.retain(|vm, _| links.contains_key(vm));
        own.view = GrantView {
            agents: agent_list_fingerprint(links.keys().copied()),
            entry_count: entry_count.unwrap_or(0),
        };
        drop(links);
        drop(own);
        self.tell_grant_view();
    }

    /// Tells an agent the view, now and whenever it changes.
    pub(super) fn follow_grant_view(&self, vm: IpAddr) {
        self.own_view.borrow_mut().told.insert(vm, None);
        self.tell_grant_view();
    }

    /// Tells an agent whose link has ended nothing more.
    pub(super) fn unfollow_grant_view(&self, vm: IpAddr) {
        self.own_view.borrow_mut().told.remove(&vm);
    }

    fn tell_grant_view(&self) {
        let mut own = self.own_view.borrow_mut();
        let view = own.view;
        for (&vm, told) in &mut own.told {
            if *told != Some(view) && self.send_to_agent(vm, ToAgentKind::View(view.into())) {
                *told = Some(view);
            }
        }
    }
}
