//! What the platform publishes: tables and lists, of which readers may see old versions.

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

/// The platform's publications, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    tables: Vec<(PublishedTable, u64)>,
    lists: Vec<VmList>,
    vms: Vec<VmEntry>,
    current: [u32; ADAPTERS],
    slots: usize,
    roster_published_ms: u64,
    next_vm: usize,
}

impl Platform {
    /// Publishes a first table long before `now_ms`, and a list of `models` and `services`.
    pub(crate) fn new(now_ms: u64, entries: usize, models: usize, services: usize) -> Self {
        let mut platform = Self {
            tables: Vec::new(),
            lists: Vec::new(),
            vms: Vec::new(),
            current: [1; ADAPTERS],
            slots: services,
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

    /// Puts a new VM in the place of another and returns its name.
    pub(crate) fn replace(&mut self, name: &str, now_ms: u64) -> Option<VmEntry> {
        let index = self.vms.iter().position(|vm| &*vm.vm == name)?;
        let old = self.vms.remove(index);
        let name = self.add_vm(old.role, &old.slot);
        self.publish_list(now_ms);
        self.vms.iter().find(|vm| *vm.vm == *name).cloned()
    }

    /// Marks a VM as leaving.
    pub(crate) fn leave(&mut self, name: &str, now_ms: u64) {
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

    /// Makes another version of an adapter current and publishes the table.
    pub(crate) fn change_current(&mut self, adapter: usize, now_ms: u64) {
        let adapter = adapter % ADAPTERS;
        self.current[adapter] = 3 - self.current[adapter];
        self.publish_table(now_ms);
    }

    /// Adds a slot to the roster and publishes the table; returns its VM.
    pub(crate) fn add_slot(&mut self, now_ms: u64) -> Option<VmEntry> {
        let slot = format!("slot-{}", self.slots);
        self.slots += 1;
        let name = self.add_vm(VmRole::Service, &slot);
        self.roster_published_ms = now_ms;
        self.publish_table(now_ms);
        self.publish_list(now_ms);
        self.vms.iter().find(|vm| *vm.vm == *name).cloned()
    }

    fn publish_table(&mut self, now_ms: u64) {
        let version = self.tables.len() as u64 + 1;
        let offer = PublishedTable {
            version,
            as_of_ms: now_ms,
            roster_published_ms: self.roster_published_ms,
            pages: self.pages(),
        };
        self.tables.push((offer, now_ms));
    }

    fn pages(&self) -> Pages {
        let mut adapters = "adapter,version,digest,current\n".to_owned();
        for (index, current) in self.current.iter().enumerate() {
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
        for index in 0..self.slots {
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

    /// Returns the table as a reader sees it that lags by `lag` versions.
    pub(crate) fn table(&self, lag: usize, now_ms: u64) -> PublishedTable {
        let index = self.tables.len().saturating_sub(1 + lag);
        let (offer, _) = &self.tables[index];
        // A replica that lags was current until the version after it was published.
        let as_of_ms = self
            .tables
            .get(index + 1)
            .map_or(now_ms, |(_, published_ms)| published_ms - 1);
        PublishedTable {
            as_of_ms,
            ..offer.clone()
        }
    }

    /// Returns the list as a reader sees it that lags by `lag_ms`.
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
