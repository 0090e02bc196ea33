//! Slots of plain services.

use {crate::rendezvous, std::sync::Arc};

/// A slot of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the slot.
    pub slot: Arc<str>,
    /// Time for which one reading of the platform's list authorises jobs, in milliseconds.
    pub lease_ms: u64,
    /// Time for which callers resend keys that carry no time, in milliseconds.
    pub opaque_horizon_ms: u64,
}

/// All slots of all services, as one version of the page lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The rows.
    pub rows: Vec<RosterRow>,
}

impl Roster {
    /// Returns the slot that is the home of a key.
    #[must_use]
    pub fn owner_slot(&self, service: &str, key: &str) -> Option<&RosterRow> {
        self.rows
            .iter()
            .filter(|row| &*row.service == service)
            .max_by_key(|row| (rendezvous::score(key, &row.slot), Arc::clone(&row.slot)))
    }

    /// Returns the row of a slot.
    #[must_use]
    pub fn row(&self, service: &str, slot: &str) -> Option<&RosterRow> {
        self.rows
            .iter()
            .find(|row| &*row.service == service && &*row.slot == slot)
    }
}
