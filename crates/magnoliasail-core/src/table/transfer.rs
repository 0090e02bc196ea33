//! Transfer of a table version between processes; pages that the receiver already has are omitted.

use {
    super::{Pages, PublishedTable},
    crate::message::{TablePage, TablePages},
    std::sync::Arc,
};

impl PublishedTable {
    /// Rebuilds a version from a message and the pages that the receiver already has.
    ///
    /// Returns `None` if a page is missing or is not valid UTF-8; the receiver then has to request
    /// the complete version.
    #[must_use]
    pub fn from_message(message: &TablePages, known: &Pages) -> Option<Self> {
        let mut pages = Pages::default();
        for page in &message.pages {
            let csv: Arc<str> = match &page.csv {
                Some(csv) => std::str::from_utf8(csv).ok()?.into(),
                None => known
                    .get_shared(&page.name)
                    .filter(|csv| Pages::digest(csv) == page.digest)?,
            };
            pages.insert(page.name.as_str(), csv);
        }
        Some(Self {
            version: message.version,
            as_of_ms: message.as_of_ms,
            roster_published_ms: message.roster_published_ms,
            pages,
        })
    }

    /// Returns the message that transfers this version to a receiver that has the pages `known`.
    #[must_use]
    pub fn to_message(&self, as_of_ms: u64, known: &Pages) -> TablePages {
        let page = |(name, csv): (&Arc<str>, &Arc<str>)| {
            let is_known = known.get(name) == Some(&**csv);
            TablePage {
                name: name.to_string(),
                digest: Pages::digest(csv),
                csv: (!is_known).then(|| csv.as_bytes().to_vec().into()),
            }
        };
        TablePages {
            version: self.version,
            as_of_ms,
            roster_published_ms: self.roster_published_ms,
            pages: self.pages.iter().map(page).collect(),
        }
    }
}
