//! Which client account an engine serves next while more requests wait than it can start.
//!
//! Start-time fair queueing: an engine keeps, for each account, the virtual time up to which the account has
//! been served, which advances by the cost of each request that starts. The account that is furthest behind
//! comes next. An account that asks for less than its share gets all of it; the others divide the rest
//! equally, whatever they ask for. An account without requests saves nothing for later.

use std::{collections::HashMap, sync::Arc};

/// Accounts of which the position is remembered; those behind the virtual time need not be.
const CAPACITY: usize = 4_096;

/// The virtual times of the accounts at one engine, in cost units.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    /// The start of the request that started last.
    now_units: u64,
    /// The end of the last request of each account.
    served_units: HashMap<Arc<str>, u64>,
}

impl AccountShares {
    /// Returns the virtual time at which the next request of an account would start. Requests without an
    /// account all have the same.
    pub(super) fn start_units(&self, account: Option<&Arc<str>>) -> u64 {
        let served_units = account.and_then(|account| self.served_units.get(account));
        served_units.map_or(self.now_units, |&served_units| {
            served_units.max(self.now_units)
        })
    }

    /// Returns whether an account has had no more than its share.
    pub(super) fn is_behind(&self, account: Option<&Arc<str>>) -> bool {
        account.is_some() && self.start_units(account) <= self.now_units
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, account: Option<&Arc<str>>, cost_units: u64) {
        let Some(account) = account else {
            return;
        };
        let start_units = self.start_units(Some(account));
        self.now_units = start_units;
        if self.served_units.len() >= CAPACITY {
            let now_units = self.now_units;
            self.served_units
                .retain(|_, &mut served_units| served_units > now_units);
        }
        self.served_units
            .insert(Arc::clone(account), start_units.saturating_add(cost_units));
    }
}
