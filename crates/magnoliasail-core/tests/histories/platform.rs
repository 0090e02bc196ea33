//! A simulated platform, which publishes tables and VM lists; readers may see old versions.

use {
    magnoliasail_core::{
        VmEntry, VmList, VmRole, VmState,
        table::{Pages, PublishedTable},
    },
    std::fmt::Write,
};

pub(crate) const ADAPTERS: usize = 4;
pub(crate) const SERVICE: &str = "orders";
pub(crate) const KEY: &str = "caller-key";
pub(crate) const LEASE_MS: u64 = 2_000;
pub(crate) const OPAQUE_HORIZON_MS: u64 = 20_000;

/// The platform's current state and everything that it has published, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    /// Tables with the time of their publication, in milliseconds.
    tables: Vec<(PublishedTable, u64)>,
    lists: Vec<VmList>,
    vms: Vec<VmEntry>,
    /// Number of the current version of each adapter, 1 or 2.
    current_versions: [u32; ADAPTERS],
    slot_count: usize,
    roster_published_ms: u64,
    next_vm: usize,
}

impl Platform {
    /// Creates a platform with a first table and list, which name this many VMs of each role.
    ///
    /// The roster dates from long before `now_ms`, so that it already governs new keys.
    pub(crate) fn new(now_ms: u64, entries: usize, models: usize, services: usize) -> Self {
        let mut platform = Self {
            tables: Vec::new(),
            lists: Vec::new(),
            vms: Vec::new(),
            current_versions: [1; ADAPTERS],
            slot_count: services,
            roster_published_ms: now_ms - 10_000_000,
            next_vm: 0,
        };
        for index in 0..entries {
            let name = format!("entry-{index}");
            platform.vms.push(vm(&name, VmRole::Entry, ""));
        }
        for _ in 0..models {
            platform.add_vm(VmRole::Model, "");
        }
        for index in 0..services {
            platform.add_vm(VmRole::Service, &format!("slot-{index}"));
        }
        platform.publish_table(now_ms);
        platform.publish_list(now_ms);
        platform
    }

    fn add_vm(&mut self, role: VmRole, slot: &str) -> String {
        let name = format!("vm-{}", self.next_vm);
        self.next_vm += 1;
        self.vms.push(vm(&name, role, slot));
        name
    }

    pub(crate) fn servers(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.iter().filter(|vm| vm.role != VmRole::Entry)
    }

    /// Replaces a VM by a new one with the same role and slot, and returns the new VM.
    pub(crate) fn replace(&mut self, name: &str, now_ms: u64) -> Option<VmEntry> {
        let index = self.vms.iter().position(|vm| &*vm.vm == name)?;
        let old = self.vms.remove(index);
        let name = self.add_vm(old.role, &old.slot);
        self.publish_list(now_ms);
        self.vms.iter().find(|vm| *vm.vm == *name).cloned()
    }

    /// Marks a VM as leaving.
    pub(crate) fn mark_leaving(&mut self, name: &str, now_ms: u64) {
        for vm in &mut self.vms {
            if &*vm.vm == name {
                vm.state = VmState::Leaving;
            }
        }
        self.publish_list(now_ms);
    }

    pub(crate) fn publish_list(&mut self, now_ms: u64) {
        self.lists.push(VmList {
            as_of_ms: now_ms,
            vms: self.vms.clone(),
        });
    }

    /// Makes the other version of an adapter current and publishes the table.
    pub(crate) fn change_current_version(&mut self, adapter: usize, now_ms: u64) {
        let adapter = adapter % ADAPTERS;
        self.current_versions[adapter] = 3 - self.current_versions[adapter];
        self.publish_table(now_ms);
    }

    /// Adds a slot to the roster, publishes the table and returns the VM of the slot.
    pub(crate) fn add_slot(&mut self, now_ms: u64) -> Option<VmEntry> {
        let slot = format!("slot-{}", self.slot_count);
        self.slot_count += 1;
        let name = self.add_vm(VmRole::Service, &slot);
        self.roster_published_ms = now_ms;
        self.publish_table(now_ms);
        self.publish_list(now_ms);
        self.vms.iter().find(|vm| *vm.vm == *name).cloned()
    }

    fn publish_table(&mut self, now_ms: u64) {
        let version = self.tables.len() as u64 + 1;
        let table = PublishedTable {
            version,
            as_of_ms: now_ms,
            roster_published_ms: self.roster_published_ms,
            pages: self.pages(),
        };
        self.tables.push((table, now_ms));
    }

    fn pages(&self) -> Pages {
        let mut adapters = "adapter,version,digest,current\n".to_owned();
        for (index, current) in self.current_versions.iter().enumerate() {
            for version in 1..=2 {
                let is_current = if version == *current { "yes" } else { "no" };
                let _ = writeln!(
                    adapters,
                    "a{index},v{version},d{index}-{version},{is_current}"
                );
            }
        }
        let hash = magnoliasail_core::table::Table::key_hash_hex(KEY);
        let mut roster = "service,slot,lease_ms,opaque_horizon_ms\n".to_owned();
        for index in 0..self.slot_count {
            let _ = writeln!(
                roster,
                "{SERVICE},slot-{index},{LEASE_MS},{OPAQUE_HORIZON_MS}"
            );
        }
        let mut pages = Pages::default();
        pages.insert("adapters", adapters);
        pages.insert(
            "populations",
            format!(
                "population,key_sha256,share,priority,max_in_flight,rate_per_s\n\
                 callers,{hash},1,5,100000,100000\n"
            ),
        );
        pages.insert(
            "services",
            "service,method,path_prefix,repeatable\norders,POST,/,no\n",
        );
        pages.insert("roster", roster);
        pages
    }

    /// Returns the table as seen by a reader that lags `lag` versions behind.
    pub(crate) fn table(&self, lag: usize, now_ms: u64) -> PublishedTable {
        let index = self.tables.len().saturating_sub(1 + lag);
        let (table, _) = &self.tables[index];
        // The lagging version was current until just before the next one was published.
        let as_of_ms = self
            .tables
            .get(index + 1)
            .map_or(now_ms, |(_, published_ms)| published_ms - 1);
        PublishedTable {
            as_of_ms,
            ..table.clone()
        }
    }

    /// Returns the list as seen by a reader that lags `lag_ms` behind.
    pub(crate) fn list(&self, lag_ms: u64, now_ms: u64) -> VmList {
        let as_of_ms = now_ms.saturating_sub(lag_ms);
        let list = self
            .lists
            .iter()
            .rev()
            .find(|list| list.as_of_ms <= as_of_ms)
            .unwrap_or(&self.lists[0]);
        VmList {
            as_of_ms: as_of_ms.max(list.as_of_ms),
            ..list.clone()
        }
    }
}

fn vm(name: &str, role: VmRole, slot: &str) -> VmEntry {
    let service = if role == VmRole::Service { SERVICE } else { "" };
    VmEntry {
        vm: name.into(),
        role,
        service: service.into(),
        slot: slot.into(),
        address: name.into(),
        data_centre: "dc".into(),
        state: VmState::Live,
    }
}
