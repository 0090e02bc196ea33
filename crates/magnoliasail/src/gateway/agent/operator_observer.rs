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
        AdapterVersion, Configuration, DiscardReason, Freshness, ReadAges,
        message::ConfigurationCopy,
    },
    magnoliasail_platform::{configuration, registry, store::Change},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// Duration of a long poll. It may be long, because the limits of an engine hardly ever change.
const LONG_POLL: Duration = Duration::from_millis(4_500);
/// Pause between reads, well below the time within which a change must take effect.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Time within which a write has been read if nothing holds the process up: the pause, and a slow read.
pub(super) const MAX_READ_LAG_MS: u64 = 800;

/// Applies configurations and announcements of adapter versions.
struct OperatorObserver {
    state: Rc<AgentState>,
    /// Version of the configuration in use.
    version: Cell<Option<u64>>,
    /// The newest era of the store that a response has named.
    era: Cell<Option<u64>>,
    read_ages: RefCell<ReadAges>,
    /// The earliest time at which the changes of the latest response can have been written, if it is known.
    written_ms: Cell<Option<u64>>,
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
        read_ages: RefCell::default(),
        written_ms: Cell::new(None),
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

    /// Passes on the announcement of an adapter version. It counts from the earliest time at which it can have been
    /// confirmed, plus the usual time until it is read, which the bound on older versions allows for.
    fn announce(&self, announced: &AdapterVersion, revision: u64) {
        let now_ms = self.state.clock.now_ms();
        let written_ms = self.written_ms.get();
        let max_age_ms = written_ms.map(|written_ms| now_ms.saturating_sub(written_ms));
        emit(
            EventId::VersionAnnounced,
            format_args!(
                "model={} adapter={} version={} revision={revision} max_age_ms={max_age_ms:?}",
                announced.model, announced.adapter, announced.version
            ),
        );
        let announced_ms = written_ms.map_or(0, |written_ms| {
            now_ms.min(written_ms.saturating_add(MAX_READ_LAG_MS))
        });
        self.state.announce_version(announced, announced_ms);
    }
}

impl ChangeObserver for OperatorObserver {
    fn on_call(&self, is_watch: bool) {
        let now_ms = self.state.clock.now_ms();
        self.read_ages.borrow_mut().begin_call(is_watch, now_ms);
    }

    fn on_response(&self) {
        let mut read_ages = self.read_ages.borrow_mut();
        let running_until_ms = self.state.running_until_ms(read_ages.call_began_ms());
        self.written_ms
            .set(read_ages.record_response(running_until_ms));
    }

    fn on_change(&self, change: &Change, _freshness: Freshness) {
        let Some(value) = &change.value else { return };
        if change.key == configuration::KEY {
            self.apply_published(value, change.revision);
        } else if change.key.starts_with(registry::VERSION_KEY_PREFIX) {
            match registry::decode_version(value) {
                Ok(announced) => self.announce(&announced, change.revision),
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
        self.read_ages.borrow_mut().end_read();
    }
}
