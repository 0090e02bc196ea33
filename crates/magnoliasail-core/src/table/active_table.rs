//! The table version in use: complete, valid and never replaced by an older one.

use {
    super::{Pages, Problems, Table},
    crate::{TimeMs, job::RosterHistory},
    snafu::Snafu,
    std::sync::Arc,
};

/// The error of a version that was rejected as invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "version {version} is invalid and {active_version} stays active; correct it and publish it again: {problems}"
))]
pub struct TableError {
    /// The rejected version.
    pub version: u64,
    /// The version that stays active; zero for none.
    pub active_version: u64,
    /// The problems of the rejected version.
    pub problems: Problems,
}

/// A version of the table as the platform published it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedTable {
    /// Version of the table.
    pub version: u64,
    /// Newest known time at which the version was current, on the platform's clock, in milliseconds.
    pub as_of_ms: TimeMs,
    /// Time of the last change to the roster page, on the platform's clock, in milliseconds.
    pub roster_published_ms: TimeMs,
    /// All pages of the version.
    pub pages: Pages,
}

/// The table version in use by one process, with the rosters that it may rely on and the last
/// rejection.
#[derive(Clone, Debug, Default)]
pub struct ActiveTable {
    table: Arc<Table>,
    published: Arc<PublishedTable>,
    confirmed_ms: TimeMs,
    rosters: RosterHistory,
    rejected: Option<TableError>,
}

impl ActiveTable {
    /// Returns the active table; its version is zero until a version has been applied.
    #[must_use]
    pub const fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the active version as it was published.
    #[must_use]
    pub const fn published(&self) -> &Arc<PublishedTable> {
        &self.published
    }

    /// Returns the number of the active version; zero for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns the newest known time at which the active version was current, in milliseconds on
    /// the platform's clock.
    #[must_use]
    pub const fn confirmed_ms(&self) -> TimeMs {
        self.confirmed_ms
    }

    /// Returns the rosters, with the spans of key times for which this process may rely on them.
    #[must_use]
    pub const fn rosters(&self) -> &RosterHistory {
        &self.rosters
    }

    /// Returns the error of the last rejected version; applying a later version clears it.
    #[must_use]
    pub const fn rejected(&self) -> Option<&TableError> {
        self.rejected.as_ref()
    }

    /// Records that `version` was current at `as_of_ms` on the platform's clock.
    ///
    /// Does nothing unless `version` is the active one.
    pub fn confirm(&mut self, version: u64, as_of_ms: TimeMs) {
        if version != 0 && version == self.version() {
            self.confirmed_ms = self.confirmed_ms.max(as_of_ms);
            self.rosters.confirm(self.confirmed_ms);
        }
    }

    /// Applies a version if it is newer than the active one; returns whether it became active.
    ///
    /// Publishing the active version again confirms that it is still current.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is invalid; the active version then stays active.
    pub fn apply(&mut self, published: PublishedTable) -> Result<bool, TableError> {
        if published.version <= self.version() {
            self.confirm(published.version, published.as_of_ms);
            return Ok(false);
        }
        let table = match Table::parse(published.version, &published.pages) {
            Ok(table) => table,
            Err(problems) => {
                let error = TableError {
                    version: published.version,
                    active_version: self.version(),
                    problems,
                };
                self.rejected = Some(error.clone());
                return Err(error);
            }
        };
        self.rosters.apply(
            &table.roster,
            published.roster_published_ms,
            published.as_of_ms,
        );
        self.table = Arc::new(table);
        self.confirmed_ms = self.confirmed_ms.max(published.as_of_ms);
        self.published = Arc::new(published);
        self.rejected = None;
        Ok(true)
    }
}
