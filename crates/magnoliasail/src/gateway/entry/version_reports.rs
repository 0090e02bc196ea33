//! Tells agents which software versions the entry has listed, and learns it from them.
//!
//! An entry that has just started does not know which versions left before. The agents do.

use {
    super::state::EntryState,
    magnoliasail_core::gateway::{
        Directory,
        message::{ServiceVersions, ToAgentKind},
    },
    std::{net::IpAddr, sync::Arc},
};

impl EntryState {
    /// Records the software version of a server that is listed; a new one is reported to all agents.
    pub(super) fn record_version(&self, service: &Arc<str>, version: Option<&Arc<str>>) {
        let now_ms = self.clock.now_ms();
        let is_new = self.versions.borrow_mut().record(service, version, now_ms);
        if is_new {
            self.report_versions();
        }
    }

    /// Records and reports the versions of all listed servers again at intervals, because a version that is
    /// not recorded for a while is dropped.
    pub(super) fn refresh_versions(&self, directory: &Directory) {
        let now_ms = self.clock.now_ms();
        let is_current = self.store_freshness.get().is_current(now_ms);
        if !is_current || !self.versions.borrow_mut().start_refresh(now_ms) {
            return;
        }
        for server in directory.all() {
            let entry = &server.entry;
            self.versions.borrow_mut().record(
                &entry.service,
                entry.software_version.as_ref(),
                now_ms,
            );
        }
        self.report_versions();
    }

    /// Adds what an agent knows of the versions of a service.
    pub(super) fn add_versions(&self, versions: &ServiceVersions) {
        let now_ms = self.clock.now_ms();
        self.versions.borrow_mut().add(versions, now_ms);
    }

    /// Tells the agent on a VM what this entry knows of the versions of services.
    pub(super) fn send_versions(&self, vm: IpAddr) {
        let now_ms = self.clock.now_ms();
        let is_current = self.store_freshness.get().is_current(now_ms);
        let known = self.versions.borrow().snapshot(now_ms);
        for versions in known {
            // An entry that does not read the store knows these versions, but not whether there are others.
            let known_for_ms = if is_current { versions.known_for_ms } else { 0 };
            let versions = ServiceVersions {
                known_for_ms,
                ..versions
            };
            // If it is not taken, the next report brings it.
            let _ = self.send_to_agent(vm, ToAgentKind::Versions(versions));
        }
    }

    /// Tells all agents what this entry knows of the versions of services.
    pub(super) fn report_versions(&self) {
        let vms: Vec<IpAddr> = self.links.borrow().keys().copied().collect();
        for vm in vms {
            self.send_versions(vm);
        }
    }
}
