//! What an agent learns from the platform's store: the configuration and versions of adapters.

use {
    super::state::AgentState,
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{ChangeObserver, Follower, WatchTiming},
            store_client::{apply_configuration, store_pool},
        },
    },
    magnoliasail_core::gateway::Configuration,
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Time for which a watch waits: an agent's engine is limited by what hardly ever changes.
const WATCH: Duration = Duration::from_millis(4_500);
/// Time between changes that are taken, well within the time for one to be in force.
const CHANGE_GAP: Duration = Duration::from_millis(500);

/// Takes what the operator writes.
struct OperatorObserver {
    state: Rc<AgentState>,
    version: Cell<Option<u64>>,
}

/// Follows the store for as long as the process lives.
pub(super) fn watch_operator_keys(state: &Rc<AgentState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let view = OperatorObserver {
        state: Rc::clone(state),
        version: Cell::new(None),
    };
    let follower = Follower::new(
        pool,
        &state.settings.store_address,
        registry::OPERATOR_KEY_PREFIX,
        WatchTiming {
            long_poll: WATCH,
            pause: CHANGE_GAP,
        },
        Rc::new(view),
    );
    tokio::task::spawn_local(follower.run());
}

impl OperatorObserver {
    /// Adopts a configuration if it is newer; returns whether it was.
    fn adopt(&self, configuration: &Configuration) -> bool {
        let version = configuration.version;
        if self.version.get().is_some_and(|known| known >= version) {
            return false;
        }
        self.version.set(Some(version));
        self.state.configure(configuration);
        true
    }
}

impl ChangeObserver for OperatorObserver {
    fn on_change(&self, change: &Change) {
        let Some(value) = &change.value else { return };
        if change.key == configuration::KEY {
            apply_configuration(change, &self.state.metrics, |configuration| {
                self.adopt(&configuration)
            });
        } else if change.key.starts_with(registry::VERSION_KEY_PREFIX) {
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

    fn on_store_error(&self) {
        self.state.metrics.store_troubles.inc();
    }

    fn on_caught_up(&self) {}
}
