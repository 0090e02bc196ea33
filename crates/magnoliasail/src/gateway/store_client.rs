//! Functions for the platform's store that entries and agents share.

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

/// Maximum number of connections to the store: one for each follower, and some to spare.
const MAX_STORE_CONNECTIONS: usize = 4;

/// Returns a connection pool for the store. Logs an error and returns `None` if the address in the
/// settings is invalid.
pub(super) fn store_pool(settings: &NodeSettings) -> Option<Rc<Pool>> {
    let Ok(address) = settings.store_address.parse::<SocketAddr>() else {
        emit(
            EventId::StoreLost,
            "the store's address in the settings is not IP:PORT; correct it",
        );
        return None;
    };
    let idle_limit = SharedIdleLimit::default();
    Some(Pool::new(address, MAX_STORE_CONNECTIONS, idle_limit))
}

/// Decodes a changed configuration and passes it to `apply`, which returns whether the
/// configuration was newer and has been applied. Logs the result, and sets the version metric.
pub(super) fn apply_configuration<F>(change: &Change, metrics: &GatewayMetrics, apply: F)
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
    if apply(configuration) {
        metrics.configuration_version.set(version as i64);
        emit(
            EventId::ConfigurationAdopted,
            format_args!("version={version} revision={}", change.revision),
        );
    }
}
