//! Updates of the entry's state from the platform's store: the configuration and the server list.
//!
//! Links to agents are opened and closed to match them.

use {
    super::{engine_link::EngineLink, state::EntryState},
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{ChangeObserver, Follower, WatchTiming},
            store_client::{apply_configuration, store_pool},
        },
    },
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Duration of a long poll. A connection that has gone silent is noticed only after it, and changes
/// must take effect within seconds.
const LONG_POLL: Duration = Duration::from_secs(3);
/// Pause after each read of configuration changes, well within the time in which one must take
/// effect.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause after each read of server list changes. The list changes whenever an engine loads
/// an adapter, and each call to the store has a cost.
const MAX_SERVER_LIST_PAUSE_MS: u64 = 1_500;
/// Longest time between checks for links to open or close.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies changes of the operator's configuration.
struct ConfigurationObserver(Rc<EntryState>);

/// Applies changes of the server list.
struct ServerListObserver(Rc<EntryState>);

/// Starts the tasks that follow the store and maintain the links, for the lifetime of the process.
pub(super) fn start_followers(state: &Rc<EntryState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let host = &state.settings.store_address;
    let configuration = Follower::new(
        Rc::clone(&pool),
        host,
        configuration::KEY,
        WatchTiming {
            long_poll: LONG_POLL,
            pause: CONFIGURATION_PAUSE,
        },
        Rc::new(ConfigurationObserver(Rc::clone(state))),
    );
    let servers = Follower::new(
        pool,
        host,
        registry::SERVER_KEY_PREFIX,
        WatchTiming {
            long_poll: LONG_POLL,
            // An entry must see that a server is draining well before the time from which it must
            // send it no new requests.
            pause: Duration::from_millis(
                (state.settings.drain_ms / 2).min(MAX_SERVER_LIST_PAUSE_MS),
            ),
        },
        Rc::new(ServerListObserver(Rc::clone(state))),
    );
    tokio::task::spawn_local(configuration.run());
    tokio::task::spawn_local(servers.run());
    tokio::task::spawn_local(maintain_links(Rc::clone(state)));
}

impl ChangeObserver for ConfigurationObserver {
    fn on_change(&self, change: &Change) {
        let state = &self.0;
        apply_configuration(change, &state.metrics, |configuration| {
            let is_newer = state.table.borrow_mut().apply(configuration);
            if is_newer {
                state.changes.notify_waiters();
            }
            is_newer
        });
    }

    fn on_store_error(&self) {
        self.0.mark_store_lost();
    }

    fn on_caught_up(&self) {
        self.0.is_store_lost.set(false);
    }
}

impl ChangeObserver for ServerListObserver {
    fn on_change(&self, change: &Change) {
        let Some(id) = registry::server_id(&change.key) else {
            return;
        };
        let now_ms = self.0.clock.now_ms();
        let mut directory = self.0.directory.borrow_mut();
        let Some(value) = change.value.as_ref().filter(|_| !change.is_removed) else {
            emit(
                EventId::ServerRemoved,
                format_args!("server={id} revision={}", change.revision),
            );
            directory.remove(&id, now_ms);
            return;
        };
        match registry::decode_server(id, value) {
            Ok(entry) => {
                emit(
                    EventId::ServerListed,
                    format_args!(
                        "server={} address={} draining={} revision={}",
                        entry.id, entry.address, entry.is_draining, change.revision
                    ),
                );
                directory.insert(entry);
            }
            Err(error) => emit(
                EventId::ServerUnreadable,
                format_args!("key={} revision={}: {error}", change.key, change.revision),
            ),
        }
    }

    fn on_store_error(&self) {
        let now_ms = self.0.clock.now_ms();
        self.0.metrics.store_troubles.inc();
        self.0.directory.borrow_mut().mark_list_unreliable(now_ms);
        self.0.mark_store_lost();
    }

    fn on_caught_up(&self) {
        self.0.is_store_lost.set(false);
        if !self.0.has_server_list.replace(true) {
            self.0.changes.notify_waiters();
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
            EngineLink::open(SocketAddr::new(address, port), changes)
        });
    }
}
