//! The backend servers of an entry and whether each may take new work.
//!
//! The platform's list names candidate servers; the links decide. A server takes new work only
//! while its link is up, its agent has not announced a drain and the list does not mark it as
//! leaving. The first source to report that a server is leaving wins: a list older than the current
//! one is ignored, and a drain stays in effect until the agent restarts.
//!
//! ```
//! use magnoliasail_core::{Membership, MembershipSettings, ServerState};
//!
//! let mut membership = Membership::new(MembershipSettings::default());
//! membership.link_up("vm-1", 4, false);
//! assert_eq!(membership.state("vm-1"), ServerState::Live);
//! membership.record_drain("vm-1");
//! assert_eq!(membership.state("vm-1"), ServerState::Leaving);
//! ```

use {
    crate::{TimeMs, VmEntry, VmList, VmRole, VmState},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    strum::{Display, EnumIter},
};

/// Limits of [`Membership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time after which a server that disappeared from the list loses its link, in milliseconds.
    pub unlisted_grace_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            unlisted_grace_ms: 120_000,
        }
    }
}

/// The availability of a server for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new work.
    Live,
    /// The server finishes its current work and accepts no more.
    Leaving,
    /// No link to the server is up.
    Unreachable,
}

#[derive(Clone, Debug, Default)]
struct Link {
    up: bool,
    incarnation: u64,
    draining: bool,
}

/// The backend servers known to one process: the platform's list and the state of the links.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    listed: BTreeMap<Arc<str>, VmEntry>,
    unlisted_since_ms: HashMap<Arc<str>, TimeMs>,
    links: HashMap<Arc<str>, Link>,
    list_as_of_ms: TimeMs,
    entry_count: usize,
}

impl Membership {
    /// Creates a membership without servers.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            listed: BTreeMap::new(),
            unlisted_since_ms: HashMap::new(),
            links: HashMap::new(),
            list_as_of_ms: 0,
            entry_count: 1,
        }
    }

    /// Applies a list unless a newer one was applied before; returns whether it was applied.
    pub fn apply_list(&mut self, list: &VmList, now_ms: TimeMs) -> bool {
        if list.as_of_ms < self.list_as_of_ms {
            return false;
        }
        self.list_as_of_ms = list.as_of_ms;
        let is_server = |vm: &&VmEntry| vm.role != VmRole::Entry;
        let listed: BTreeMap<Arc<str>, VmEntry> = list
            .vms
            .iter()
            .filter(is_server)
            .map(|vm| (Arc::clone(&vm.vm), vm.clone()))
            .collect();
        for (name, vm) in &self.listed {
            if !listed.contains_key(name) {
                self.unlisted_since_ms
                    .entry(Arc::clone(&vm.vm))
                    .or_insert(now_ms);
            }
        }
        self.unlisted_since_ms
            .retain(|name, _| !listed.contains_key(name));
        self.listed = listed;
        self.entry_count = list.vms.len() - self.listed.len();
        true
    }

    /// Returns the time of the current list on the platform's clock, in milliseconds.
    #[must_use]
    pub const fn list_as_of_ms(&self) -> TimeMs {
        self.list_as_of_ms
    }

    /// Returns the number of entry processes in the list, at least one.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entry_count.max(1)
    }

    /// Records that the link to an agent came up.
    ///
    /// `incarnation` and `draining` come from the agent's hello. A drain that was announced earlier
    /// stays in effect unless the incarnation has changed.
    pub fn link_up(&mut self, vm: &str, incarnation: u64, draining: bool) {
        let link = self.links.entry(Arc::from(vm)).or_default();
        let is_same = link.incarnation == incarnation;
        link.draining = draining || (is_same && link.draining);
        link.incarnation = incarnation;
        link.up = true;
    }

    /// Records that the link to an agent went down.
    pub fn link_down(&mut self, vm: &str) {
        if let Some(link) = self.links.get_mut(vm) {
            link.up = false;
        }
    }

    /// Records that an agent announced a drain.
    pub fn record_drain(&mut self, vm: &str) {
        if let Some(link) = self.links.get_mut(vm) {
            link.draining = true;
        }
    }

    /// Returns the incarnation of the agent that was last linked on a VM.
    #[must_use]
    pub fn incarnation(&self, vm: &str) -> Option<u64> {
        self.links.get(vm).map(|link| link.incarnation)
    }

    /// Returns whether a server is reachable and may take new work.
    #[must_use]
    pub fn state(&self, vm: &str) -> ServerState {
        let Some(link) = self.links.get(vm).filter(|link| link.up) else {
            return ServerState::Unreachable;
        };
        let is_leaving = self
            .listed
            .get(vm)
            .map_or(self.unlisted_since_ms.contains_key(vm), |listed| {
                listed.state == VmState::Leaving
            });
        if link.draining || is_leaving {
            ServerState::Leaving
        } else {
            ServerState::Live
        }
    }

    /// Returns the server's VM from the current list, if it is listed.
    #[must_use]
    pub fn listed(&self, vm: &str) -> Option<&VmEntry> {
        self.listed.get(vm)
    }

    /// Returns the VMs of the listed servers, in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &VmEntry> {
        self.listed.values()
    }

    /// Returns the name and address of each listed server; the entry keeps a link to all of them.
    #[must_use]
    pub fn link_targets(&self) -> Vec<(Arc<str>, Arc<str>)> {
        self.listed
            .values()
            .map(|vm| (Arc::clone(&vm.vm), Arc::clone(&vm.address)))
            .collect()
    }

    /// Removes servers that have been unlisted for longer than the grace period and returns their
    /// names.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<Arc<str>> {
        let grace_ms = self.settings.unlisted_grace_ms;
        let expired: Vec<Arc<str>> = self
            .unlisted_since_ms
            .iter()
            .filter(|&(_, &since_ms)| now_ms.saturating_sub(since_ms) > grace_ms)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &expired {
            self.unlisted_since_ms.remove(name);
            self.links.remove(name);
        }
        expired
    }
}
