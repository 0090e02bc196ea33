//! The backend servers that an entry knows, and which of them may get new work.
//!
//! The platform's list removes a server that has left, and at times also one that is well while
//! the list itself is in trouble. A removal that is seen while the list is sound counts at once;
//! one that is seen soon after trouble counts only when the entry has not come back in time.

use {
    super::{ServerEntry, ServerHealth, ServerLoad},
    crate::TimeMs,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time for servers to come back to the list after it was in trouble, in milliseconds.
const RETURN_MS: u64 = 2_000;

/// The backend servers that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<Arc<str>, ServerView>,
    /// When the list was last in trouble.
    troubled_ms: Option<TimeMs>,
}

/// What an entry knows of a backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Its address as text, the stable name that is hashed: its host keeps copies over restarts.
    pub name: Arc<str>,
    /// Its entry in the platform's list.
    pub entry: ServerEntry,
    /// The entry's own requests that are under way there.
    pub in_flight: u32,
    /// The load that the server or its agent last reported, less the entry's own requests.
    pub other_load: u32,
    /// Its recent outcomes.
    pub health: ServerHealth,
    /// When its removal from the list counts.
    removed_ms: Option<TimeMs>,
    /// Whether it said by itself that it is leaving.
    is_leaving: bool,
}

impl ServerView {
    /// Returns the number of requests that the server is believed to have.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.in_flight + self.other_load
    }

    /// Adopts the load that the server reports.
    pub fn apply_load(&mut self, load: ServerLoad) {
        self.other_load = (load.running + load.waiting).saturating_sub(self.in_flight);
    }
}

impl Directory {
    /// Adopts an entry of the list; a server that has its address from now on ends another.
    pub fn insert(&mut self, entry: ServerEntry) {
        self.servers.retain(|id, server| {
            *id == entry.id
                || server.entry.address != entry.address
                || is_older(&entry, &server.entry)
        });
        let id = Arc::clone(&entry.id);
        match self.servers.get_mut(&id) {
            Some(server) => {
                if server.entry.started_ms != entry.started_ms {
                    server.health = ServerHealth::default();
                    server.is_leaving = false;
                }
                server.entry = entry;
                server.removed_ms = None;
            }
            None => {
                let view = ServerView {
                    name: entry.address.to_string().into(),
                    entry,
                    in_flight: 0,
                    other_load: 0,
                    health: ServerHealth::default(),
                    removed_ms: None,
                    is_leaving: false,
                };
                self.servers.insert(id, view);
            }
        }
    }

    /// Records that the list no longer has a server.
    pub fn remove(&mut self, id: &str, now_ms: TimeMs) {
        let counts_ms = match self.troubled_ms {
            Some(troubled_ms) if now_ms < troubled_ms + RETURN_MS => troubled_ms + RETURN_MS,
            _ => now_ms,
        };
        if let Some(server) = self.servers.get_mut(id) {
            server.removed_ms.get_or_insert(counts_ms);
        }
    }

    /// Records that the list is in trouble.
    pub const fn mark_list_unreliable(&mut self, now_ms: TimeMs) {
        self.troubled_ms = Some(now_ms);
    }

    /// Records that a server said by itself that it is leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_leaving = true;
        }
    }

    /// Returns a server by its id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut ServerView> {
        self.servers.get_mut(id)
    }

    /// Returns a server by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// Returns the servers of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now_ms: TimeMs,
    ) -> impl Iterator<Item = &'a ServerView> + 'a {
        self.servers.values().filter(move |server| {
            &*server.entry.service == service
                && !server.entry.is_draining
                && !server.is_leaving
                && server
                    .removed_ms
                    .is_none_or(|removed_ms| removed_ms > now_ms)
        })
    }

    /// Returns every server, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// Forgets servers whose removal counts and which have none of the entry's requests.
    pub fn prune(&mut self, now_ms: TimeMs) {
        self.servers.retain(|_, server| {
            server.in_flight > 0
                || server
                    .removed_ms
                    .is_none_or(|removed_ms| removed_ms > now_ms)
        });
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Tells whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// Tells whether `entry` is of an earlier start than `other`.
fn is_older(entry: &ServerEntry, other: &ServerEntry) -> bool {
    matches!((entry.started_ms, other.started_ms), (Some(started), Some(other)) if started < other)
}
