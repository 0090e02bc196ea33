//! The software version that began a stream: records of it, and answers to queries for them.

use {
    super::{super::OriginRecord, ServiceVersions},
    prost::Message,
};

/// Which software version began a stream. A caller that resumes the stream needs the same version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamOrigin {
    /// The key of the stream, see
    /// [`RequestMetadata::stream_key`](crate::gateway::RequestMetadata::stream_key).
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The software version of the server; absent if it does not publish one.
    #[prost(string, optional, tag = "2")]
    pub software_version: Option<String>,
}

/// The answer to a query for the origin of a stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OriginAnswer {
    /// The key of the stream.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The origin; absent if the agent does not know it.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<StreamOrigin>,
    /// Whether an entry is known to have forwarded the first event, rather than only an engine to have
    /// made it.
    #[prost(bool, tag = "3")]
    pub is_forwarded: bool,
    /// The time since the origin was recorded, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The software versions that services have had recently, as far as the agent knows.
    #[prost(message, repeated, tag = "5")]
    pub versions: Vec<ServiceVersions>,
}

impl OriginAnswer {
    /// Encodes what an agent knows of the stream with this key, and of the versions of services.
    #[must_use]
    pub fn new(key: u64, record: Option<OriginRecord>, versions: Vec<ServiceVersions>) -> Self {
        match record {
            None => Self {
                key,
                versions,
                ..Self::default()
            },
            Some(record) => Self {
                key,
                versions,
                is_forwarded: record.is_forwarded,
                age_ms: record.age_ms,
                origin: Some(StreamOrigin {
                    key,
                    software_version: record.software_version.as_deref().map(str::to_owned),
                }),
            },
        }
    }

    /// Returns what the agent knows of the stream, or `None` if it does not know the stream.
    #[must_use]
    pub fn record(&self) -> Option<OriginRecord> {
        let origin = self.origin.as_ref()?;
        Some(OriginRecord {
            software_version: origin.software_version.as_deref().map(Into::into),
            is_forwarded: self.is_forwarded,
            age_ms: self.age_ms,
        })
    }
}
