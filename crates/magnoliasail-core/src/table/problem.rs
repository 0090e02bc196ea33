//! What is wrong with a table, in words an operator can act on.

use {
    snafu::Snafu,
    std::fmt::{self, Display, Formatter},
};

/// One problem of one cell, row or page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the page.
    pub page: String,
    /// Line of the page, from one; zero for the page as a whole.
    pub row: u64,
    /// Name of the column, empty for the row as a whole.
    pub column: String,
    /// What is wrong and what to do.
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

/// All problems of a table.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the table has {} problem(s); first: {}", problems.len(), problems[0]))]
pub struct Problems {
    /// The problems, at least one.
    pub problems: Vec<Problem>,
}
