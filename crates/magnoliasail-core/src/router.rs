//! Placement: which backend server a request for an adapter goes to.
//!
//! The trait [`Placement`] is the seam between the entry and its policy; [`Router`] is the policy.
//! It weighs waiting for a busy server that holds the adapter against loading another copy on one
//! of the servers that rank first for the adapter by rendezvous.
//!
//! ```
//! use magnoliasail_core::{AdapterRef, Router, RouterSettings, ServerView};
//!
//! let view = ServerView { capacity: 8, slots: 4, ..ServerView::default() };
//! assert!(view.expected_wait_ms(&RouterSettings::default()) < 1.0);
//! ```

use {
    crate::{AdapterRef, TimeMs, message::LoadReport, rendezvous, table::Deployment},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Constants of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Expected time for which a request occupies a server, in milliseconds.
    pub service_ms: f64,
    /// Expected time of one load at full speed, in milliseconds.
    pub load_ms: f64,
    /// Servers that may be given a new copy of an adapter, in the order of rendezvous.
    pub max_candidates: usize,
    /// Cost of each recent use of an adapter that a load evicts, in milliseconds.
    pub reload_cost_ms: f64,
    /// Cost of a request that runs alone against one in a full batch, in milliseconds.
    pub empty_batch_cost_ms: f64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            service_ms: 1_000.0,
            load_ms: 250.0,
            max_candidates: 8,
            reload_cost_ms: 250.0,
            empty_batch_cost_ms: 100.0,
        }
    }
}

/// What an entry knows of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerView {
    /// Requests that ran at the last report.
    pub running: u32,
    /// Requests that waited at the last report.
    pub queued: u32,
    /// Requests that the server runs at once.
    pub capacity: u32,
    /// Adapter slots.
    pub slots: u32,
    /// Slots that were pinned at the last report.
    pub pinned: u32,
    /// Loads that were under way at the last report.
    pub loading: u32,
    /// Recent uses of the adapter that the next load would evict, at the last report.
    pub victim_uses: f64,
    /// Loads that this entry has ordered there since the last report.
    pub loads_since_report: u32,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Requests that this entry has sent there since the last report.
    pub sent_since_report: u32,
    /// Time of the last report, in milliseconds.
    pub reported_ms: TimeMs,
    /// Whether the server takes new work.
    pub is_live: bool,
    /// Adapters that are resident or being loaded.
    pub residents: HashSet<AdapterRef>,
}

impl ServerView {
    /// Returns the requests that the server has, including those it has not reported yet.
    #[must_use]
    pub const fn occupied(&self) -> u32 {
        self.running + self.queued + self.sent_since_report
    }

    /// Returns the expected time until a new request could run, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self, settings: &RouterSettings) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        let excess = f64::from(self.occupied()) + 1.0 - capacity;
        (excess.max(0.0) / capacity) * settings.service_ms
    }

    /// Returns the share of the batch that is in use, from zero to one.
    #[must_use]
    pub fn fill(&self) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        (f64::from(self.occupied()) / capacity).min(1.0)
    }

    /// Adopts the load that came with a refusal, which says nothing of the slots' contents.
    pub fn apply_refusal(&mut self, report: &LoadReport, now_ms: TimeMs) {
        let (victim_uses, loads_since_report) = (self.victim_uses, self.loads_since_report);
        self.apply(report, now_ms);
        self.victim_uses = victim_uses;
        self.loads_since_report = loads_since_report;
    }

    /// Adopts a load report.
    pub fn apply(&mut self, report: &LoadReport, now_ms: TimeMs) {
        self.running = report.running;
        self.queued = report.queued;
        self.capacity = report.capacity;
        self.slots = report.slots;
        self.pinned = report.pinned;
        self.loading = report.loading;
        self.victim_uses = f64::from(report.victim_milli_uses) / 1_000.0;
        self.loads_since_report = 0;
        self.sent_since_report = 0;
        self.reported_ms = now_ms;
    }
}

/// The servers of an entry's slice, with an index from adapters to servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    views: BTreeMap<Arc<str>, ServerView>,
    holders: HashMap<AdapterRef, Vec<Arc<str>>>,
}

impl Servers {
    /// Returns a server.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&ServerView> {
        self.views.get(vm)
    }

    /// Returns a server, which is added if it is new.
    pub fn get_or_insert(&mut self, vm: &Arc<str>) -> &mut ServerView {
        self.views.entry(Arc::clone(vm)).or_default()
    }

    /// Returns all servers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &ServerView)> {
        self.views.iter()
    }

    /// Returns the servers that hold or load an adapter.
    #[must_use]
    pub fn holders(&self, adapter: &AdapterRef) -> &[Arc<str>] {
        self.holders.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Records that a server holds or loads an adapter.
    pub fn insert_resident(&mut self, vm: &Arc<str>, adapter: &AdapterRef) {
        if self.get_or_insert(vm).residents.insert(adapter.clone()) {
            let holders = self.holders.entry(adapter.clone()).or_default();
            holders.push(Arc::clone(vm));
        }
    }

    /// Records that a server no longer holds an adapter.
    pub fn remove_resident(&mut self, vm: &str, adapter: &AdapterRef) {
        if let Some(view) = self.views.get_mut(vm) {
            view.residents.remove(adapter);
        }
        if let Some(holders) = self.holders.get_mut(adapter) {
            holders.retain(|holder| &**holder != vm);
            if holders.is_empty() {
                self.holders.remove(adapter);
            }
        }
    }

    /// Records that a server holds nothing.
    pub fn clear_residents(&mut self, vm: &str) {
        let residents = self
            .views
            .get_mut(vm)
            .map(|view| std::mem::take(&mut view.residents))
            .unwrap_or_default();
        for adapter in &residents {
            self.remove_resident(vm, adapter);
        }
    }

    /// Forgets a server.
    pub fn remove(&mut self, vm: &str) {
        self.clear_residents(vm);
        self.views.remove(vm);
    }

    /// Adopts a load report of a server.
    pub fn apply(&mut self, vm: &Arc<str>, report: &LoadReport, now_ms: TimeMs) {
        if report.full || report.cold {
            self.clear_residents(vm);
        }
        self.get_or_insert(vm).apply(report, now_ms);
        for adapter in &report.evicted {
            self.remove_resident(vm, &adapter.into());
        }
        for adapter in &report.resident {
            self.insert_resident(vm, &adapter.into());
        }
    }
}

/// What a placement decides from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The servers of the slice.
    pub servers: &'a Servers,
    /// Servers that have refused this request.
    pub excluded: &'a [Arc<str>],
    /// Weights of the deployment.
    pub deployment: &'a Deployment,
    /// Time until this entry may order another load, in milliseconds.
    pub budget_wait_ms: u64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementChoice {
    /// The server holds the adapter or is loading it.
    Resident(Arc<str>),
    /// The server has to load the adapter.
    Load(Arc<str>),
}

/// A placement policy.
pub trait Placement {
    /// Chooses a server for a request, or nothing if no server can take it.
    fn choose(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice>;
}

/// The placement policy of the product.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: RouterSettings,
}

impl Router {
    /// Creates a router.
    #[must_use]
    pub const fn new(settings: RouterSettings) -> Self {
        Self { settings }
    }

    /// Returns the servers that may be given a new copy, best first.
    fn candidates(
        &self,
        adapter: &AdapterRef,
        context: &PlacementContext<'_>,
    ) -> Vec<(Arc<str>, f64)> {
        let model = adapter.model();
        let mut ranked: Vec<(u64, &Arc<str>, &ServerView)> = context
            .servers
            .iter()
            .filter(|(vm, view)| is_usable(vm, view, context) && view.pinned < view.slots)
            .map(|(vm, view)| (rendezvous::score(&model, vm), vm, view))
            .collect();
        let max_candidates = self.settings.max_candidates.min(ranked.len());
        if max_candidates > 0 && max_candidates < ranked.len() {
            ranked.select_nth_unstable_by(max_candidates - 1, |a, b| b.0.cmp(&a.0));
        }
        ranked.truncate(max_candidates);
        ranked
            .into_iter()
            .map(|(_, vm, view)| (Arc::clone(vm), self.load_cost_ms(view, context.deployment)))
            .collect()
    }

    /// Returns what a request on a server costs: the wait there and a batch that is not full.
    fn run_cost_ms(&self, view: &ServerView, deployment: &Deployment) -> f64 {
        let emptiness_ms = (1.0 - view.fill()) * self.settings.empty_batch_cost_ms;
        view.expected_wait_ms(&self.settings) + deployment.batch_weight * emptiness_ms
    }

    /// Returns what a load on a server costs besides: the reloads that its eviction brings about.
    fn load_cost_ms(&self, view: &ServerView, deployment: &Deployment) -> f64 {
        let victims = view.victim_uses + f64::from(view.loads_since_report);
        let reloads_ms = victims * self.settings.reload_cost_ms;
        self.run_cost_ms(view, deployment) + deployment.stall_weight * reloads_ms
    }
}

fn is_usable(vm: &Arc<str>, view: &ServerView, context: &PlacementContext<'_>) -> bool {
    view.is_live && view.slots > 0 && !context.excluded.contains(vm)
}

fn least<I>(options: I) -> Option<(Arc<str>, f64)>
where
    I: IntoIterator<Item = (Arc<str>, f64)>,
{
    options.into_iter().min_by(|a, b| a.1.total_cmp(&b.1))
}

impl Placement for Router {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        let settings = &self.settings;
        let deployment = context.deployment;
        let holders = context.servers.holders(adapter).iter();
        let usable = holders
            .filter_map(|vm| Some((vm, context.servers.get(vm)?)))
            .filter(|(vm, view)| is_usable(vm, view, &context));
        let resident = usable.min_by(|(_, a), (_, b)| {
            let a = self.run_cost_ms(a, deployment);
            a.total_cmp(&self.run_cost_ms(b, deployment))
        });
        let resident = resident.map(|(vm, view)| (Arc::clone(vm), view.expected_wait_ms(settings)));
        if let Some((vm, wait_ms)) = &resident
            && *wait_ms <= settings.load_ms
        {
            return Some(PlacementChoice::Resident(Arc::clone(vm)));
        }
        let load = least(self.candidates(adapter, &context));
        match (resident, load) {
            (Some((vm, wait_ms)), Some((other, other_wait_ms))) => {
                let load_cost_ms =
                    other_wait_ms + self.settings.load_ms + context.budget_wait_ms as f64;
                if wait_ms <= load_cost_ms {
                    Some(PlacementChoice::Resident(vm))
                } else {
                    Some(PlacementChoice::Load(other))
                }
            }
            (Some((vm, _)), None) => Some(PlacementChoice::Resident(vm)),
            (None, Some((vm, _))) => Some(PlacementChoice::Load(vm)),
            (None, None) => None,
        }
    }
}
