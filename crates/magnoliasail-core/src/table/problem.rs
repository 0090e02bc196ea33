//! Problems found in a table, each with a message that tells an operator how to correct it.

use {
    snafu::Snafu,
    std::fmt::{self, Display, Formatter},
};

/// A problem in a cell, a row or a page of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the page.
    pub page: String,
    /// Line of the page, starting at one; zero if the problem concerns the whole page.
    pub row: u64,
    /// Name of the column; empty if the problem concerns the whole row.
    pub column: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.csv", self.page)?;
        if self.row > 0 {
            write!(f, ", row {}", self.row)?;
        }
        if !self.column.is_empty() {
            write!(f, ", column {}", self.column)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// The error of a table with at least one problem.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the table has {} problem(s); first: {}", problems.len(), problems[0]))]
pub struct Problems {
    /// All problems found; never empty.
    pub problems: Vec<Problem>,
}
