//! What the records of several agents say together about the software version that began a stream.

use {super::VersionConstraint, std::sync::Arc};

/// What one process knows of the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// The version; absent if the server does not publish one.
    pub software_version: Option<Arc<str>>,
    /// Whether an entry is known to have forwarded the first event, rather than only an engine to have
    /// made it.
    pub is_forwarded: bool,
    /// The time since the record was made, in milliseconds.
    pub age_ms: u64,
}

/// The records of one stream at several agents.
///
/// An engine may make the first event of an attempt whose events never reach the caller, because its link
/// breaks; the entry then begins the stream at another engine, perhaps of another version. A record of an
/// event that an entry has forwarded is therefore proof, the latest one if there are several. Records of
/// events that were only made are proof as long as they agree.
#[derive(Clone, Debug, Default)]
pub struct OriginEvidence {
    /// Number of agents that have answered and know the recent versions of the service.
    witnesses: usize,
    latest_forwarded: Option<OriginRecord>,
    begun: Option<Option<Arc<str>>>,
    is_conflicting: bool,
}

/// What the records say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// No process knows the stream.
    Unknown,
    /// Engines of several versions have begun the stream, and from which one the caller has events is unknown.
    Conflicting,
    /// This version began the stream.
    Known(VersionConstraint),
}

impl OriginEvidence {
    /// Adds the answer of one agent: its record of the stream, if it has one, and whether it knows all recent
    /// versions of the service. An agent that has just started knows neither.
    pub fn add_answer(&mut self, record: Option<OriginRecord>, knows_versions: bool) {
        self.witnesses += usize::from(knows_versions);
        if let Some(record) = record {
            self.add(record);
        }
    }

    /// Returns whether enough agents have answered, of those that were asked, to conclude something from what
    /// none of them knows. An entry that is cut off from a few agents has told the others.
    #[must_use]
    pub const fn is_representative(&self, asked: usize) -> bool {
        self.witnesses > 0 && self.witnesses * 2 >= asked
    }

    /// Returns whether an entry is known to have forwarded the first event of the stream.
    #[must_use]
    pub const fn has_forwarded(&self) -> bool {
        self.latest_forwarded.is_some()
    }

    /// Adds the record of one process.
    pub fn add(&mut self, record: OriginRecord) {
        if !record.is_forwarded {
            self.add_begun(record.software_version);
            return;
        }
        let is_latest = self
            .latest_forwarded
            .as_ref()
            .is_none_or(|latest| record.age_ms < latest.age_ms);
        if is_latest {
            self.latest_forwarded = Some(record);
        }
    }

    fn add_begun(&mut self, software_version: Option<Arc<str>>) {
        match &self.begun {
            Some(begun) => self.is_conflicting |= *begun != software_version,
            None => self.begun = Some(software_version),
        }
    }

    /// Returns what the records say together.
    #[must_use]
    pub fn verdict(&self) -> OriginVerdict {
        match (self.latest_forwarded.clone(), self.begun.clone()) {
            (Some(record), _) => {
                OriginVerdict::Known(VersionConstraint::Only(record.software_version))
            }
            (None, Some(_)) if self.is_conflicting => OriginVerdict::Conflicting,
            (None, Some(version)) => OriginVerdict::Known(VersionConstraint::Only(version)),
            (None, None) => OriginVerdict::Unknown,
        }
    }
}
