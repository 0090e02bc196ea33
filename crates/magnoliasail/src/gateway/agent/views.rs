//! What an agent learns from the platform's store: the configuration and versions of adapters.

use {
    super::state::AgentState,
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{Followed, Follower, Pace},
            store_view::{store_pool, take_configuration},
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
struct OperatorView {
    state: Rc<AgentState>,
    version: Cell<Option<u64>>,
}

/// Follows the store for as long as the process lives.
pub(super) fn start_views(state: &Rc<AgentState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let view = OperatorView {
        state: Rc::clone(state),
        version: Cell::new(None),
    };
    let follower = Follower::new(
        pool,
        &state.settings.store_address,
        registry::OPERATOR_KEY_PREFIX,
        Pace {
            wait: WATCH,
            gap: CHANGE_GAP,
        },
        Rc::new(view),
    );
    tokio::task::spawn_local(follower.run());
}

impl OperatorView {
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

impl Followed for OperatorView {
    fn changed(&self, change: &Change) {
        let Some(value) = &change.value else { return };
        if change.key == configuration::KEY {
            take_configuration(change, &self.state.metrics, |configuration| {
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

    fn troubled(&self) {
        self.state.metrics.store_troubles.inc();
    }

    fn caught_up(&self) {}
}
