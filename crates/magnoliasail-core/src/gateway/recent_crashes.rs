//! The crashes of the last moment, and what was running at them.

use {super::message::CrashReport, crate::TimeMs, std::collections::VecDeque};

/// Time within which crashes belong together. Servers that lose power together end within it.
const MOMENT_MS: u64 = 1_000;
/// Limit on the crashes that are remembered; more than servers of one service usually end at a time.
const CAPACITY: usize = 1_024;
/// Limit on the parts that are remembered of all these crashes. The oldest crashes are dropped for new ones.
const MAX_PARTS: usize = 262_144;

/// The ends of servers within the last moment.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCrashes {
    crashes: VecDeque<RecentCrash>,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    server_start: u64,
    service: u64,
    /// The parts of the prompts that were running, in ascending order.
    parts: Vec<u64>,
    at_ms: TimeMs,
}

impl RecentCrash {
    fn add_parts<'a>(&mut self, parts: impl Iterator<Item = &'a u64>) {
        self.parts.extend(parts);
        self.parts.sort_unstable();
        self.parts.dedup();
    }

    fn has_part(&self, part: u64) -> bool {
        self.parts.binary_search(&part).is_ok()
    }
}

impl RecentCrashes {
    /// Records a crash. Reports about the same start of a server are one crash.
    pub(super) fn record(&mut self, report: &CrashReport, now_ms: TimeMs) {
        self.crashes.retain(|crash| is_recent(crash, now_ms));
        let parts = report.requests.iter().flat_map(|request| &request.parts);
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.server_start == report.server_start);
        if let Some(crash) = known {
            crash.add_parts(parts);
        } else if self.crashes.len() < CAPACITY {
            let mut crash = RecentCrash {
                server_start: report.server_start,
                service: report.service,
                parts: Vec::new(),
                at_ms: now_ms,
            };
            crash.add_parts(parts);
            self.crashes.push_back(crash);
        }
        while self.crashes.len() > 1 && self.part_count() > MAX_PARTS {
            self.crashes.pop_front();
        }
    }

    fn part_count(&self) -> usize {
        self.crashes.iter().map(|crash| crash.parts.len()).sum()
    }

    /// Returns whether a part was running at half of the crashes of a service or more. Servers of other
    /// services run no requests with it.
    pub(super) fn are_explained_by(&self, part: u64, service: u64, now_ms: TimeMs) -> bool {
        let recent = || {
            let of_service = self.crashes.iter().filter(|crash| crash.service == service);
            of_service.filter(|crash| is_recent(crash, now_ms))
        };
        let explained = recent().filter(|crash| crash.has_part(part)).count();
        2 * explained >= recent().count()
    }
}

const fn is_recent(crash: &RecentCrash, now_ms: TimeMs) -> bool {
    now_ms.saturating_sub(crash.at_ms) < MOMENT_MS
}
