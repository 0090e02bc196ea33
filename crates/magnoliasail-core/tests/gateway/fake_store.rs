//! A model of the platform's store that can be restored from older copies.

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
    magnoliasail_core::gateway::StoreRead,
    std::collections::BTreeMap,
};

const SEEDS: u64 = 300;
/// Bytes of random input per seed.
const INPUT_BYTES: u64 = 1_024;

pub(crate) fn for_each_seed<P>(mut property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in 1..=SEEDS {
        arbtest(&mut property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

/// A write in the history of [`FakeStore`].
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    /// Unique number of the write, or `None` for a removal.
    pub(crate) content: Option<u64>,
    /// The era in which it was written.
    pub(crate) era: u64,
    pub(crate) revision: u64,
}

/// A store whose history is a list of writes. A rollback drops the newest ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) era: u64,
    pub(crate) writes: Vec<Write>,
    /// Watches from a revision before this one are refused.
    pub(crate) compacted_revision: u64,
    content_count: u64,
}

/// A response of [`FakeStore`].
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) era: u64,
    /// The writes, or `None` if the history for a watch is gone.
    pub(crate) writes: Option<Vec<Write>>,
    pub(crate) revision: u64,
    pub(crate) has_more: bool,
}

impl FakeStore {
    pub(crate) fn revision(&self) -> u64 {
        self.writes.last().map_or(1, |write| write.revision)
    }

    /// Writes or removes a key, and returns the number of the write.
    pub(crate) fn write(&mut self, key: u8, is_removal: bool) -> u64 {
        self.content_count += 1;
        self.writes.push(Write {
            key: format!("key-{key}"),
            era: self.era,
            content: (!is_removal).then_some(self.content_count),
            revision: self.revision() + 1,
        });
        self.content_count
    }

    /// Returns to the state before the newest `lost` writes.
    pub(crate) fn roll_back(&mut self, lost: usize) {
        self.writes.truncate(self.writes.len().saturating_sub(lost));
        self.compacted_revision = self.compacted_revision.min(self.revision());
        self.era += 1;
    }

    fn items(&self) -> BTreeMap<&str, &Write> {
        let mut items = BTreeMap::new();
        for write in &self.writes {
            items.insert(write.key.as_str(), write);
        }
        items.retain(|_, write| write.content.is_some());
        items
    }

    pub(crate) fn contents(&self) -> BTreeMap<String, u64> {
        let content = |(key, write): (&str, &Write)| Some((key.to_owned(), write.content?));
        self.items().into_iter().filter_map(content).collect()
    }

    pub(crate) fn answer(&self, read: &StoreRead) -> Answer {
        const PAGE_ITEMS: usize = 2;
        let (writes, has_more) = match read {
            StoreRead::List { after } => {
                let mut writes: Vec<Write> = self
                    .items()
                    .into_iter()
                    .filter(|(key, _)| after.as_deref().is_none_or(|after| *key > after))
                    .map(|(_, write)| write.clone())
                    .collect();
                let has_more = writes.len() > PAGE_ITEMS;
                writes.truncate(PAGE_ITEMS);
                (Some(writes), has_more)
            }
            StoreRead::Watch { revision } => {
                let has_history = (self.compacted_revision..=self.revision()).contains(revision);
                let changes = self
                    .writes
                    .iter()
                    .filter(|write| write.revision > *revision)
                    .cloned()
                    .collect();
                (has_history.then_some(changes), false)
            }
        };
        Answer {
            era: self.era,
            writes,
            revision: self.revision(),
            has_more,
        }
    }
}
