//! Follows the operator's keys in the platform's store: the configuration and adapter versions.

use {
    super::state::AgentState,
    crate::{
        events::{EventId, emit},
        gateway::{
            follower::{ChangeObserver, Follower, WatchTiming},
            store_client::{ConfigurationSource, apply_configuration, store_pool},
        },
    },
    bytes::Bytes,
    magnoliasail_core::gateway::{
        Configuration, DiscardReason, Freshness, message::ConfigurationCopy,
    },
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Duration of a long poll. It may be long, because the limits of an engine hardly ever change.
const LONG_POLL: Duration = Duration::from_millis(4_500);
/// Pause between reads, well below the time within which a change must take effect.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Time within which a write has been read: the pause, and a slow read.
pub(super) const MAX_READ_LAG_MS: u64 = 800;

/// Applies configurations and announcements of adapter versions.
struct OperatorObserver {
    state: Rc<AgentState>,
    /// Version of the configuration in use.
    version: Cell<Option<u64>>,
    /// The newest era of the store that a response has named.
    era: Cell<Option<u64>>,
    /// Whether all that was written before the start of this process has been read.
    has_caught_up: Cell<bool>,
}

/// Starts to follow the operator's keys. Does nothing if the store's address is invalid.
pub(super) fn watch_operator_keys(state: &Rc<AgentState>) {
    let Some(pool) = store_pool(&state.settings) else {
        return;
    };
    let observer = OperatorObserver {
        state: Rc::clone(state),
        version: Cell::new(None),
        era: Cell::new(None),
        has_caught_up: Cell::new(false),
    };
    let follower = Follower::new(
        pool,
        &state.settings.store_address,
        registry::OPERATOR_KEY_PREFIX,
        WatchTiming {
            long_poll: LONG_POLL,
            pause: WATCH_PAUSE,
            min_pause: WATCH_PAUSE,
        },
        Rc::default(),
        Rc::new(observer),
    );
    tokio::task::spawn_local(follower.run());
}

impl OperatorObserver {
    /// Applies a published configuration if it is newer, and keeps its value for entries that cannot read
    /// the store.
    fn apply_published(&self, value: &Bytes, revision: u64) {
        let source = ConfigurationSource::Store;
        apply_configuration(
            value,
            revision,
            source,
            &self.state.metrics,
            |configuration| {
                let version = configuration.version;
                let is_newer = self.apply(&configuration);
                if is_newer {
                    let copy = ConfigurationCopy {
                        value: value.clone(),
                        revision,
                        era: self.era.get(),
                    };
                    self.state.keep_configuration(version, copy);
                }
                is_newer
            },
        );
    }

    /// Applies a configuration if it is newer; returns whether it was.
    fn apply(&self, configuration: &Configuration) -> bool {
        let version = configuration.version;
        if self.version.get().is_some_and(|current| current >= version) {
            return false;
        }
        self.version.set(Some(version));
        self.state.apply_configuration(configuration);
        true
    }
}

impl ChangeObserver for OperatorObserver {
    fn on_change(&self, change: &Change, _freshness: Freshness) {
        let Some(value) = &change.value else { return };
        if change.key == configuration::KEY {
            self.apply_published(value, change.revision);
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
                    self.state
                        .announce_version(&announced, self.has_caught_up.get());
                }
                Err(error) => emit(
                    EventId::ConfigurationRejected,
                    format_args!("key={} revision={}: {error}", change.key, change.revision),
                ),
            }
        }
    }

    fn on_era(&self, era: Option<u64>) {
        self.era.set(era);
    }

    /// Versions only increase, so that nothing of an older copy is applied.
    fn on_new_era(&self) {
        self.state.metrics.store_era_changes.inc();
    }

    fn on_answer_discarded(&self, reason: DiscardReason) {
        self.state.metrics.count_discarded_store_answer(reason);
    }

    fn on_store_error(&self) {
        self.state.metrics.store_troubles.inc();
    }

    fn on_caught_up(&self) {
        self.has_caught_up.set(true);
    }
}
