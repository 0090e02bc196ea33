//! Rendezvous hashing: all processes rank servers for a key identically without communicating.
//!
//! ```
//! use magnoliasail_core::{rank, score};
//!
//! let servers = ["a", "b", "c"];
//! assert_eq!(rank("k", &servers), rank("k", &servers));
//! assert_eq!(score("k", "a"), score("k", "a"));
//! ```

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A type with a stable name, by which rendezvous hashing ranks it.
pub trait Named {
    /// Returns the name to hash.
    fn name(&self) -> &str;
}

impl Named for &str {
    fn name(&self) -> &str {
        self
    }
}

impl Named for std::sync::Arc<str> {
    fn name(&self) -> &str {
        self
    }
}

/// Returns the score of `server` for `key`; the server with the highest score ranks first.
#[must_use]
pub fn score(key: &str, server: &str) -> u64 {
    xxh3_64_with_seed(server.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns the indices of `servers`, ordered from the highest score for `key` to the lowest.
#[must_use]
pub fn rank<N: Named>(key: &str, servers: &[N]) -> Vec<usize> {
    let seed = xxh3_64(key.as_bytes());
    let mut order: Vec<(u64, usize)> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| (xxh3_64_with_seed(server.name().as_bytes(), seed), index))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, index)| index).collect()
}
