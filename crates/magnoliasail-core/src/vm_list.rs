//! The list of VMs that the platform publishes, which may lag behind reality.

use {
    crate::TimeMs,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    strum::Display,
};

/// The role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmRole {
    /// An entry, which accepts callers' requests.
    Entry,
    /// A model engine and its agent.
    Model,
    /// A plain service and its agent.
    Service,
}

/// Whether the platform is about to remove a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be removed soon and takes no new work.
    Leaving,
}

/// One VM in the [`VmList`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM, unique during its lifetime.
    pub vm: Arc<str>,
    /// Role of the VM.
    pub role: VmRole,
    /// Name of the plain service; empty for other roles.
    #[serde(default)]
    pub service: Arc<str>,
    /// Name of the service slot that the VM holds; empty for other roles.
    #[serde(default)]
    pub slot: Arc<str>,
    /// Address on which the VM's agent accepts links; empty for entries.
    pub address: Arc<str>,
    /// Data centre in which the VM runs.
    pub data_centre: Arc<str>,
    /// Whether the VM is leaving.
    pub state: VmState,
}

/// A list of VMs as the platform published it.
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
    /// Two holders at the same time are a fault of the platform; neither may then act as the holder.
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
