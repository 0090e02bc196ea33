//! Quarantine in a simulated fleet: entries and agents that exchange messages with delays, some of which
//! are lost, while engines crash.

use {
    magnoliasail_core::gateway::{
        CrashDetector, Quarantine,
        message::{CompletionNotice, CrashReport, QuarantineChange, SuspectRequest},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::collections::BTreeMap,
};

const ENTRIES: usize = 12;
const ENGINES: usize = 24;
const SLOTS: usize = 8;
/// Time from the start of a run to its end or to the crash.
const RUN_MS: u64 = 400;
const CRASH_MS: u64 = 60;
const RESTART_MS: u64 = 3_000;
const MAX_DELAY_MS: u64 = 40;
const LINK_RESETS_PER_MS: f64 = 0.01;
/// The users allow five crashes by a part, and three more requests after this time.
const MAX_CRASHES: usize = 5;
const STABLE_WINDOW_MS: u64 = 3_000;
const MAX_LATE_RUNS: usize = 3;
const BAD_PART: u64 = u64::MAX;
const FIRST_PARTS: u64 = 3;
const SUBJECTS: u64 = 300;

/// A message on the link between an entry and an agent.
#[derive(Clone, Debug)]
enum Message {
    Crash(CrashReport),
    ToAgent(QuarantineChange),
    ToEntry(QuarantineChange),
    Completed(CompletionNotice),
}

/// The link between an entry and an agent, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId {
    entry: usize,
    agent: usize,
}

/// When a message arrives. Messages on one link arrive in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at_ms: u64,
    number: u64,
    link: LinkId,
}

#[derive(Clone, Debug)]
struct Run {
    request: SuspectRequest,
    entry: usize,
    end_ms: u64,
}

#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    down_until_ms: u64,
    starts: u64,
    detector: CrashDetector,
    quarantine: Quarantine,
}

struct Fleet {
    random: Pcg64Mcg,
    now_ms: u64,
    entries: Vec<Quarantine>,
    engines: Vec<Engine>,
    in_transit: BTreeMap<Arrival, Message>,
    /// When the last message that was sent on each link arrives.
    last_arrival_ms: BTreeMap<LinkId, u64>,
    next_message: u64,
    next_request: u64,
    /// When runs with the bad part crashed engines.
    bad_crashes_ms: Vec<u64>,
    bad_runs_ms: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            entries: vec![Quarantine::default(); ENTRIES],
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            in_transit: BTreeMap::new(),
            last_arrival_ms: BTreeMap::new(),
            next_message: 0,
            next_request: 1,
            bad_crashes_ms: Vec::new(),
            bad_runs_ms: Vec::new(),
        }
    }

    fn send(&mut self, link: LinkId, message: Message) {
        let arrives_ms = self.now_ms + self.random.random_range(1..=MAX_DELAY_MS);
        let last_ms = self.last_arrival_ms.entry(link).or_default();
        *last_ms = arrives_ms.max(*last_ms);
        let arrival = Arrival {
            at_ms: *last_ms,
            number: self.next_message,
            link,
        };
        self.in_transit.insert(arrival, message);
        self.next_message += 1;
    }

    fn links_of_agent(agent: usize) -> impl Iterator<Item = LinkId> {
        (0..ENTRIES).map(move |entry| LinkId { entry, agent })
    }

    /// Breaks a link, which loses what is on its way, and opens it again.
    fn reset_link(&mut self) {
        let link = LinkId {
            entry: self.random.random_range(0..ENTRIES),
            agent: self.random.random_range(0..ENGINES),
        };
        self.in_transit.retain(|arrival, _| arrival.link != link);
        let now_ms = self.now_ms;
        let entry_changes = self.entries[link.entry].changes_to_replay(now_ms);
        let messages: Vec<_> = entry_changes.map(Message::ToAgent).collect();
        let agent_changes = self.engines[link.agent]
            .quarantine
            .changes_to_replay(now_ms);
        let messages: Vec<_> = messages
            .into_iter()
            .chain(agent_changes.map(Message::ToEntry))
            .collect();
        for message in messages {
            self.send(link, message);
        }
    }

    /// Starts a request with these parts at an engine that is up, unless it is refused.
    fn submit(&mut self, subject: u64) {
        let entry = self.random.random_range(0..ENTRIES);
        let request = SuspectRequest {
            request: 1_000_000 + self.next_request,
            parts: vec![self.random.random_range(1..=FIRST_PARTS), subject],
        };
        self.next_request += 1;
        self.run(entry, request);
    }

    fn run(&mut self, entry: usize, request: SuspectRequest) {
        let engine = self.random.random_range(0..ENGINES);
        let now_ms = self.now_ms;
        let is_refused = self.entries[entry].left_ms(&request, now_ms).is_some()
            || self.engines[engine]
                .quarantine
                .left_ms(&request, now_ms)
                .is_some();
        let state = &mut self.engines[engine];
        if is_refused || state.down_until_ms > now_ms || state.runs.len() >= SLOTS {
            return;
        }
        let is_bad = request.parts.contains(&BAD_PART);
        let run_ms = if is_bad { CRASH_MS } else { RUN_MS };
        if is_bad {
            self.bad_runs_ms.push(now_ms);
        }
        state.runs.push(Run {
            request,
            entry,
            end_ms: now_ms + run_ms,
        });
    }

    fn crash(&mut self, engine: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.engines[engine];
        let runs = std::mem::take(&mut state.runs);
        for run in &runs {
            state
                .detector
                .record_broken_off(run.request.clone(), now_ms);
        }
        let report = CrashReport {
            server_start: engine as u64 * 1_000 + state.starts,
            requests: state.detector.take_suspects(now_ms),
            service: 1,
        };
        state.starts += 1;
        state.down_until_ms = now_ms + RESTART_MS;
        for link in Self::links_of_agent(engine) {
            self.send(link, Message::Crash(report.clone()));
        }
        // Entries resume streams once.
        for run in runs {
            self.run(run.entry, run.request);
        }
    }

    fn announce(&mut self, entry: usize, changes: impl IntoIterator<Item = QuarantineChange>) {
        for change in changes {
            for agent in 0..ENGINES {
                self.send(LinkId { entry, agent }, Message::ToAgent(change));
            }
        }
    }

    fn deliver(&mut self, link: LinkId, message: Message) {
        let now_ms = self.now_ms;
        let LinkId { entry, agent } = link;
        match message {
            Message::Crash(report) => {
                let started = self.entries[entry].record_crash(&report, now_ms);
                self.announce(entry, started);
            }
            Message::ToAgent(change) => {
                let quarantine = &mut self.engines[agent].quarantine;
                let notice = quarantine.completion_notice(change.fingerprint, now_ms);
                let is_new = quarantine.apply(change, now_ms);
                if let Some(notice) = notice.filter(|_| !change.is_ended) {
                    self.send(link, Message::Completed(notice));
                }
                if is_new && change.is_ended {
                    for other in Self::links_of_agent(agent).filter(|other| *other != link) {
                        self.send(other, Message::ToEntry(change));
                    }
                }
            }
            Message::ToEntry(change) => {
                self.entries[entry].apply(change, now_ms);
            }
            Message::Completed(notice) => {
                let ended = self.entries[entry].apply_completion(notice, now_ms);
                self.announce(entry, ended);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().at_ms > now_ms {
                break;
            }
            let (arrival, message) = entry.remove_entry();
            self.deliver(arrival.link, message);
        }
        for engine in 0..ENGINES {
            let runs = std::mem::take(&mut self.engines[engine].runs);
            let (ended, running): (Vec<_>, Vec<_>) =
                runs.into_iter().partition(|run| run.end_ms <= now_ms);
            self.engines[engine].runs = running;
            let bad = ended
                .iter()
                .find(|run| run.request.parts.contains(&BAD_PART));
            if bad.is_some() {
                self.bad_crashes_ms.push(now_ms);
                self.engines[engine].runs.extend(ended);
                self.crash(engine);
                continue;
            }
            for run in ended {
                self.complete(engine, &run);
            }
        }
    }

    fn complete(&mut self, engine: usize, run: &Run) {
        let now_ms = self.now_ms;
        let ended = self.entries[run.entry].record_completion(&run.request, now_ms);
        self.announce(run.entry, ended);
        let ended = self.engines[engine]
            .quarantine
            .record_completion(&run.request, now_ms);
        for change in ended {
            for link in Self::links_of_agent(engine) {
                self.send(link, Message::ToEntry(change));
            }
        }
    }

    /// Runs sound traffic for a while, with requests with the bad part if `has_bad_part`.
    fn run_for(&mut self, duration_ms: u64, has_bad_part: bool) {
        for _ in 0..duration_ms {
            self.step();
            if self.random.random_bool(LINK_RESETS_PER_MS) {
                self.reset_link();
            }
            if self.random.random_bool(0.3) {
                let subject = 100 + self.random.random_range(0..SUBJECTS);
                self.submit(subject);
            }
            if has_bad_part && self.random.random_bool(0.02) {
                self.submit(BAD_PART);
            }
        }
    }

    /// Returns the quarantined fingerprints other than the bad part, with the process's number.
    fn wrongly_quarantined(&self) -> Vec<(usize, u64)> {
        let agents = self.engines.iter().map(|engine| &engine.quarantine);
        let processes = self.entries.iter().chain(agents);
        let changes = processes.enumerate().flat_map(|(number, quarantine)| {
            let changes = quarantine.changes_to_replay(self.now_ms);
            let started = changes.filter(|change| !change.is_ended);
            started.map(move |change| (number, change.fingerprint))
        });
        changes
            .filter(|&(_, fingerprint)| fingerprint != BAD_PART && fingerprint < 1_000_000)
            .collect()
    }
}

const SEEDS: std::ops::Range<u64> = 0..40;

#[test]
fn bad_part_reaches_few_engines_and_no_other_part_is_refused() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run_for(3_000, false);
        fleet.run_for(12_000, true);
        let fifth_crash_ms = fleet.bad_crashes_ms.get(MAX_CRASHES - 1);
        let late_runs = fifth_crash_ms.map_or(0, |&crash_ms| {
            let is_late = |run_ms: &&u64| **run_ms > crash_ms + STABLE_WINDOW_MS;
            fleet.bad_runs_ms.iter().filter(is_late).count()
        });
        assert!(
            late_runs <= MAX_LATE_RUNS,
            "seed {seed}: {late_runs} late runs"
        );
        assert_eq!(fleet.wrongly_quarantined(), [], "seed {seed}");
    }
}

#[test]
fn nothing_is_refused_after_all_engines_crashed_at_once_several_times() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..3 {
            fleet.run_for(2_500, false);
            for engine in 0..ENGINES {
                fleet.crash(engine);
                fleet.run_for(2, false);
            }
            fleet.run_for(RESTART_MS, false);
        }
        fleet.run_for(3_000, false);
        assert_eq!(fleet.wrongly_quarantined(), [], "seed {seed}");
    }
}
