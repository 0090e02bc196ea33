//! The platform's lagging list of VMs.

use {
    crate::TimeMs,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    strum::Display,
};

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// An entry of the system.
    Entry,
    /// A model engine with its agent.
    Model,
    /// A plain service with its agent.
    Service,
}

/// Whether the platform is about to take a VM away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM leaves soon and takes no new work.
    Leaving,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM, unique for its lifetime.
    pub vm: Arc<str>,
    /// What the VM runs.
    pub role: VmRole,
    /// Name of the plain service, empty for other roles.
    #[serde(default)]
    pub service: Arc<str>,
    /// Slot of the service that the VM fills, empty for other roles.
    #[serde(default)]
    pub slot: Arc<str>,
    /// Address on which the VM's agent accepts links, empty for entries.
    pub address: Arc<str>,
    /// Data centre that holds the VM.
    pub data_centre: Arc<str>,
    /// Whether the VM is leaving.
    pub state: VmState,
}

/// The list as the platform published it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Time on the platform's clock up to which the list is complete, in milliseconds.
    pub as_of_ms: TimeMs,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Returns the VM that holds `slot` of `service`, if exactly one does.
    ///
    /// Two holders at once are a fault of the platform; no one may then act as the holder.
    #[must_use]
    pub fn holder(&self, service: &str, slot: &str) -> Option<&VmEntry> {
        let mut holders = self
            .vms
            .iter()
            .filter(|vm| &*vm.service == service && &*vm.slot == slot);
        let first = holders.next()?;
        holders.next().is_none().then_some(first)
    }
}
