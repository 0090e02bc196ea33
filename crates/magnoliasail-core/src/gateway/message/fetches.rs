//! Fetches of adapters from the weight store: what agents ask for, and what an entry permits.

use prost::Message;

/// Tells an agent that the entry permits fetches, for all engines of the fleet.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitsFetches {
    /// The name of the entry's VM. Agents ask the linked entry whose name ranks first.
    #[prost(string, tag = "1")]
    pub entry: String,
}

/// What an engine fetches and what it waits for, in full.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EngineFetches {
    /// The number of this message on its link, starting with 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The number of permits received on this link.
    #[prost(uint64, tag = "2")]
    pub permits_received: u64,
    /// The number of fetches in transit, and of permits that will be used.
    #[prost(uint32, tag = "3")]
    pub in_transit: u32,
    /// The adapters that wait for a permit.
    #[prost(message, repeated, tag = "4")]
    pub pending: Vec<PendingFetch>,
    /// The times of the fetches that ended since the last message, in milliseconds.
    #[prost(uint32, repeated, tag = "5")]
    pub ended_ms: Vec<u32>,
}

/// An adapter that an engine needs from the weight store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PendingFetch {
    /// The key of the adapter, see [`adapter_key`](crate::gateway::adapter_key).
    #[prost(fixed64, tag = "1")]
    pub adapter: u64,
    /// The time until which the fetch must start for its most urgent request to be in time, in milliseconds;
    /// absent if no request can be in time.
    #[prost(uint64, optional, tag = "2")]
    pub left_ms: Option<u64>,
    /// The time for which the oldest request has waited, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub waited_ms: u64,
    /// The number of requests that wait for the adapter.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
}

/// Permits fetches, and acknowledges the messages of an agent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FetchPermits {
    /// The number of the latest [`EngineFetches`] that the entry has received.
    #[prost(uint64, tag = "1")]
    pub received: u64,
    /// The keys of the adapters that may be fetched now.
    #[prost(fixed64, repeated, tag = "2")]
    pub adapters: Vec<u64>,
    /// Whether the weight store has so much room that no fetch needs a permit.
    #[prost(bool, tag = "3")]
    pub is_unrestricted: bool,
}
