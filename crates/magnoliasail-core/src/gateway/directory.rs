//! The backend servers known to an entry, and which of them may get new requests.
//!
//! The platform's list drops servers that have left, but an outage of the list itself can also drop
//! healthy servers. A removal takes effect at once while the list is reliable. A removal soon after
//! an outage takes effect only if the server is not listed again within a grace period.
//!
//! What a server has announced itself outlasts its row, because the same start of a server may be
//! listed again while it is leaving or has asked for a pause.
//!
//! The list itself may be restored from an older copy. What such a copy says of a server undoes
//! neither its removal nor its draining: only a newer row does.

use {
    super::{
        Announcement, Eligibility, Ineligibility, RateChange, RateSource, RateStatement,
        RequestRate, ServerEntry, ServerHealth, ServerLoad, ServerNotice, VersionConstraint,
        WorkTime, departed_servers::DepartedServers,
    },
    crate::TimeMs,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time for healthy servers to be listed again after an outage of the list.
const RELIST_GRACE_MS: u64 = 2_000;
/// Time for which the announcements of a server without a row are kept. A server that is leaving has
/// exited by then.
const ANNOUNCEMENT_RETENTION_MS: u64 = 600_000;

/// The backend servers known to an entry, by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<Arc<str>, ServerView>,
    /// Announcements of servers that have no row any more, by id.
    unlisted: BTreeMap<Arc<str>, UnlistedServer>,
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
    /// How long work takes at the server.
    pub work_time: WorkTime,
    /// Failure share and latency of recent requests.
    pub health: ServerHealth,
    /// Whether the server may get new work.
    eligibility: Eligibility,
}

/// What is kept of a server that has no row any more.
#[derive(Clone, Copy, Debug)]
struct UnlistedServer {
    started_ms: Option<u64>,
    eligibility: Eligibility,
    dropped_ms: TimeMs,
}

impl ServerView {
    /// Returns the estimated number of requests at the server, running or waiting.
    #[must_use]
    pub const fn load(&self) -> u32 {
        self.in_flight + self.other_load
    }

    /// Checks whether the server may get a request now that servers of these software versions may
    /// run.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, version: &VersionConstraint, now_ms: TimeMs) -> Result<(), Ineligibility> {
        if !version.allows(self.entry.software_version.as_deref()) {
            return Err(Ineligibility::OtherVersion);
        }
        self.eligibility.check_request(now_ms)
    }

    /// Returns the rate that the server names, if any.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.eligibility.limit().rate()
    }

    /// Allows no request within the next `wait_ms` milliseconds, if the server names a rate.
    pub fn postpone_requests(&mut self, wait_ms: u64, now_ms: TimeMs) {
        self.eligibility.limit_mut().postpone(wait_ms, now_ms);
    }

    /// Applies the load that the server reports, less the requests of this entry, which are counted
    /// separately.
    pub fn apply_load(&mut self, load: ServerLoad, now_ms: TimeMs) {
        if let Some(percent) = load.work_percent {
            self.work_time.record(percent, now_ms);
        }
        self.other_load = (load.running + load.waiting).saturating_sub(self.in_flight);
    }
}

impl Directory {
    /// Inserts or updates a row of the list. A server that takes over the address of an older one
    /// replaces it.
    pub fn insert(&mut self, entry: ServerEntry, now_ms: TimeMs) {
        self.departed.clear(&entry.id);
        self.drop_where(now_ms, |id, server| {
            *id != entry.id
                && server.entry.address == entry.address
                && !is_older(&entry, &server.entry)
        });
        let id = Arc::clone(&entry.id);
        let is_draining = entry.is_draining;
        let server = match self.servers.get_mut(&id) {
            Some(server) => {
                if server.entry.started_ms != entry.started_ms {
                    server.health = ServerHealth::default();
                    server.eligibility = Eligibility::default();
                }
                server.entry = entry;
                server
            }
            None => {
                let eligibility = self.announced(&entry);
                let view = ServerView {
                    name: entry.address.to_string().into(),
                    entry,
                    in_flight: 0,
                    other_load: 0,
                    work_time: WorkTime::default(),
                    health: ServerHealth::default(),
                    eligibility,
                };
                self.servers.entry(id).or_insert(view)
            }
        };
        server.eligibility.mark_listed();
        server.eligibility.set_draining(is_draining);
    }

    /// Takes what the same start of a server has announced before it lost its row.
    fn announced(&mut self, entry: &ServerEntry) -> Eligibility {
        self.unlisted
            .remove(&entry.id)
            .filter(|server| server.started_ms == entry.started_ms)
            .map_or_else(Eligibility::default, |server| server.eligibility)
    }

    /// Inserts or updates a row of a list that was restored from a copy, so that the row may be older
    /// than what is known of the server.
    ///
    /// A server that drains stays draining. A server that was removed stays out until a newer row is
    /// inserted, or until it has stayed in the list for longer than that of a server without heartbeats.
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
            server.eligibility.set_draining(entry.is_draining);
            // A pending removal counts too: the copy may be older than it.
            is_removed |= server.eligibility.has_removal();
        }
        if is_removed {
            self.departed.hold(entry, now_ms);
        } else {
            self.insert(entry, now_ms);
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
            server.eligibility.mark_removed(effective_ms);
        }
    }

    /// Records that the list is unavailable or unreliable at the moment.
    pub const fn mark_list_unreliable(&mut self, now_ms: TimeMs) {
        self.unreliable_ms = Some(now_ms);
    }

    /// Applies what a server said in its response to a request that was sent to the start
    /// `started_ms` of it; returns what is new. A later start is not bound by it.
    pub fn apply_notice(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        notice: ServerNotice,
        now_ms: TimeMs,
    ) -> Option<Announcement> {
        let server = self.servers.get_mut(id)?;
        if server.entry.started_ms != started_ms {
            return None;
        }
        server.eligibility.apply(notice, now_ms)
    }

    /// Applies what a server said about its rate in the response to a request that was sent at `sent_ms` to
    /// the start `started_ms` of it; returns what changes. A later start is not bound by it.
    pub fn apply_rate(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        statement: RateStatement,
        sent_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Option<RateChange> {
        let server = self.servers.get_mut(id)?;
        if server.entry.started_ms != started_ms {
            return None;
        }
        let limit = server.eligibility.limit_mut();
        limit.apply(statement, RateSource::Request, sent_ms, now_ms)
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

    /// Returns the servers of a service that may get a request now that servers of these software
    /// versions may run.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        version: &'a VersionConstraint,
        now_ms: TimeMs,
    ) -> impl Iterator<Item = &'a ServerView> + 'a {
        self.of_service(service)
            .filter(move |server| server.check(version, now_ms).is_ok())
    }

    /// Returns the server of a service that may get such a request first, of those that have asked for a
    /// pause or name a rate, as the reason why it may not get it now; `None` if a server may get it already,
    /// or there is no such server.
    #[must_use]
    pub fn soonest_available(
        &self,
        service: &str,
        version: &VersionConstraint,
        now_ms: TimeMs,
    ) -> Option<Ineligibility> {
        let mut soonest: Option<(u64, Ineligibility)> = None;
        for server in self.of_service(service) {
            let reason = match server.check(version, now_ms) {
                Ok(()) => return None,
                Err(reason) => reason,
            };
            let Some(left_ms) = reason.left_ms() else {
                continue;
            };
            if soonest.is_none_or(|(soonest_ms, _)| left_ms < soonest_ms) {
                soonest = Some((left_ms, reason));
            }
        }
        soonest.map(|(_, reason)| reason)
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ServerView> + 'a {
        self.servers
            .values()
            .filter(move |server| &*server.entry.service == service)
    }

    /// Returns all known servers, including leaving ones.
    pub fn all(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// Drops servers whose removal has taken effect and that have no requests of this entry in
    /// flight.
    pub fn prune(&mut self, now_ms: TimeMs) {
        let is_gone =
            |server: &ServerView| server.in_flight == 0 && server.eligibility.is_removed(now_ms);
        for server in self.servers.values().filter(|server| is_gone(server)) {
            self.departed.record(&server.entry, now_ms);
        }
        self.drop_where(now_ms, |_, server| is_gone(server));
        self.unlisted
            .retain(|_, server| now_ms < server.dropped_ms + ANNOUNCEMENT_RETENTION_MS);
        for entry in self.departed.take_trusted(self.unreliable_ms, now_ms) {
            self.insert(entry, now_ms);
        }
    }

    /// Drops the servers for which `is_dropped` returns `true`, and keeps what they have announced.
    fn drop_where<F>(&mut self, now_ms: TimeMs, is_dropped: F)
    where
        F: Fn(&Arc<str>, &ServerView) -> bool,
    {
        let unlisted = &mut self.unlisted;
        self.servers.retain(|id, server| {
            let is_kept = !is_dropped(id, server);
            if !is_kept && server.eligibility.has_announcement(now_ms) {
                let server = UnlistedServer {
                    started_ms: server.entry.started_ms,
                    eligibility: server.eligibility,
                    dropped_ms: now_ms,
                };
                unlisted.insert(Arc::clone(id), server);
            }
            is_kept
        });
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
