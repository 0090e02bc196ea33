//! The software versions that a service has had recently, as entries and agents report them to each other.

use prost::Message;

/// The software versions that a service has had recently, as the sender knows them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceVersions {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub versions: Vec<ListedVersion>,
    /// The time for which every version of the service is known, in milliseconds; `u64::MAX` if it is
    /// since the system started for the first time.
    #[prost(uint64, tag = "3")]
    pub known_for_ms: u64,
}

/// A software version that a service has, or has had recently.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ListedVersion {
    /// The version; absent for servers that do not publish one.
    #[prost(string, optional, tag = "1")]
    pub software_version: Option<String>,
    /// The time since a server of this version was last listed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}
