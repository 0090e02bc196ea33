//! The backend servers known to an entry, and which of them may get new requests.
//!
//! The platform's list drops servers that have left, but an outage of the list itself can also drop
//! healthy servers. A removal takes effect at once while the list is reliable. A removal soon after
//! an outage takes effect only if the server is not listed again within a grace period.
//!
//! The list itself may be restored from an older copy. What such a copy says of a server undoes
//! neither its removal nor its draining: only a newer row does.

use {
    super::{ServerEntry, ServerHealth, ServerLoad, departed_servers::DepartedServers},
    crate::TimeMs,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time for healthy servers to be listed again after an outage of the list.
const RELIST_GRACE_MS: u64 = 2_000;

/// The backend servers known to an entry, by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<Arc<str>, ServerView>,
    /// When the list was last unreliable.
    unreliable_ms: Option<TimeMs>,
    departed: DepartedServers,
}

/// State of a backend server as seen by one entry.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The address as text, which is hashed for placement. Unlike the id it survives restarts, as
    /// do the copies of adapters that the host keeps.
    pub name: Arc<str>,
    /// The server's row in the platform's list.
    pub entry: ServerEntry,
    /// Requests of this entry in flight at the server.
    pub in_flight: u32,
    /// The load that the server last reported, without the requests of this entry.
    pub other_load: u32,
    /// Failure share and latency of recent requests.
    pub health: ServerHealth,
    /// When the removal from the list takes effect.
    removed_ms: Option<TimeMs>,
    /// Whether the server itself announced that it is leaving.
    is_leaving: bool,
}

impl ServerView {
    /// Returns the estimated number of requests at the server, running or waiting.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.in_flight + self.other_load
    }

    /// Applies the load that the server reports, less the requests of this entry, which are counted
    /// separately.
    pub fn apply_load(&mut self, load: ServerLoad) {
        self.other_load = (load.running + load.waiting).saturating_sub(self.in_flight);
    }
}

impl Directory {
    /// Inserts or updates a row of the list. A server that takes over the address of an older one
    /// replaces it.
    pub fn insert(&mut self, entry: ServerEntry) {
        self.departed.clear(&entry.id);
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

    /// Inserts or updates a row of a list that was restored from a copy, so that the row may be older
    /// than what is known of the server.
    ///
    /// A server that drains stays draining. A server that was removed stays out until a newer row is
    /// inserted, or until it has stayed in the list for longer than a dead server can.
    pub fn restore(&mut self, mut entry: ServerEntry, now_ms: TimeMs) {
        if self.is_superseded(&entry) {
            return;
        }
        let known = self
            .servers
            .get_mut(&entry.id)
            .filter(|server| server.entry.started_ms == entry.started_ms);
        let mut is_removed = self.departed.contains(&entry);
        if let Some(server) = known {
            // A server that is about to be removed may drain as well.
            server.entry.is_draining |= entry.is_draining;
            entry.is_draining = server.entry.is_draining;
            is_removed |= server.removed_ms.is_some();
        }
        if is_removed {
            self.departed.hold(entry, now_ms);
        } else {
            self.insert(entry);
        }
    }

    /// Returns whether a later start of the server is known, or another server at its address that
    /// did not start earlier.
    fn is_superseded(&self, entry: &ServerEntry) -> bool {
        self.servers.values().any(|server| {
            if server.entry.id == entry.id {
                is_older(entry, &server.entry)
            } else {
                server.entry.address == entry.address && !is_older(&server.entry, entry)
            }
        })
    }

    /// Records that the list no longer contains a server. The removal is delayed if the list was
    /// unreliable shortly before.
    pub fn remove(&mut self, id: &str, now_ms: TimeMs) {
        let effective_ms = match self.unreliable_ms {
            Some(unreliable_ms) if now_ms < unreliable_ms + RELIST_GRACE_MS => {
                unreliable_ms + RELIST_GRACE_MS
            }
            _ => now_ms,
        };
        self.departed.discard_held(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.removed_ms.get_or_insert(effective_ms);
        }
    }

    /// Records that the list is unavailable or unreliable at the moment.
    pub const fn mark_list_unreliable(&mut self, now_ms: TimeMs) {
        self.unreliable_ms = Some(now_ms);
    }

    /// Records that a server itself announced that it is leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_leaving = true;
        }
    }

    /// Returns a server by its id, for updates.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut ServerView> {
        self.servers.get_mut(id)
    }

    /// Returns a server by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// Returns the servers of a service that may get new requests: those that are listed and
    /// neither draining nor leaving.
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

    /// Returns all known servers, including leaving ones.
    pub fn all(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// Drops servers whose removal has taken effect and that have no requests of this entry in
    /// flight.
    pub fn prune(&mut self, now_ms: TimeMs) {
        let departed = &mut self.departed;
        self.servers.retain(|_, server| {
            let is_kept = server.in_flight > 0
                || server
                    .removed_ms
                    .is_none_or(|removed_ms| removed_ms > now_ms);
            if !is_kept {
                departed.record(&server.entry, now_ms);
            }
            is_kept
        });
        for entry in self.departed.take_proven_live(self.unreliable_ms, now_ms) {
            self.insert(entry);
        }
    }

    /// Returns the number of known servers, including leaving ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// Returns whether the process of `entry` started before that of `other`.
fn is_older(entry: &ServerEntry, other: &ServerEntry) -> bool {
    matches!((entry.started_ms, other.started_ms), (Some(started), Some(other)) if started < other)
}
