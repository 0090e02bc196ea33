//! What a plain server that names a rate gets while entries know different lists of agents.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    magnoliasail_core::gateway::{
        GrantCandidate, GrantView, GrantViews, GrantedRate, RateQuestion, RecentMaximum,
        RequestRate, SendGrants, agent_list_fingerprint, pick_grant_agent,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::IpAddr,
    },
};

const WINDOW_MS: u64 = 4_000;
const NOW_MS: u64 = 1_000_000;
const SERVER_START: u64 = 7;
const AGENTS: u8 = 8;
const COUNT_WINDOW_MS: u64 = 30_000;

/// An entry, and when it may ask again.
struct Entry {
    list: BTreeSet<IpAddr>,
    entry_counts: RecentMaximum,
    postponed_until_ms: u64,
}

#[derive(Default)]
struct Agent {
    links: BTreeSet<u64>,
    views: GrantViews,
    grants: SendGrants,
}

/// Entries and agents that are linked wherever an entry's list names the agent.
struct Fleet {
    rate: RequestRate,
    entries: Vec<Entry>,
    agents: BTreeMap<IpAddr, Agent>,
    /// The agents that an entry cannot reach, though its list names them.
    cut: BTreeSet<(usize, IpAddr)>,
    arrivals_ms: Vec<u64>,
}

fn vm(number: u8) -> IpAddr {
    [10, 0, 0, number].into()
}

fn all_agents() -> BTreeSet<IpAddr> {
    (1..=AGENTS).map(vm).collect()
}

impl Fleet {
    fn new(entry_count: usize, per_s: f64) -> Self {
        let entry = |_| Entry {
            list: BTreeSet::new(),
            entry_counts: RecentMaximum::new(COUNT_WINDOW_MS),
            postponed_until_ms: 0,
        };
        let mut fleet = Self {
            rate: RequestRate::from_per_s(per_s).expect("a rate"),
            entries: (0..entry_count).map(entry).collect(),
            agents: (1..=AGENTS)
                .map(|number| (vm(number), Agent::default()))
                .collect(),
            cut: BTreeSet::new(),
            arrivals_ms: Vec::new(),
        };
        for entry in 0..entry_count {
            fleet.set_list(entry, all_agents(), NOW_MS);
        }
        for entry in 0..entry_count {
            fleet.view(entry, NOW_MS);
        }
        fleet
    }

    /// Returns what an entry knows.
    fn view(&mut self, entry: usize, now_ms: u64) -> GrantView {
        let Self {
            entries, agents, ..
        } = self;
        let entry = &mut entries[entry];
        let counts = entry.list.iter().map(|vm| agents[vm].links.len() as u32);
        let entry_count = entry.entry_counts.record(counts.max(), now_ms);
        GrantView {
            agents: agent_list_fingerprint(entry.list.iter().copied()),
            entry_count: entry_count.unwrap_or(0),
        }
    }

    /// Changes the list of an entry, opens and closes its links, and tells the agents that follow it.
    fn set_list(&mut self, entry: usize, list: BTreeSet<IpAddr>, now_ms: u64) {
        let link = entry as u64;
        for (vm, agent) in &mut self.agents {
            if !list.contains(vm) && agent.links.remove(&link) {
                agent.views.remove_entry(link, now_ms);
            }
            if list.contains(vm) && agent.links.insert(link) {
                agent.views.add_entry(link, now_ms);
            }
        }
        self.entries[entry].list = list;
        let view = self.view(entry, now_ms);
        for vm in self.entries[entry].list.clone() {
            self.tell(entry, vm, view, now_ms);
        }
    }

    fn tell(&mut self, entry: usize, vm: IpAddr, view: GrantView, now_ms: u64) {
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.views.set(entry as u64, view, now_ms);
        }
    }

    /// Lets an entry ask for a request, and send it if that is granted.
    fn ask(&mut self, entry: usize, max_wait_ms: u64, now_ms: u64) {
        if now_ms < self.entries[entry].postponed_until_ms {
            return;
        }
        let view = self.view(entry, now_ms);
        let candidates = self.entries[entry].list.iter().map(|&vm| GrantCandidate {
            vm,
            is_up: !self.cut.contains(&(entry, vm)),
        });
        let picked = pick_grant_agent(SERVER_START, self.rate, candidates.collect());
        let Some(picked) = picked else { return };
        let agent = self.agents.get_mut(&picked.vm).expect("it is listed");
        agent.views.start_survey(now_ms);
        let question = RateQuestion {
            server_start: SERVER_START,
            rate: picked.rate,
            view,
            is_substitute: picked.is_substitute,
        };
        let granted = agent.views.rate(entry as u64, &question, now_ms);
        let Some(GrantedRate { rate, .. }) = granted else {
            return;
        };
        let changed_ms = agent.views.changed_ms();
        agent.grants.drop_saved(SERVER_START, changed_ms);
        let grant = agent.grants.ask(SERVER_START, rate, max_wait_ms, now_ms);
        if grant.is_granted {
            self.arrivals_ms.push(now_ms + grant.wait_ms);
        } else {
            self.entries[entry].postponed_until_ms = now_ms + grant.wait_ms;
        }
    }

    /// Returns the most requests within any window of four seconds.
    fn worst_window(&self) -> usize {
        let count_from = |first: u64| {
            let in_window = |at: &&u64| (first..first + WINDOW_MS).contains(at);
            self.arrivals_ms.iter().filter(in_window).count()
        };
        let counts = self.arrivals_ms.iter().map(|&first| count_from(first));
        counts.max().unwrap_or(0)
    }
}

/// Returns what the users' rule allows within four seconds.
fn max_in_window(per_s: f64) -> f64 {
    1.5 * 4.0 * per_s + 5.0
}

/// Draws the agents that a list names.
fn draw_list(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<BTreeSet<IpAddr>> {
    let first = source.int_in_range(1..=AGENTS)?;
    let last = source.int_in_range(first..=AGENTS)?;
    Ok((first..=last).map(vm).collect())
}

#[test]
fn agents_that_entries_with_different_lists_rank_first_grant_one_rate_together() {
    /// Longest time between two questions; all of them together take less time than entries remember how many
    /// they are.
    const MAX_GAP_MS: u64 = 20;
    const QUESTIONS: usize = 1_400;
    arbtest(|source| {
        let per_s = f64::from(source.int_in_range(5..=500)?) / 10.0;
        let entry_count = source.int_in_range(1..=24)?;
        let mut fleet = Fleet::new(entry_count, per_s);
        let lists = [
            all_agents(),
            draw_list(source)?,
            draw_list(source)?,
            draw_list(source)?,
        ];
        let mut now_ms = NOW_MS;
        for _ in 0..QUESTIONS {
            now_ms += source.int_in_range(0..=MAX_GAP_MS)?;
            let entry = source.int_in_range(0..=entry_count - 1)?;
            if source.ratio(1, 40)? {
                let list = source.choose(&lists)?.clone();
                fleet.set_list(entry, list, now_ms);
            }
            let max_wait_ms = *source.choose(&[0, 0, 75])?;
            fleet.ask(entry, max_wait_ms, now_ms);
        }
        let worst = fleet.worst_window() as f64;
        assert!(worst <= max_in_window(per_s), "{worst} at {per_s} a second");
        Ok(())
    })
    .size_min(1 << 14);
}

/// Asks through the given entries for a time; returns the share of the rate that was used.
fn used_share(fleet: &mut Fleet, per_s: f64, asking: &[usize]) -> f64 {
    const DURATION_MS: u64 = 20_000;
    for now_ms in (NOW_MS..NOW_MS + DURATION_MS).step_by(5) {
        for &entry in asking {
            fleet.ask(entry, 0, now_ms);
        }
    }
    fleet.arrivals_ms.len() as f64 / (per_s * DURATION_MS as f64 / 1_000.0)
}

/// An entry without requests counts for the agent that it would ask.
#[test]
fn one_busy_entry_gets_the_whole_rate_while_all_lists_are_the_same() {
    const PER_S: f64 = 10.0;
    let mut fleet = Fleet::new(6, PER_S);
    let used = used_share(&mut fleet, PER_S, &[3]);
    assert!(used >= 0.9, "{used}");
}

/// The server list of one entry is old; its agents and those of the others have a part each.
#[test]
fn entries_with_different_lists_use_the_rate_together() {
    const PER_S: f64 = 10.0;
    for left_out in 1..=AGENTS {
        let mut fleet = Fleet::new(6, PER_S);
        let mut list = all_agents();
        list.remove(&vm(left_out));
        fleet.set_list(0, list, NOW_MS);
        let used = used_share(&mut fleet, PER_S, &[0, 1, 2, 3, 4, 5]);
        assert!((0.9..=1.1).contains(&used), "{used}");
    }
}

#[test]
fn entries_whose_lists_have_no_agent_in_common_share_the_rate_by_their_number() {
    const PER_S: f64 = 10.0;
    let used_by = |asking: &[usize]| {
        let mut fleet = Fleet::new(4, PER_S);
        fleet.set_list(0, (1..=4).map(vm).collect(), NOW_MS);
        for entry in 1..4 {
            fleet.set_list(entry, (5..=AGENTS).map(vm).collect(), NOW_MS);
        }
        used_share(&mut fleet, PER_S, asking)
    };
    let used = used_by(&[0]);
    assert!((0.2..=0.3).contains(&used), "{used}");
    let used = used_by(&[0, 1, 2, 3]);
    assert!((0.9..=1.1).contains(&used), "{used}");
}

#[test]
fn entry_that_cannot_reach_the_first_agent_adds_a_quarter_at_most() {
    const PER_S: f64 = 10.0;
    for number in 1..=AGENTS {
        let mut fleet = Fleet::new(6, PER_S);
        fleet.cut = (0..3).map(|entry| (entry, vm(number))).collect();
        let used = used_share(&mut fleet, PER_S, &[0, 5]);
        assert!((0.9..=1.3).contains(&used), "{used}");
    }
}

/// Entries of an older release, and those whose links are silent, do not answer.
#[test]
fn agent_waits_a_moment_for_views_and_then_grants_the_part_of_those_that_it_knows() {
    let rate = RequestRate::from_per_s(8.0).expect("a rate");
    let mut views = GrantViews::default();
    for link in 0..4 {
        assert!(!views.add_entry(link, NOW_MS));
    }
    assert!(views.start_survey(NOW_MS));
    assert!(!views.start_survey(NOW_MS));
    assert!(views.add_entry(4, NOW_MS));
    views.remove_entry(4, NOW_MS);
    let question = RateQuestion {
        server_start: SERVER_START,
        rate,
        view: GrantView {
            agents: 1,
            entry_count: 4,
        },
        is_substitute: false,
    };
    assert_eq!(views.rate(0, &question, NOW_MS), None);
    views.set(1, question.view, NOW_MS);
    assert_eq!(views.rate(0, &question, NOW_MS + 149), None);
    let half = GrantedRate {
        rate: RequestRate::from_per_s(4.0).expect("a rate"),
        asking: 2,
        entry_count: 4,
        is_changed: true,
    };
    assert_eq!(views.rate(0, &question, NOW_MS + 150), Some(half));
    let same = GrantedRate {
        is_changed: false,
        ..half
    };
    assert_eq!(views.rate(0, &question, NOW_MS + 151), Some(same));
    views.set(2, question.view, NOW_MS);
    views.set(3, question.view, NOW_MS);
    let whole = GrantedRate {
        rate,
        asking: 4,
        ..half
    };
    assert_eq!(views.rate(0, &question, NOW_MS + 152), Some(whole));
}

#[test]
fn entry_remembers_for_a_while_how_many_entries_there_were() {
    let mut counts = RecentMaximum::new(1_000);
    assert_eq!(counts.record(None, NOW_MS), None);
    assert_eq!(counts.record(Some(6), NOW_MS + 10), Some(6));
    assert_eq!(counts.record(Some(2), NOW_MS + 900), Some(6));
    assert_eq!(counts.record(None, NOW_MS + 1_900), Some(6));
    assert_eq!(counts.record(Some(2), NOW_MS + 1_950), Some(6));
    assert_eq!(counts.record(Some(3), NOW_MS + 2_950), Some(3));
    assert_eq!(counts.record(None, NOW_MS + 60_000), None);
}
