//! What an agent learns from the platform's store: the configuration and versions of adapters.

use {
    super::state::AgentState,
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{Followed, Follower, Pace},
            pool::{Pool, SharedTrust},
        },
    },
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time for which a watch waits: an agent's engine is limited by what hardly ever changes.
const WATCH: Duration = Duration::from_millis(4_500);
/// Time between changes that are taken, well within the time for one to be in force.
const CHANGE_GAP: Duration = Duration::from_millis(500);
const STORE_CONNECTIONS: usize = 2;

/// Takes what the operator writes.
struct OperatorView {
    state: Rc<AgentState>,
    version: Cell<Option<u64>>,
}

/// Follows the store for as long as the process lives.
pub(super) fn start_views(state: &Rc<AgentState>) {
    let Ok(address) = state.settings.store.parse::<SocketAddr>() else {
        emit(
            EventId::StoreLost,
            "the store's address is not IP:PORT; correct the settings",
        );
        return;
    };
    let view = OperatorView {
        state: Rc::clone(state),
        version: Cell::new(None),
    };
    let pool = Pool::new(address, STORE_CONNECTIONS, SharedTrust::default());
    let follower = Follower::new(
        pool,
        &state.settings.store,
        registry::OPERATOR,
        Pace {
            wait: WATCH,
            gap: CHANGE_GAP,
        },
        Rc::new(view),
    );
    tokio::task::spawn_local(follower.run());
}

impl OperatorView {
    fn configure(&self, change: &Change, value: &[u8]) {
        match configuration::decode(value) {
            Ok(configuration) => {
                let is_newer = self
                    .version
                    .get()
                    .is_none_or(|version| configuration.version > version);
                if is_newer {
                    self.version.set(Some(configuration.version));
                    let version = configuration.version as i64;
                    self.state.metrics.configuration_version.set(version);
                    emit(
                        EventId::ConfigurationAdopted,
                        format_args!(
                            "version={} revision={}",
                            configuration.version, change.revision
                        ),
                    );
                    self.state.configure(&configuration);
                }
            }
            Err(error) => emit(
                EventId::ConfigurationRejected,
                format_args!("revision={}: {error}", change.revision),
            ),
        }
    }
}

impl Followed for OperatorView {
    fn changed(&self, change: &Change) {
        let Some(value) = &change.value else { return };
        if change.key == configuration::KEY {
            self.configure(change, value);
        } else if change.key.starts_with(registry::VERSIONS) {
            match registry::decode_version(value) {
                Ok(announced) => {
                    emit(
                        EventId::VersionAnnounced,
                        format_args!(
                            "model={} adapter={} version={} revision={}",
                            announced.model, announced.adapter, announced.version, change.revision
                        ),
                    );
                    self.state.announce(&announced);
                }
                Err(error) => emit(
                    EventId::ConfigurationRejected,
                    format_args!("key={} revision={}: {error}", change.key, change.revision),
                ),
            }
        }
    }

    fn troubled(&self) {
        self.state.metrics.store_troubles.inc();
    }

    fn caught_up(&self) {}
}
