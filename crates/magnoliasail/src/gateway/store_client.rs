//! What entries and agents do alike with what the platform's store tells them.

use {
    super::{
        metrics::GatewayMetrics,
        pool::{Pool, SharedIdleLimit},
    },
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::Configuration,
    magnoliasail_platform::{configuration, settings::NodeSettings, store::Change},
    std::{net::SocketAddr, rc::Rc},
};

/// Connections to the store: one for each follower and one to spare.
const STORE_CONNECTIONS: usize = 4;

/// Returns connections to the store; nothing, with a log line, if its address cannot be read.
pub(super) fn store_pool(settings: &NodeSettings) -> Option<Rc<Pool>> {
    let Ok(address) = settings.store_address.parse::<SocketAddr>() else {
        emit(
            EventId::StoreLost,
            "the store's address is not IP:PORT; correct the settings",
        );
        return None;
    };
    let trust = SharedIdleLimit::default();
    Some(Pool::new(address, STORE_CONNECTIONS, trust))
}

/// Decodes a configuration and hands it to `adopt`, which tells whether it is newer.
pub(super) fn apply_configuration<F>(change: &Change, metrics: &GatewayMetrics, adopt: F)
where
    F: FnOnce(Configuration) -> bool,
{
    let Some(value) = &change.value else { return };
    let configuration = match configuration::decode(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            emit(
                EventId::ConfigurationRejected,
                format_args!("revision={}: {error}", change.revision),
            );
            return;
        }
    };
    let version = configuration.version;
    if adopt(configuration) {
        metrics.configuration_version.set(version as i64);
        emit(
            EventId::ConfigurationAdopted,
            format_args!("version={version} revision={}", change.revision),
        );
    }
}
