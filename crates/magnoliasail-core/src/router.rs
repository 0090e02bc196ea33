//! Placement: the choice of a backend server for a request.
//!
//! [`Placement`] is the interface between an entry and its placement policy; [`Router`] is the
//! policy of the product. It compares the cost of waiting for a busy server that holds the adapter
//! with the cost of loading another copy on one of the servers that rank highest for the adapter
//! by rendezvous hashing.
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

/// Parameters of the [`Router`] policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Expected time for which a request occupies a server, in milliseconds.
    pub service_ms: f64,
    /// Expected time of one adapter load at full speed, in milliseconds.
    pub load_ms: f64,
    /// Number of servers, in rendezvous order, that are considered for a new copy of an adapter.
    pub max_candidates: usize,
    /// Cost of evicting an adapter, per recent use of it, in milliseconds.
    pub reload_cost_ms: f64,
    /// Extra cost of running in an empty batch compared with a full one, in milliseconds.
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

/// The state of one backend server as known to an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerView {
    /// Requests that were running at the last load report.
    pub running: u32,
    /// Requests that were queued at the last load report.
    pub queued: u32,
    /// Maximum number of requests that the server runs concurrently.
    pub capacity: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Slots that were pinned at the last load report.
    pub pinned: u32,
    /// Adapter loads that were in progress at the last load report.
    pub loading: u32,
    /// Recent uses, at the last load report, of the adapter that the next load would evict.
    pub victim_uses: f64,
    /// Loads that this entry has triggered on the server since the last load report.
    pub loads_since_report: u32,
    /// Requests that this entry has in flight on the server.
    pub in_flight: u32,
    /// Requests that this entry has sent to the server since the last load report.
    pub sent_since_report: u32,
    /// Time at which the last load report arrived, in milliseconds.
    pub reported_ms: TimeMs,
    /// Whether the server accepts new work.
    pub is_live: bool,
    /// Adapters that are resident or being loaded.
    pub residents: HashSet<AdapterRef>,
}

impl ServerView {
    /// Returns the number of requests on the server, including those sent since its last report.
    #[must_use]
    pub const fn occupied(&self) -> u32 {
        self.running + self.queued + self.sent_since_report
    }

    /// Returns the expected time until a new request could start, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self, settings: &RouterSettings) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        let excess = f64::from(self.occupied()) + 1.0 - capacity;
        (excess.max(0.0) / capacity) * settings.service_ms
    }

    /// Returns the fraction of the batch that is in use, from zero to one.
    #[must_use]
    pub fn fill(&self) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        (f64::from(self.occupied()) / capacity).min(1.0)
    }

    /// Applies the load report of a refusal.
    ///
    /// Such a report says nothing about the slots' contents, so what is known about the next
    /// eviction is kept.
    pub fn apply_refusal(&mut self, report: &LoadReport, now_ms: TimeMs) {
        let (victim_uses, loads_since_report) = (self.victim_uses, self.loads_since_report);
        self.apply(report, now_ms);
        self.victim_uses = victim_uses;
        self.loads_since_report = loads_since_report;
    }

    /// Applies a load report and resets the counts since the last report.
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

/// The servers of an entry, with an index from adapters to the servers that hold them.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    views: BTreeMap<Arc<str>, ServerView>,
    holders: HashMap<AdapterRef, Vec<Arc<str>>>,
}

impl Servers {
    /// Returns the view of a server.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&ServerView> {
        self.views.get(vm)
    }

    /// Returns the view of a server, which is added if it is unknown.
    pub fn get_or_insert(&mut self, vm: &Arc<str>) -> &mut ServerView {
        self.views.entry(Arc::clone(vm)).or_default()
    }

    /// Returns the names and views of all servers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &ServerView)> {
        self.views.iter()
    }

    /// Returns the names of the servers that hold or are loading an adapter.
    #[must_use]
    pub fn holders(&self, adapter: &AdapterRef) -> &[Arc<str>] {
        self.holders.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Records that a server holds or is loading an adapter.
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

    /// Records that a server holds no adapters.
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

    /// Removes a server.
    pub fn remove(&mut self, vm: &str) {
        self.clear_residents(vm);
        self.views.remove(vm);
    }

    /// Applies a server's load report, including the adapters that it lists as resident or evicted.
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

/// The input of a placement decision besides the adapter.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The servers known to the entry.
    pub servers: &'a Servers,
    /// Names of the servers that have already refused this request.
    pub excluded: &'a [Arc<str>],
    /// The operators' weights for the deployment.
    pub deployment: &'a Deployment,
    /// Time until the load budget allows this entry another load, in milliseconds.
    pub budget_wait_ms: u64,
}

/// The server chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementChoice {
    /// A server, by name, that holds the adapter or is already loading it.
    Resident(Arc<str>),
    /// A server, by name, that has to load the adapter.
    Load(Arc<str>),
}

/// A placement policy.
pub trait Placement {
    /// Chooses a server for a request, or returns `None` if no server can take it.
    fn choose(
        &mut self,
        now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice>;
}

/// The placement policy of the product, which picks the server with the lowest expected cost.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: RouterSettings,
}

impl Router {
    /// Creates a router with these parameters.
    #[must_use]
    pub const fn new(settings: RouterSettings) -> Self {
        Self { settings }
    }

    /// Returns the servers that may load a new copy of the adapter, with the cost of the load there.
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
        let count = self.settings.max_candidates.min(ranked.len());
        if count > 0 && count < ranked.len() {
            ranked.select_nth_unstable_by(count - 1, |a, b| b.0.cmp(&a.0));
        }
        ranked.truncate(count);
        ranked
            .into_iter()
            .map(|(_, vm, view)| (Arc::clone(vm), self.load_cost_ms(view, context.deployment)))
            .collect()
    }

    /// Returns the cost of running a request on a server: the expected wait, plus a penalty for the
    /// unused part of the batch.
    fn run_cost_ms(&self, view: &ServerView, deployment: &Deployment) -> f64 {
        let unused_batch_ms = (1.0 - view.fill()) * self.settings.empty_batch_cost_ms;
        view.expected_wait_ms(&self.settings) + deployment.batch_weight * unused_batch_ms
    }

    /// Returns the cost of loading on a server and running there: the run cost, plus the expected
    /// reloads of the evicted adapters.
    fn load_cost_ms(&self, view: &ServerView, deployment: &Deployment) -> f64 {
        let reloads = view.victim_uses + f64::from(view.loads_since_report);
        let reload_ms = reloads * self.settings.reload_cost_ms;
        self.run_cost_ms(view, deployment) + deployment.stall_weight * reload_ms
    }
}

fn is_usable(vm: &Arc<str>, view: &ServerView, context: &PlacementContext<'_>) -> bool {
    view.is_live && view.slots > 0 && !context.excluded.contains(vm)
}

/// Returns the server with the lowest cost.
fn cheapest<I>(options: I) -> Option<(Arc<str>, f64)>
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
        let load = cheapest(self.candidates(adapter, &context));
        match (resident, load) {
            (Some((vm, wait_ms)), Some((other, other_cost_ms))) => {
                let load_cost_ms =
                    other_cost_ms + self.settings.load_ms + context.budget_wait_ms as f64;
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
