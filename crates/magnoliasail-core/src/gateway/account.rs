//! A client account: its keys, its rank and its quota.

use {
    super::{ApiKey, Quota},
    std::sync::Arc,
};

/// A client account of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The name, which backend servers receive with each request.
    pub name: Arc<str>,
    /// The keys that callers of the account send. An account without keys can send nothing.
    pub keys: Vec<ApiKey>,
    /// The priority rank of the account's requests, which goes before that of the route; rank 0 is served
    /// first. The route's rank decides among the account's requests.
    pub rank: Option<u32>,
    /// How much the account may use over all entries together; absent if that is not limited.
    pub quota: Option<Quota>,
}
