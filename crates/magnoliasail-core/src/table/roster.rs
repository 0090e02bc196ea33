//! The roster: the slots of plain services, among which job keys are divided.

use {crate::rendezvous, std::sync::Arc};

/// A slot of a plain service, as listed in the roster page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the slot.
    pub slot: Arc<str>,
    /// Duration of a lease: how long one reading of the platform's list authorises the slot's holder
    /// to run jobs, in milliseconds.
    pub lease_ms: u64,
    /// Time within which callers may resend a job whose key contains no timestamp, in milliseconds.
    pub opaque_horizon_ms: u64,
}

/// The slots of all services in one version of the roster page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The slots, in the order of the page.
    pub rows: Vec<RosterRow>,
}

impl Roster {
    /// Returns the owner slot of a key: the only slot of the service that may run the key's job.
    ///
    /// It is chosen by rendezvous hashing, so that all processes agree on it. Returns `None` if the
    /// service has no slots.
    #[must_use]
    pub fn owner_slot(&self, service: &str, key: &str) -> Option<&RosterRow> {
        self.rows
            .iter()
            .filter(|row| &*row.service == service)
            .max_by_key(|row| (rendezvous::score(key, &row.slot), Arc::clone(&row.slot)))
    }

    /// Returns the row of a slot, if the roster lists it.
    #[must_use]
    pub fn row(&self, service: &str, slot: &str) -> Option<&RosterRow> {
        self.rows
            .iter()
            .find(|row| &*row.service == service && &*row.slot == slot)
    }
}
