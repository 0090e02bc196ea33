//! How soon an engine can run a request for an adapter, as far as the adapter is concerned.

use super::{EngineScheduler, SlotState};

/// Where an adapter is, seen from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterReadiness {
    /// It is in a slot, or none is needed.
    Resident,
    /// It is being loaded into a slot.
    Loading,
    /// The engine's host has a copy.
    Copied,
    /// It has to be fetched from the weight store.
    Absent,
}

impl EngineScheduler {
    /// Returns where the adapter of a request is.
    #[must_use]
    pub fn adapter_readiness(&self, adapter: Option<&str>) -> AdapterReadiness {
        let Some(adapter) = adapter else {
            return AdapterReadiness::Resident;
        };
        match self.adapters.state(adapter) {
            Some(SlotState::Resident) => AdapterReadiness::Resident,
            Some(SlotState::Loading) => AdapterReadiness::Loading,
            Some(SlotState::Unloading { .. }) | None if self.is_copied(adapter) => {
                AdapterReadiness::Copied
            }
            Some(SlotState::Unloading { .. }) | None => AdapterReadiness::Absent,
        }
    }
}
