//! What an entry learns from the platform's store: the configuration and the servers.

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

/// Time for which a watch waits: short, as what an entry knows must be in force within seconds.
const WATCH: Duration = Duration::from_secs(3);
/// Time between changes of the configuration that are taken, well within the time for one to be in
/// force.
const CONFIGURATION_GAP: Duration = Duration::from_millis(250);
/// The most time between changes of the list that are taken: it changes whenever an engine loads an
/// adapter, and each call has a price.
const MOST_SERVERS_GAP_MS: u64 = 1_500;
/// Time between looks for links to open or close.
const LINK_REVIEW: Duration = Duration::from_millis(100);

/// Takes the operator's configuration.
struct ConfigurationView(Rc<EntryState>);

/// Takes the list of servers.
struct ServersView(Rc<EntryState>);

/// Follows the store for as long as the process lives.
pub(super) fn start_views(state: &Rc<EntryState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let host = &state.settings.store_address;
    let configuration = Follower::new(
        Rc::clone(&pool),
        host,
        configuration::KEY,
        WatchTiming {
            long_poll: WATCH,
            pause: CONFIGURATION_GAP,
        },
        Rc::new(ConfigurationView(Rc::clone(state))),
    );
    let servers = Follower::new(
        pool,
        host,
        registry::SERVER_KEY_PREFIX,
        WatchTiming {
            long_poll: WATCH,
            // A server that is leaving must be known well before it may get nothing new.
            pause: Duration::from_millis((state.settings.drain_ms / 2).min(MOST_SERVERS_GAP_MS)),
        },
        Rc::new(ServersView(Rc::clone(state))),
    );
    tokio::task::spawn_local(configuration.run());
    tokio::task::spawn_local(servers.run());
    tokio::task::spawn_local(review_links(Rc::clone(state)));
}

impl ChangeObserver for ConfigurationView {
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
        self.0.store_lost();
    }

    fn on_caught_up(&self) {
        self.0.is_store_lost.set(false);
    }
}

impl ChangeObserver for ServersView {
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
        self.0.store_lost();
    }

    fn on_caught_up(&self) {
        self.0.is_store_lost.set(false);
        if !self.0.has_servers.replace(true) {
            self.0.changes.notify_waiters();
        }
    }
}

/// Keeps a link to the agent beside each engine.
async fn review_links(state: Rc<EntryState>) {
    loop {
        open_and_close_links(&state);
        let _ = timeout(LINK_REVIEW, state.changes.notified()).await;
    }
}

fn open_and_close_links(state: &Rc<EntryState>) {
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
