//! The client accounts of the active configuration, by their keys.

use {
    super::{Account, ApiKey},
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
    },
    strum::{Display, IntoStaticStr},
};

/// The key that a request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request carries no key.
    Absent,
    /// The request carries more than one key, or one that is empty or not ASCII text.
    Unreadable,
    /// The request carries this key.
    Key(ApiKey),
}

/// Why a request belongs to no client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// The request carries something that cannot be a key.
    Unreadable,
    /// No account has the key.
    Unknown,
}

/// The client accounts of a configuration, by their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    /// The owner of each key; `None` if several accounts claim the key.
    by_key: HashMap<ApiKey, Option<Arc<Account>>>,
    account_count: usize,
}

impl AccountTable {
    /// Indexes accounts by their keys.
    ///
    /// A key that several accounts claim belongs to none of them, since nothing tells which of them a
    /// request would be charged to.
    #[must_use]
    pub fn new(accounts: Vec<Account>) -> Self {
        let account_count = accounts.len();
        let mut by_key = HashMap::new();
        for account in accounts {
            let account = Arc::new(account);
            for key in &account.keys {
                claim_key(&mut by_key, key, &account);
            }
        }
        Self {
            by_key,
            account_count,
        }
    }

    /// Returns whether the configuration has no accounts, so that requests need no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.account_count == 0
    }

    /// Returns the number of keys that several accounts claim.
    #[must_use]
    pub fn contested_keys(&self) -> usize {
        self.by_key.values().filter(|owner| owner.is_none()).count()
    }

    /// Returns the account that a key belongs to.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no readable key, or if it belongs to no account.
    pub fn authenticate(&self, key: &PresentedKey) -> Result<Arc<Account>, KeyError> {
        let key = match key {
            PresentedKey::Absent => return Err(KeyError::Missing),
            PresentedKey::Unreadable => return Err(KeyError::Unreadable),
            PresentedKey::Key(key) => key,
        };
        let owner = self.by_key.get(key).and_then(Option::as_ref);
        owner.map(Arc::clone).ok_or(KeyError::Unknown)
    }
}

/// Records that an account has a key, or that the key is contested if another account has it too.
fn claim_key(
    by_key: &mut HashMap<ApiKey, Option<Arc<Account>>>,
    key: &ApiKey,
    account: &Arc<Account>,
) {
    match by_key.entry(key.clone()) {
        Entry::Vacant(entry) => {
            entry.insert(Some(Arc::clone(account)));
        }
        Entry::Occupied(mut entry) => {
            let is_same = entry
                .get()
                .as_ref()
                .is_some_and(|owner| owner.name == account.name);
            if !is_same {
                entry.insert(None);
            }
        }
    }
}
