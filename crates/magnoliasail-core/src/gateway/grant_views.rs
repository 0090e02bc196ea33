//! How much of a named rate an agent may grant while entries know different lists of agents.
//!
//! An entry ranks the agents of its own list, so that entries with different lists may ask different agents
//! about the same server. Each entry tells the agents that it has asked the fingerprint of its list, its view,
//! and how many entries there are. An agent grants the part of the rate that those linked entries make up
//! which ask it: the ones that did, and all others with the same view, whether they have requests or not. An
//! entry has one view at a time and counts at one agent only, so that the parts of all agents add up to the
//! rate whatever their lists say.

use {
    super::{RequestRate, expiring_map::ExpiringMap},
    crate::TimeMs,
    std::{collections::HashMap, net::IpAddr},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Time in which entries answer when they are asked for their views for the first time.
const SURVEY_MS: u64 = 150;
/// Time for which an agent remembers that entries with a view ask it about a server.
const RETENTION_MS: u64 = 60_000;
/// Limit on the questions that are remembered; more than the servers of a platform in a few views.
const CAPACITY: usize = 16_384;

/// What an entry knows of the agents and of the other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantView {
    /// The fingerprint of the agents that the entry ranks, see [`agent_list_fingerprint`].
    pub agents: u64,
    /// The number of entries, as agents have reported it recently.
    pub entry_count: u32,
}

/// What of a question decides how much the agent may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateQuestion {
    /// Identifies the start of the server.
    pub server_start: u64,
    /// The rate that the agent would grant to all entries together.
    pub rate: RequestRate,
    /// What the entry that asks knows.
    pub view: GrantView,
    /// Whether the entry ranks another agent first, which it cannot reach.
    pub is_substitute: bool,
}

/// What an agent may grant to the entries that ask it about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedRate {
    /// The rate for all of these entries together.
    pub rate: RequestRate,
    /// The number of entries for which the rate is.
    pub asking: u32,
    /// The number of all entries.
    pub entry_count: u32,
    /// Whether these numbers are others than at the last question about the server.
    pub is_changed: bool,
}

/// The views of the entries that are linked to an agent.
#[derive(Clone, Debug)]
pub struct GrantViews {
    /// By link; `None` until the entry has told its view.
    views: HashMap<u64, Option<GrantView>>,
    /// When the agent was first asked about a server.
    survey_started_ms: Option<TimeMs>,
    is_surveyed: bool,
    /// When a view last changed.
    changed_ms: TimeMs,
    /// The views of entries that rank this agent first for a server.
    first_views: ExpiringMap<()>,
    /// How many of how many entries the agent granted a rate last, by the start of the server.
    last_parts: ExpiringMap<(u32, u32)>,
}

impl Default for GrantViews {
    fn default() -> Self {
        Self {
            views: HashMap::new(),
            survey_started_ms: None,
            is_surveyed: false,
            changed_ms: 0,
            first_views: ExpiringMap::new(RETENTION_MS, CAPACITY),
            last_parts: ExpiringMap::new(RETENTION_MS, CAPACITY),
        }
    }
}

impl GrantViews {
    /// Adds an entry; returns whether it has to be asked for its view.
    pub fn add_entry(&mut self, link: u64, now_ms: TimeMs) -> bool {
        self.views.insert(link, None);
        self.changed_ms = now_ms;
        self.survey_started_ms.is_some()
    }

    /// Removes an entry whose link has ended.
    pub fn remove_entry(&mut self, link: u64, now_ms: TimeMs) {
        self.views.remove(&link);
        self.changed_ms = now_ms;
    }

    /// Applies what an entry tells.
    pub fn set(&mut self, link: u64, view: GrantView, now_ms: TimeMs) {
        if let Some(known) = self.views.get_mut(&link)
            && *known != Some(view)
        {
            *known = Some(view);
            self.changed_ms = now_ms;
        }
    }

    /// Returns when a view last changed. Times that passed unused before may have been used at another agent.
    #[must_use]
    pub const fn changed_ms(&self) -> TimeMs {
        self.changed_ms
    }

    /// Starts to follow the views of the entries; returns whether they have to be asked for them.
    pub fn start_survey(&mut self, now_ms: TimeMs) -> bool {
        let is_first = self.survey_started_ms.is_none();
        self.survey_started_ms.get_or_insert(now_ms);
        is_first
    }

    /// Returns the rate that this agent may grant to the entries that ask it, or `None` while the views of the
    /// entries are not known.
    pub fn rate(
        &mut self,
        link: u64,
        question: &RateQuestion,
        now_ms: TimeMs,
    ) -> Option<GrantedRate> {
        self.set(link, question.view, now_ms);
        if !question.is_substitute {
            let key = view_key(question.server_start, question.view);
            self.first_views.record(key, (), now_ms);
        }
        if !self.check_survey(now_ms) {
            return None;
        }
        let known = self.views.values().flatten();
        let told = known.clone().map(|view| view.entry_count).max();
        let entry_count = told.unwrap_or(0).max(self.views.len() as u32);
        let asking = known.filter(|view| self.is_asking(question, **view, now_ms));
        let asking = asking.count() as u32;
        let last = self.last_parts.get(question.server_start, now_ms).copied();
        let part = (asking, entry_count);
        self.last_parts.record(question.server_start, part, now_ms);
        Some(GrantedRate {
            rate: question.rate.part(asking.into(), entry_count.into()),
            asking,
            entry_count,
            is_changed: last.map_or(asking < entry_count, |last| last != part),
        })
    }

    fn is_asking(&self, question: &RateQuestion, view: GrantView, now_ms: TimeMs) -> bool {
        if question.is_substitute {
            return view.agents == question.view.agents;
        }
        let key = view_key(question.server_start, view);
        self.first_views.get(key, now_ms).is_some()
    }

    /// Returns whether all entries have told their views, or have had the time to.
    fn check_survey(&mut self, now_ms: TimeMs) -> bool {
        let is_over = self
            .survey_started_ms
            .is_some_and(|started_ms| now_ms >= started_ms + SURVEY_MS);
        self.is_surveyed |= is_over || self.views.values().all(Option::is_some);
        self.is_surveyed
    }
}

/// Returns the fingerprint of a list of agents by their VMs, each of which it names once, in any order.
#[must_use]
pub fn agent_list_fingerprint(vms: impl Iterator<Item = IpAddr>) -> u64 {
    let fingerprints = vms.map(|vm| match vm {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    });
    fingerprints.fold(0, u64::wrapping_add)
}

fn view_key(server_start: u64, view: GrantView) -> u64 {
    xxh3_64_with_seed(&view.agents.to_le_bytes(), server_start)
}
