//! Message types that are sent in both directions.

use {
    crate::AdapterRef,
    prost::{Message, bytes::Bytes},
};

/// An adapter, its version and its digest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Adapter {
    /// Name of the adapter.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version of the adapter.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Digest of the weights.
    #[prost(string, tag = "3")]
    pub digest: String,
}

impl From<&AdapterRef> for Adapter {
    fn from(adapter: &AdapterRef) -> Self {
        Self {
            name: adapter.name.to_string(),
            version: adapter.version.to_string(),
            digest: adapter.digest.to_string(),
        }
    }
}

impl From<&Adapter> for AdapterRef {
    fn from(adapter: &Adapter) -> Self {
        Self::new(
            adapter.name.as_str(),
            adapter.version.as_str(),
            adapter.digest.as_str(),
        )
    }
}

/// Reports the new quarantine status of a request, identified by its fingerprint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectNotice {
    /// Fingerprint of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Code of the [`SuspectStatus`](crate::SuspectStatus).
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
}

/// Requests the peer's table if it is newer than `version`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TableQuery {
    /// Version of the sender's active table; zero for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// One page of the table.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TablePage {
    /// Name of the page.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Hash of the page's text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Text of the page as CSV; absent if the receiver should have a page of this name and hash.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub csv: Option<Bytes>,
}

/// A version of the table, or only the confirmation of one if there are no pages.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TablePages {
    /// Version of the table.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time on the platform's clock at which the version was current, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub as_of_ms: u64,
    /// All pages of the version; empty if the receiver already has the version.
    #[prost(message, repeated, tag = "3")]
    pub pages: Vec<TablePage>,
    /// Time on the platform's clock at which the roster page last changed, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub roster_published_ms: u64,
}
