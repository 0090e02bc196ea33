//! Updates of the entry's state from the platform's store: the configuration and the server list.
//!
//! Links to agents are opened and closed to match them.

use {
    super::{engine_link::EngineLink, state::EntryState},
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{ChangeObserver, Follower, WatchTiming},
            store_client::{ConfigurationSource, store_pool},
        },
    },
    magnoliasail_core::gateway::{DiscardReason, Freshness},
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{
        cell::Cell,
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Duration of a long poll. A connection that has gone silent is noticed only after it, and changes
/// must take effect within seconds.
const LONG_POLL: Duration = Duration::from_secs(3);
/// Share of the drain time that may pass between two reads of changes. An entry must see that a
/// server is draining well before the time from which it must send it no new requests.
const PAUSE_DRAIN_SHARE: f64 = 0.4;
/// Maximum pause after each read, well within the time in which a configuration must take effect.
/// Each call to the store has a cost, and some server changes at nearly any time, because its entry
/// names the adapters that it has.
const MAX_PAUSE_MS: u64 = 2_000;
/// Pause after each read even if an agent has reported a start of its engine that may not be listed yet.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between checks for links to open or close.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies changes of the operator's configuration and of the server list.
struct StoreObserver {
    state: Rc<EntryState>,
    /// Whether the keys are being listed anew, so that changes up to the end of the list may be missed.
    is_listing_anew: Cell<bool>,
}

/// Why a row is not used although it can be read: another writer wrote it.
const NO_START_TIME: &str = "the row names no start time, as others do; check who wrote it";

/// Starts the tasks that follow the store and maintain the links, for the lifetime of the process.
///
/// One watch covers the configuration and the server list, so that an entry makes half as many calls
/// as with two.
pub(super) fn follow_store(state: &Rc<EntryState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let pause_ms = (state.settings.drain_ms as f64 * PAUSE_DRAIN_SHARE) as u64;
    let follower = Follower::new(
        pool,
        &state.settings.store_address,
        registry::ALL_KEYS_PREFIX,
        WatchTiming {
            long_poll: LONG_POLL,
            pause: Duration::from_millis(pause_ms.min(MAX_PAUSE_MS)),
            min_pause: MIN_PAUSE,
        },
        Rc::clone(&state.list_outdated),
        Rc::new(StoreObserver {
            state: Rc::clone(state),
            is_listing_anew: Cell::new(false),
        }),
    );
    tokio::task::spawn_local(follower.run());
    tokio::task::spawn_local(maintain_links(Rc::clone(state)));
}

impl ChangeObserver for StoreObserver {
    fn on_change(&self, change: &Change, freshness: Freshness) {
        if change.key == configuration::KEY {
            if let Some(value) = &change.value {
                self.state
                    .apply_configuration(value, change.revision, ConfigurationSource::Store);
            }
        } else if let Some(id) = registry::server_id(&change.key) {
            self.apply_server(id, change, freshness);
        }
    }

    fn on_era(&self, era: Option<u64>) {
        let mut freshness = self.state.store_freshness.get();
        freshness.record_era(era);
        self.state.store_freshness.set(freshness);
    }

    fn on_new_era(&self) {
        let now_ms = self.state.clock.now_ms();
        self.state.metrics.store_era_changes.inc();
        // Servers that the copy lacks have time to be listed again.
        self.state
            .directory
            .borrow_mut()
            .mark_list_unreliable(now_ms);
    }

    fn on_list_anew(&self) {
        self.is_listing_anew.set(true);
        self.record_gap();
    }

    fn on_answer_discarded(&self, reason: DiscardReason) {
        self.state.metrics.count_discarded_store_answer(reason);
    }

    fn on_store_error(&self) {
        let now_ms = self.state.clock.now_ms();
        self.state.metrics.store_troubles.inc();
        self.state
            .directory
            .borrow_mut()
            .mark_list_unreliable(now_ms);
        self.state.mark_store_lost();
    }

    fn on_caught_up(&self) {
        self.state.mark_store_read();
        if self.is_listing_anew.take() {
            self.record_gap();
        }
        if self.state.listed_since_ms.get().is_none() {
            self.state
                .listed_since_ms
                .set(Some(self.state.clock.now_ms()));
            self.state.changes.notify_waiters();
        }
    }
}

impl StoreObserver {
    /// Records that a software version may have come and left unseen up to now.
    fn record_gap(&self) {
        let now_ms = self.state.clock.now_ms();
        self.state.versions.borrow_mut().record_gap(now_ms);
    }

    fn apply_server(&self, id: Arc<str>, change: &Change, freshness: Freshness) {
        let now_ms = self.state.clock.now_ms();
        let mut directory = self.state.directory.borrow_mut();
        let Some(value) = change.value.as_ref().filter(|_| !change.is_removed) else {
            emit(
                EventId::ServerRemoved,
                format_args!("server={id} revision={}", change.revision),
            );
            directory.remove(&id, now_ms);
            return;
        };
        match registry::decode_server(id, value) {
            Ok(entry) if entry.started_ms.is_none() && self.state.has_start_times.get() => emit(
                EventId::ServerUnreadable,
                format_args!(
                    "key={} revision={}: {NO_START_TIME}",
                    change.key, change.revision
                ),
            ),
            Ok(entry) => {
                self.state.has_start_times.set(entry.started_ms.is_some());
                emit(
                    EventId::ServerListed,
                    format_args!(
                        "server={} address={} software_version={} started_ms={:?} draining={} revision={}",
                        entry.id,
                        entry.address,
                        entry.software_version.as_deref().unwrap_or("-"),
                        entry.started_ms,
                        entry.is_draining,
                        change.revision
                    ),
                );
                self.state
                    .record_version(&entry.service, entry.software_version.as_ref());
                match freshness {
                    Freshness::Written => directory.insert(entry, now_ms),
                    Freshness::Restored => directory.restore(entry, now_ms),
                }
            }
            Err(error) => emit(
                EventId::ServerUnreadable,
                format_args!("key={} revision={}: {error}", change.key, change.revision),
            ),
        }
    }
}

/// Maintains a link to the agent of each engine in the server list.
async fn maintain_links(state: Rc<EntryState>) {
    loop {
        update_links(&state);
        let _ = timeout(LINK_CHECK_INTERVAL, state.changes.notified()).await;
    }
}

fn update_links(state: &Rc<EntryState>) {
    let now_ms = state.clock.now_ms();
    let mut directory = state.directory.borrow_mut();
    directory.prune(now_ms);
    state.refresh_versions(&directory);
    let table = state.table.borrow();
    let engines: HashSet<IpAddr> = directory
        .all()
        .filter(|server| table.engine(&server.entry.service).is_some())
        .map(|server| server.entry.address.ip())
        .collect();
    let mut links = state.links.borrow_mut();
    state.metrics.servers.set(directory.len() as i64);
    state.metrics.links.set(links.len() as i64);
    links.retain(|address, link| {
        let is_needed = engines.contains(address) || !link.is_idle();
        if !is_needed {
            link.close();
        }
        is_needed
    });
    let port = state.settings.first_internal_port;
    for address in engines {
        links.entry(address).or_insert_with(|| {
            let changes = Rc::clone(&state.changes);
            let notices = state.link_notices.clone();
            let buffered = Rc::clone(&state.buffered);
            let list_outdated = Rc::clone(&state.list_outdated);
            let address = SocketAddr::new(address, port);
            EngineLink::open(address, changes, list_outdated, notices, buffered)
        });
    }
    drop(links);
    state.refresh_grant_view();
}
