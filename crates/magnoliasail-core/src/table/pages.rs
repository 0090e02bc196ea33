//! The CSV pages of one version of the table, as text.

use {
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// The CSV pages of a table, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pages {
    pages: BTreeMap<Arc<str>, Arc<str>>,
}

impl Pages {
    /// Kinds of pages that a table may have.
    ///
    /// A kind may be split into several pages, named `kind-1`, `kind-2` and so on.
    pub const KINDS: [&'static str; 5] = [
        "adapters",
        "populations",
        "services",
        "roster",
        "deployment",
    ];

    /// Adds or replaces a page.
    pub fn insert(&mut self, name: impl Into<Arc<str>>, csv: impl Into<Arc<str>>) {
        self.pages.insert(name.into(), csv.into());
    }

    /// Returns the text of a page.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.pages.get(name).map(AsRef::as_ref)
    }

    /// Returns the text of a page as a shared reference, without copying it.
    #[must_use]
    pub fn get_shared(&self, name: &str) -> Option<Arc<str>> {
        self.pages.get(name).map(Arc::clone)
    }

    /// Returns the kind of a page: its name without a numeric suffix such as `-2`.
    #[must_use]
    pub fn kind(name: &str) -> &str {
        match name.rsplit_once('-') {
            Some((kind, part)) if part.bytes().all(|byte| byte.is_ascii_digit()) => kind,
            _ => name,
        }
    }

    /// Returns the names and texts of the pages of one kind, in the order of their names.
    pub fn of_kind(&self, kind: &str) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.pages
            .iter()
            .filter(move |(name, _)| Self::kind(name) == kind)
    }

    /// Returns the hash of a page's text, by which processes recognise pages that they already have.
    #[must_use]
    pub fn digest(csv: &str) -> u64 {
        xxh3_64(csv.as_bytes())
    }

    /// Returns the names and texts of all pages, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.pages.iter()
    }

    /// Returns whether there are no pages.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    /// Returns the total size of all pages, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.pages.values().map(|csv| csv.len()).sum()
    }
}
