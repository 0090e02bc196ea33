//! The operator's configuration on its way from an agent to an entry that cannot read the store.

use prost::{Message, bytes::Bytes};

/// A question for a newer configuration than the entry has.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AskConfiguration {
    /// The version that the entry has; absent if it has none.
    #[prost(uint64, optional, tag = "1")]
    pub known_version: Option<u64>,
    /// The newest era of the store that the entry knows; absent if the store names none.
    #[prost(uint64, optional, tag = "2")]
    pub era: Option<u64>,
}

/// A configuration as the store published it. The entry checks it as if it had read it itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigurationCopy {
    /// The published value.
    #[prost(bytes = "bytes", tag = "1")]
    pub value: Bytes,
    /// The revision at which the agent read the value.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The era of the store in which the agent read the value; absent if the store names none.
    #[prost(uint64, optional, tag = "3")]
    pub era: Option<u64>,
}
