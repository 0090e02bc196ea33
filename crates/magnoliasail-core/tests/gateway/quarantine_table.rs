//! How many crashes it takes to find parts of prompts that crash servers: a fleet in virtual time, for
//! prompts of different lengths, few and many servers, and one and several bad parts at a time.

use {
    magnoliasail_core::gateway::{
        CrashDetector, Quarantine,
        message::{CompletionNotice, CrashReport, QuarantineChange, SuspectRequest},
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
    std::collections::VecDeque,
};

const ENTRIES: usize = 4;
const SLOTS: usize = 8;
const RUN_MS: u64 = 400;
/// Time from the start of a request with a bad part to the crash.
const CRASH_MS: u64 = 60;
const RESTART_MS: u64 = 3_000;
const DELAY_MS: u64 = 20;
/// Time between two requests with one bad part.
const BAD_INTERVAL_MS: u64 = 700;
/// Time between two sound requests for each server.
const SOUND_INTERVAL_MS: u64 = 250;
/// Time of sound traffic alone, in which the parts that many prompts share complete.
const SOUND_MS: u64 = 15_000;
const ATTACK_MS: u64 = 20_000;
/// End of the run in which the share of sound requests that complete is measured.
const MEASURED_MS: u64 = 8_000;
const STABLE_WINDOW_MS: u64 = 3_000;
/// The crashes after which the window starts, and the requests that may come after it.
const COUNTED_CRASHES: usize = 5;
const MAX_LATE_RUNS: usize = 3;
const FIRST_PART: u64 = 1;
const FIRST_BAD_PART: u64 = 100;
const FIRST_OWN_PART: u64 = 1 << 40;
const FIRST_SOUND_PART: u64 = 1 << 50;
/// Limit on the suspects that a process remembers.
const MAX_SUSPECTS: usize = 131_072;

#[derive(Clone, Debug)]
enum Message {
    Crash(CrashReport),
    ToAgents(QuarantineChange),
    ToEntries(QuarantineChange),
    Completed(usize, CompletionNotice),
}

#[derive(Clone, Debug)]
struct Run {
    request: SuspectRequest,
    entry: usize,
    end_ms: u64,
    is_bad: bool,
    is_resumed: bool,
}

#[derive(Default)]
struct Server {
    runs: Vec<Run>,
    down_until_ms: u64,
    starts: u64,
    detector: CrashDetector,
    quarantine: Quarantine,
}

/// A cell of the table.
#[derive(Clone, Copy, Debug)]
struct Case {
    parts: usize,
    servers: usize,
    bad_parts: u64,
}

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
struct Findings {
    crashes: usize,
    late_runs: usize,
    suspects: usize,
    refused_sound_parts: usize,
    served: usize,
    sent: usize,
}

impl Findings {
    /// Returns the worse of both in each respect.
    fn worst(self, other: Self) -> Self {
        Self {
            crashes: self.crashes.max(other.crashes),
            late_runs: self.late_runs.max(other.late_runs),
            suspects: self.suspects.max(other.suspects),
            refused_sound_parts: self.refused_sound_parts.max(other.refused_sound_parts),
            served: self.served + other.served,
            sent: self.sent + other.sent,
        }
    }
}

struct Fleet {
    case: Case,
    random: Pcg64Mcg,
    now_ms: u64,
    entries: Vec<Quarantine>,
    servers: Vec<Server>,
    in_transit: VecDeque<(u64, Message)>,
    next_request: u64,
    crashes_ms: Vec<u64>,
    bad_runs_ms: Vec<u64>,
    findings: Findings,
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        Self {
            case,
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            entries: vec![Quarantine::default(); ENTRIES],
            servers: (0..case.servers).map(|_| Server::default()).collect(),
            in_transit: VecDeque::new(),
            next_request: 1,
            crashes_ms: Vec::new(),
            bad_runs_ms: Vec::new(),
            findings: Findings::default(),
        }
    }

    fn send(&mut self, message: Message) {
        self.in_transit.push_back((self.now_ms + DELAY_MS, message));
    }

    /// A request that shares the first part with all others; no two with a bad part are alike.
    fn request(&mut self, bad_part: Option<u64>) -> SuspectRequest {
        let number = self.next_request;
        self.next_request += 1;
        let count = self.case.parts as u64;
        let pool = 20 * count;
        let others = (1..count).map(|part| match bad_part {
            Some(_) => FIRST_OWN_PART + number * 1_000 + part,
            None => FIRST_SOUND_PART + self.random.random_range(0..pool),
        });
        let mut parts: Vec<u64> = std::iter::once(FIRST_PART).chain(others).collect();
        if let Some(bad_part) = bad_part {
            let place = self
                .random
                .random_range(usize::from(count > 1)..parts.len());
            parts[place] = bad_part;
        }
        SuspectRequest::new((1 << 60) + number, parts)
    }

    /// Starts a request at a server that is up, unless it is refused; returns whether it was started.
    fn start(
        &mut self,
        entry: usize,
        request: SuspectRequest,
        is_bad: bool,
        is_resumed: bool,
    ) -> bool {
        let now_ms = self.now_ms;
        let ready: Vec<usize> = (0..self.servers.len())
            .filter(|&index| {
                let server = &self.servers[index];
                server.down_until_ms <= now_ms && server.runs.len() < SLOTS
            })
            .collect();
        let Some(&index) = ready.choose(&mut self.random) else {
            return false;
        };
        let server = &mut self.servers[index];
        if self.entries[entry].left_ms(&request, now_ms).is_some()
            || server.quarantine.left_ms(&request, now_ms).is_some()
        {
            return false;
        }
        if is_bad {
            self.bad_runs_ms.push(now_ms);
        }
        server.runs.push(Run {
            request,
            entry,
            end_ms: now_ms + if is_bad { CRASH_MS } else { RUN_MS },
            is_bad,
            is_resumed,
        });
        true
    }

    fn deliver(&mut self, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Crash(report) => {
                for entry in 0..ENTRIES {
                    let changes = self.entries[entry].record_crash(&report, now_ms);
                    let suspects = self.entries[entry].suspect_count();
                    self.findings.suspects = self.findings.suspects.max(suspects);
                    for change in changes {
                        self.send(Message::ToAgents(change));
                    }
                }
            }
            Message::ToAgents(change) => {
                for index in 0..self.servers.len() {
                    let quarantine = &mut self.servers[index].quarantine;
                    let notice = quarantine.completion_notice(change.fingerprint, now_ms);
                    quarantine.apply(change, now_ms);
                    if let Some(notice) = notice.filter(|_| !change.is_ended) {
                        (0..ENTRIES).for_each(|entry| self.send(Message::Completed(entry, notice)));
                    }
                }
            }
            Message::ToEntries(change) => {
                for entry in &mut self.entries {
                    entry.apply(change, now_ms);
                }
            }
            Message::Completed(entry, notice) => {
                if let Some(ended) = self.entries[entry].apply_completion(notice, now_ms) {
                    self.send(Message::ToAgents(ended));
                }
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.crashes_ms.push(now_ms);
        let server = &mut self.servers[index];
        let runs = std::mem::take(&mut server.runs);
        for run in &runs {
            let suspect = run.request.clone();
            server.detector.record_broken_off(suspect, now_ms);
        }
        let report = CrashReport {
            server_start: index as u64 * 1_000 + server.starts,
            requests: server.detector.take_suspects(now_ms),
            service: 1,
        };
        server.starts += 1;
        server.down_until_ms = now_ms + RESTART_MS;
        self.send(Message::Crash(report));
        // Entries resume streams once.
        for run in runs.into_iter().filter(|run| !run.is_resumed) {
            self.start(run.entry, run.request, run.is_bad, true);
        }
    }

    fn complete(&mut self, index: usize, run: &Run) {
        let now_ms = self.now_ms;
        for change in self.entries[run.entry].record_completion(&run.request, now_ms) {
            self.send(Message::ToAgents(change));
        }
        let quarantine = &mut self.servers[index].quarantine;
        for change in quarantine.record_completion(&run.request, now_ms) {
            self.send(Message::ToEntries(change));
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let arrived = self
            .in_transit
            .partition_point(|(at_ms, _)| *at_ms <= now_ms);
        for (_, message) in self.in_transit.drain(..arrived).collect::<Vec<_>>() {
            self.deliver(message);
        }
        for index in 0..self.servers.len() {
            let runs = &self.servers[index].runs;
            if runs.iter().any(|run| run.is_bad && run.end_ms <= now_ms) {
                self.crash(index);
                continue;
            }
            let runs = std::mem::take(&mut self.servers[index].runs);
            let (ended, running) = runs.into_iter().partition(|run: &Run| run.end_ms <= now_ms);
            self.servers[index].runs = running;
            for run in ended {
                self.complete(index, &run);
            }
        }
    }

    /// Runs sound traffic, and after a while that of the bad parts beside it.
    fn run(mut self) -> Findings {
        let end_ms = SOUND_MS + ATTACK_MS;
        let sound_interval_ms = SOUND_INTERVAL_MS / self.case.servers as u64;
        while self.now_ms < end_ms {
            self.step();
            if self.now_ms.is_multiple_of(sound_interval_ms.max(1)) {
                let (entry, request) = (self.random.random_range(0..ENTRIES), self.request(None));
                let is_started = self.start(entry, request, false, false);
                if self.now_ms > end_ms - MEASURED_MS {
                    self.findings.sent += 1;
                    self.findings.served += usize::from(is_started);
                }
            }
            for bad_part in 0..self.case.bad_parts {
                let phase_ms = bad_part * BAD_INTERVAL_MS / self.case.bad_parts;
                if self.now_ms > SOUND_MS && self.now_ms % BAD_INTERVAL_MS == phase_ms {
                    let entry = self.random.random_range(0..ENTRIES);
                    let request = self.request(Some(FIRST_BAD_PART + bad_part));
                    self.start(entry, request, true, false);
                }
            }
        }
        self.findings()
    }

    fn findings(&self) -> Findings {
        let fifth_ms = self.crashes_ms.get(COUNTED_CRASHES - 1);
        let is_late = |run_ms: &u64| fifth_ms.is_some_and(|at| *run_ms > at + STABLE_WINDOW_MS);
        let is_sound =
            |part: u64| part == FIRST_PART || (FIRST_SOUND_PART..1 << 60).contains(&part);
        let refused = |quarantine: &Quarantine| {
            let changes = quarantine.changes_to_replay(self.now_ms);
            let started = changes.filter(|change| !change.is_ended);
            started
                .filter(|change| is_sound(change.fingerprint))
                .count()
        };
        let agents = self.servers.iter().map(|server| &server.quarantine);
        Findings {
            crashes: self.crashes_ms.len(),
            late_runs: self.bad_runs_ms.iter().filter(|at| is_late(at)).count(),
            refused_sound_parts: self.entries.iter().chain(agents).map(refused).sum(),
            ..self.findings
        }
    }
}

const PARTS: [usize; 4] = [1, 33, 100, 500];
/// Prompts of this length and longer are tried with one bad part at a time only, as the others take too long.
const LONG_PROMPT_PARTS: usize = 100;
const SERVERS: [usize; 3] = [2, 10, 30];
const BAD_PARTS: [u64; 2] = [1, 3];
const SEEDS: std::ops::Range<u64> = 0..2;

/// Prints the table of docs/decisions/0005-poisonous-requests.md. With several bad parts at a time, only the
/// bound on memory is held.
#[test]
fn parts_that_crash_servers_are_found_within_few_crashes_whatever_the_length_of_prompts() {
    println!(
        "| parts | servers | bad parts | crashes | late | suspects | sound refused | served |"
    );
    for bad_parts in BAD_PARTS {
        let is_tried = |parts: &usize| bad_parts == 1 || *parts < LONG_PROMPT_PARTS;
        for parts in PARTS.into_iter().filter(is_tried) {
            for servers in SERVERS {
                let case = Case {
                    parts,
                    servers,
                    bad_parts,
                };
                let found = SEEDS.map(|seed| Fleet::new(case, seed).run());
                let found = found.reduce(Findings::worst).expect("there are seeds");
                println!(
                    "| {parts} | {servers} | {bad_parts} | {} | {} | {} | {} | {:.2} |",
                    found.crashes,
                    found.late_runs,
                    found.suspects,
                    found.refused_sound_parts,
                    found.served as f64 / found.sent as f64
                );
                assert!(found.suspects <= MAX_SUSPECTS, "{case:?}: {found:?}");
                if bad_parts == 1 {
                    assert!(found.late_runs <= MAX_LATE_RUNS, "{case:?}: {found:?}");
                    assert_eq!(found.refused_sound_parts, 0, "{case:?}: {found:?}");
                    assert!(2 * found.served >= found.sent, "{case:?}: {found:?}");
                }
            }
        }
    }
}
