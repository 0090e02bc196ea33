//! What an engine holds, as an entry knows it from the engine's agent.

use {
    super::message::HoldingsUpdate,
    std::collections::{HashMap, HashSet, VecDeque},
    xxhash_rust::xxh3::xxh3_64,
};

/// How an engine holds an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Holding {
    /// In a slot, or on its way into one.
    Resident,
    /// In the memory of the engine's host, from where it is loaded fast.
    Copied,
    /// Not at all: it would be fetched from the store.
    #[default]
    Absent,
}

/// Returns the key by which messages name an adapter.
#[must_use]
pub fn adapter_key(adapter: &str) -> u64 {
    xxh3_64(adapter.as_bytes())
}

/// What one engine holds.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    held: HashMap<u64, Holding>,
}

impl Holdings {
    /// Adopts news of the engine's agent.
    pub fn apply(&mut self, news: &HoldingsUpdate) {
        if news.is_whole {
            self.held.clear();
        }
        let told = [
            (&news.resident, Some(Holding::Resident)),
            (&news.copied, Some(Holding::Copied)),
            (&news.absent, None),
        ];
        for (keys, holding) in told {
            for &key in keys {
                match holding {
                    Some(holding) => self.held.insert(key, holding),
                    None => self.held.remove(&key),
                };
            }
        }
    }

    /// Returns how the engine holds an adapter.
    #[must_use]
    pub fn holding(&self, key: u64) -> Holding {
        self.held.get(&key).copied().unwrap_or_default()
    }
}

/// Adapters of which an engine's host is believed to keep a copy, as its agent has seen them go.
#[derive(Clone, Debug, Default)]
struct HostCopies {
    order: VecDeque<u64>,
}

impl HostCopies {
    /// Copies that a host keeps; a guess that is too high costs a slow load.
    const KEPT: usize = 80;

    /// Records that an adapter was in a slot until now.
    fn add(&mut self, key: u64) {
        self.order.retain(|&other| other != key);
        self.order.push_back(key);
        if self.order.len() > Self::KEPT {
            self.order.pop_front();
        }
    }

    /// Returns the copies.
    fn iter(&self) -> impl Iterator<Item = u64> {
        self.order.iter().copied()
    }
}

/// What an agent has told its entries, and what has changed since.
#[derive(Clone, Debug, Default)]
pub struct HoldingsTracker {
    copies: HostCopies,
    told: HashMap<u64, Holding>,
}

impl HoldingsTracker {
    /// Takes the adapters that are resident now and returns what is new since the last time.
    pub fn update(&mut self, resident: &HashSet<u64>) -> Option<HoldingsUpdate> {
        for (&key, &holding) in &self.told {
            if holding == Holding::Resident && !resident.contains(&key) {
                self.copies.add(key);
            }
        }
        let mut now: HashMap<u64, Holding> = self
            .copies
            .iter()
            .map(|key| (key, Holding::Copied))
            .collect();
        now.extend(resident.iter().map(|&key| (key, Holding::Resident)));
        let mut news = HoldingsUpdate::default();
        for (&key, &holding) in &now {
            if self.told.get(&key) != Some(&holding) {
                match holding {
                    Holding::Resident => news.resident.push(key),
                    Holding::Copied | Holding::Absent => news.copied.push(key),
                }
            }
        }
        news.absent
            .extend(self.told.keys().filter(|key| !now.contains_key(key)));
        self.told = now;
        let is_news =
            !(news.resident.is_empty() && news.copied.is_empty() && news.absent.is_empty());
        is_news.then_some(news)
    }

    /// Forgets the copies: the engine started anew, and its host keeps none.
    pub fn discard_copies(&mut self) {
        self.copies = HostCopies::default();
        for holding in self.told.values_mut() {
            *holding = Holding::Copied;
        }
    }

    /// Returns all that was told, for an entry that is new.
    #[must_use]
    pub fn snapshot(&self) -> HoldingsUpdate {
        let of = |wanted: Holding| {
            self.told
                .iter()
                .filter(|&(_, &holding)| holding == wanted)
                .map(|(&key, _)| key)
                .collect()
        };
        HoldingsUpdate {
            is_whole: true,
            resident: of(Holding::Resident),
            copied: of(Holding::Copied),
            absent: Vec::new(),
        }
    }
}
