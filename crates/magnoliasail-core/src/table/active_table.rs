//! The table version in use: complete, valid and never replaced by an older one.

use {
    super::{Pages, Problems, Table},
    crate::{TimeMs, job::RosterHistory},
    snafu::Snafu,
    std::sync::Arc,
};

/// Why a version was not adopted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "version {version} is invalid and {active_version} stays in force; correct it and publish again: {problems}"
))]
pub struct TableError {
    /// The version that was offered.
    pub version: u64,
    /// The version that stays in force, zero for none.
    pub active_version: u64,
    /// What is wrong with it.
    pub problems: Problems,
}

/// A version of the table as the platform published it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PublishedTable {
    /// Version of the table.
    pub version: u64,
    /// Time on the platform's clock at which the version was current, in milliseconds.
    pub as_of_ms: TimeMs,
    /// Time on the platform's clock at which the roster page last changed, in milliseconds.
    pub roster_published_ms: TimeMs,
    /// All pages.
    pub pages: Pages,
}

/// The table in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ActiveTable {
    table: Arc<Table>,
    published: Arc<PublishedTable>,
    confirmed_ms: TimeMs,
    rosters: RosterHistory,
    rejected: Option<TableError>,
}

impl ActiveTable {
    /// Returns the table in force; its version is zero before the first adoption.
    #[must_use]
    pub const fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the version in force as it was published.
    #[must_use]
    pub const fn published(&self) -> &Arc<PublishedTable> {
        &self.published
    }

    /// Returns the version in force, zero for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns the newest platform time at which the version in force was current.
    #[must_use]
    pub const fn confirmed_ms(&self) -> TimeMs {
        self.confirmed_ms
    }

    /// Returns the rosters that this process can vouch for.
    #[must_use]
    pub const fn rosters(&self) -> &RosterHistory {
        &self.rosters
    }

    /// Returns the newest version that was rejected, until a later one is adopted.
    #[must_use]
    pub const fn rejected(&self) -> Option<&TableError> {
        self.rejected.as_ref()
    }

    /// Records that `version` was current at `as_of_ms` on the platform's clock.
    pub fn confirm(&mut self, version: u64, as_of_ms: TimeMs) {
        if version != 0 && version == self.version() {
            self.confirmed_ms = self.confirmed_ms.max(as_of_ms);
            self.rosters.confirm(self.confirmed_ms);
        }
    }

    /// Adopts a newer version; returns whether it came into force.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is invalid; the version in force then stays.
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
        self.rosters.adopt(
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
