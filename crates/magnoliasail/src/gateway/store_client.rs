//! Functions for the platform's store that entries and agents share.

use {
    super::{
        metrics::GatewayMetrics,
        pool::{Pool, SharedIdleLimit},
    },
    crate::events::{EventId, emit},
    magnoliasail_core::gateway::Configuration,
    magnoliasail_platform::{configuration, settings::NodeSettings},
    std::{net::SocketAddr, rc::Rc},
    strum::Display,
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

/// From where a process has a published configuration.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ConfigurationSource {
    /// The process read it from the store.
    Store,
    /// An agent had read it from the store.
    Agent,
}

/// Decodes a published configuration and passes it to `apply`, which returns whether the
/// configuration was newer and has been applied. Logs the result, and sets the version metric.
pub(super) fn apply_configuration<F>(
    value: &[u8],
    revision: u64,
    source: ConfigurationSource,
    metrics: &GatewayMetrics,
    apply: F,
) where
    F: FnOnce(Configuration) -> bool,
{
    let configuration = match configuration::decode(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            emit(
                EventId::ConfigurationRejected,
                format_args!("revision={revision} source={source}: {error}"),
            );
            return;
        }
    };
    let version = configuration.version;
    let accounts = configuration.accounts.len();
    if apply(configuration) {
        metrics.configuration_version.set(version as i64);
        emit(
            EventId::ConfigurationAdopted,
            format_args!(
                "version={version} revision={revision} source={source} accounts={accounts}"
            ),
        );
    }
}
