//! The position of a write in the history of the platform's store.

/// Position of a write in the store's history.
///
/// Positions are ordered by era first: a revision of an earlier era may have been given out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// The era, which rises each time the store is restored from a copy; `None` if the store does
    /// not number its eras.
    pub era: Option<u64>,
    /// The revision of the write.
    pub revision: u64,
}
