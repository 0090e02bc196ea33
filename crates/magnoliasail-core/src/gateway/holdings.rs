//! Which adapters an engine has loaded or cached, as tracked by its agent and known to entries.
//!
//! The agent's [`HoldingsTracker`] turns the list of loaded adapters into updates, which the agent
//! sends to its entries. An entry applies them to its own [`Holdings`] of the engine.

use {
    super::message::{AdapterUses, HoldingsUpdate},
    std::collections::HashMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Where an engine has an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Holding {
    /// In a slot, or being loaded into one.
    Resident,
    /// Only in the memory of the engine's host, from which it loads fast.
    Copied,
    /// Nowhere: a load would fetch it from the weight store.
    #[default]
    Absent,
}

/// Returns the key that identifies an adapter or base model in messages: the hash of its full name.
#[must_use]
pub fn adapter_key(adapter: &str) -> u64 {
    xxh3_64(adapter.as_bytes())
}

/// Adapters and base models of one engine, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    by_key: HashMap<u64, Holding>,
    /// Use counts of adapters that are used often.
    uses: HashMap<u64, u32>,
}

impl Holdings {
    /// Applies an update sent by the engine's agent.
    pub fn apply(&mut self, update: &HoldingsUpdate) {
        if update.is_whole {
            self.by_key.clear();
            self.uses.clear();
        }
        let changes = [
            (&update.resident, Some(Holding::Resident)),
            (&update.copied, Some(Holding::Copied)),
            (&update.absent, None),
        ];
        for (keys, holding) in changes {
            for &key in keys {
                match holding {
                    Some(holding) => self.by_key.insert(key, holding),
                    None => self.by_key.remove(&key),
                };
            }
        }
        for &AdapterUses { key, uses } in &update.uses {
            match uses {
                0 => self.uses.remove(&key),
                uses => self.uses.insert(key, uses),
            };
        }
    }

    /// Returns how often the adapter with this key was used recently at the engine; 0 if seldom.
    #[must_use]
    pub fn uses(&self, key: u64) -> u32 {
        self.uses.get(&key).copied().unwrap_or(0)
    }

    /// Returns where the engine has the adapter with this key.
    #[must_use]
    pub fn holding(&self, key: u64) -> Holding {
        self.by_key.get(&key).copied().unwrap_or_default()
    }
}

/// Tracks the holdings that an agent has sent to its entries, and derives updates from changes.
#[derive(Clone, Debug, Default)]
pub struct HoldingsTracker {
    sent: HashMap<u64, Holding>,
    sent_uses: HashMap<u64, u32>,
}

impl HoldingsTracker {
    /// Use counts below this are not reported: the adapter is rare wherever the threshold is.
    const MIN_REPORTED_USES: u32 = 4;

    /// Takes the adapters that are resident now, with their recent use counts, and those of which only
    /// the host has a copy; returns the changes since the last call, if any.
    pub fn update(
        &mut self,
        resident: &HashMap<u64, u32>,
        copied: impl Iterator<Item = u64>,
    ) -> Option<HoldingsUpdate> {
        let mut current: HashMap<u64, Holding> = copied.map(|key| (key, Holding::Copied)).collect();
        current.extend(resident.keys().map(|&key| (key, Holding::Resident)));
        let mut update = HoldingsUpdate::default();
        for (&key, &holding) in &current {
            if self.sent.get(&key) != Some(&holding) {
                match holding {
                    Holding::Resident => update.resident.push(key),
                    Holding::Copied | Holding::Absent => update.copied.push(key),
                }
            }
        }
        update
            .absent
            .extend(self.sent.keys().filter(|key| !current.contains_key(key)));
        self.sent = current;
        update.uses = self.changed_uses(resident);
        (update != HoldingsUpdate::default()).then_some(update)
    }

    /// Returns the use counts that have changed by more than a third since they were last sent.
    fn changed_uses(&mut self, resident: &HashMap<u64, u32>) -> Vec<AdapterUses> {
        let mut changed = Vec::new();
        for (&key, &uses) in resident {
            let sent = self.sent_uses.get(&key).copied().unwrap_or(0);
            let uses = if uses < Self::MIN_REPORTED_USES {
                0
            } else {
                uses
            };
            if uses.abs_diff(sent) * 3 > uses.max(sent) {
                changed.push(AdapterUses { key, uses });
            }
        }
        let unloaded = self
            .sent_uses
            .keys()
            .filter(|key| !resident.contains_key(key));
        changed.extend(unloaded.map(|&key| AdapterUses { key, uses: 0 }));
        for &AdapterUses { key, uses } in &changed {
            match uses {
                0 => self.sent_uses.remove(&key),
                uses => self.sent_uses.insert(key, uses),
            };
        }
        changed
    }

    /// Returns the complete holdings as sent so far, for an entry that has just connected.
    #[must_use]
    pub fn snapshot(&self) -> HoldingsUpdate {
        let keys = |wanted: Holding| {
            self.sent
                .iter()
                .filter(|&(_, &holding)| holding == wanted)
                .map(|(&key, _)| key)
                .collect()
        };
        HoldingsUpdate {
            is_whole: true,
            resident: keys(Holding::Resident),
            copied: keys(Holding::Copied),
            absent: Vec::new(),
            uses: self
                .sent_uses
                .iter()
                .map(|(&key, &uses)| AdapterUses { key, uses })
                .collect(),
        }
    }
}
