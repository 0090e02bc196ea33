//! How a write in the platform's store relates to what was read before.

/// Relation of a write to what was read from the store before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The write is newer than what is known of its key.
    Written,
    /// The store was restored from a copy that may contain the write, so that the write may be older
    /// than what is known of its key.
    Restored,
}
