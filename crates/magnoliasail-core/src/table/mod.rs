//! The operators' table: a set of CSV pages that is validated and applied as a unit.
//!
//! The pages list adapters, caller populations, calls and slots of plain services, and the weights
//! of the deployment. A version with any problem is rejected as a whole.
//!
//! ```
//! use magnoliasail_core::table::{Pages, Table};
//!
//! let mut pages = Pages::default();
//! pages.insert("adapters", "adapter,version,digest,current\nbreeds,v1,d1,yes\n");
//! pages.insert("populations", "population,key_sha256,share,priority,max_in_flight,rate_per_s\n");
//! let table = Table::parse(1, &pages).unwrap();
//! assert_eq!(table.resolve("breeds").unwrap().model(), "breeds@v1");
//! ```

mod active_table;
mod adapter_row;
mod deployment;
mod pages;
mod parse;
mod population_row;
mod problem;
mod roster;
mod service_row;
mod transfer;

pub use self::{
    active_table::{ActiveTable, PublishedTable, TableError},
    adapter_row::AdapterRow,
    deployment::Deployment,
    pages::Pages,
    population_row::PopulationRow,
    problem::{Problem, Problems},
    roster::{Roster, RosterRow},
    service_row::ServiceRow,
};

use {
    crate::AdapterRef,
    sha2::{Digest, Sha256},
    std::{collections::HashMap, sync::Arc},
};

/// One version of the operators' table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version number, assigned by the platform.
    pub version: u64,
    /// Versions of adapters, from the `adapters` page.
    pub adapters: Vec<AdapterRow>,
    /// Caller populations, from the `populations` page.
    pub populations: Vec<PopulationRow>,
    /// Calls of plain services, from the `services` page.
    pub services: Vec<ServiceRow>,
    /// Slots of plain services, from the `roster` page.
    pub roster: Roster,
    /// Weights and limits of the deployment, from the `deployment` page.
    pub deployment: Deployment,
    by_model: HashMap<Arc<str>, usize>,
    by_key: HashMap<[u8; 32], usize>,
}

impl Table {
    /// Parses and validates all pages.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its page, row, column and remedy.
    pub fn parse(version: u64, pages: &Pages) -> Result<Self, Problems> {
        parse::parse(version, pages)
    }

    /// Resolves a model name, `adapter` or `adapter@version`, to a version of an adapter.
    ///
    /// A name without a version means the current one. Returns `None` if the table has no such
    /// model or has it disabled.
    #[must_use]
    pub fn resolve(&self, model: &str) -> Option<AdapterRef> {
        let row = &self.adapters[*self.by_model.get(model)?];
        row.enabled.then(|| row.adapter.clone())
    }

    /// Returns the SHA-256 hash of a bearer key; the table holds only hashes of keys.
    #[must_use]
    pub fn key_hash(key: &str) -> [u8; 32] {
        Sha256::digest(key.as_bytes()).into()
    }

    /// Returns the SHA-256 hash of a bearer key in hexadecimal digits, as in the populations page.
    #[must_use]
    pub fn key_hash_hex(key: &str) -> String {
        Self::key_hash(key)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Returns the index in `populations` of the population to which a bearer key belongs.
    ///
    /// Both the current key and the next key of a population are accepted.
    #[must_use]
    pub fn population(&self, key: &str) -> Option<usize> {
        self.by_key.get(&Self::key_hash(key)).copied()
    }

    /// Returns the row for a call of a service; the longest matching path prefix wins.
    #[must_use]
    pub fn service(&self, service: &str, method: &str, path: &str) -> Option<&ServiceRow> {
        self.services
            .iter()
            .filter(|row| row.matches(service, method, path))
            .max_by_key(|row| row.path_prefix.len())
    }

    fn build_indexes(&mut self) {
        for (index, row) in self.adapters.iter().enumerate() {
            self.by_model.insert(row.adapter.model().into(), index);
            if row.is_current {
                self.by_model.insert(Arc::clone(&row.adapter.name), index);
            }
        }
        for (index, row) in self.populations.iter().enumerate() {
            self.by_key.insert(row.key_sha256, index);
            if let Some(hash) = row.next_key_sha256 {
                self.by_key.insert(hash, index);
            }
        }
    }
}
