//! Servers that drain, leave, pause, are removed and start anew, in any order.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    magnoliasail_core::gateway::{
        Directory, Eligibility, Ineligibility, PauseSource, RequestedPause, ServerEntry,
        ServerNotice, VersionConstraint,
    },
    std::collections::BTreeMap,
};

const LEAVING: ServerNotice = ServerNotice {
    is_leaving: true,
    pause: None,
};

fn pause(seconds: f64) -> ServerNotice {
    ServerNotice {
        is_leaving: false,
        pause: Some(RequestedPause::from_seconds(Some(seconds))),
    }
}

#[test]
fn a_pause_of_an_absurd_duration_is_bounded() {
    let stated = RequestedPause::from_seconds(Some(1.25));
    assert_eq!(
        (stated.duration_ms, stated.source),
        (1_250, PauseSource::Stated)
    );
    for seconds in [86_400.0, 1e300, f64::INFINITY] {
        let limited = RequestedPause::from_seconds(Some(seconds));
        assert_eq!(limited.duration_ms, RequestedPause::MAX_MS);
        assert_eq!(limited.source, PauseSource::Limited);
    }
    for seconds in [Some(0.0), Some(-3.0), Some(f64::NAN), None] {
        let unreadable = RequestedPause::from_seconds(seconds);
        assert_eq!(unreadable.duration_ms, RequestedPause::UNREADABLE_MS);
        assert_eq!(unreadable.source, PauseSource::Unreadable);
    }
}

#[test]
fn the_reason_that_lasts_longest_is_given() {
    let mut eligibility = Eligibility::default();
    assert_eq!(eligibility.check(0), Ok(()));
    eligibility.apply(pause(2.0), 0);
    let paused = Ineligibility::Paused { left_ms: 1_500 };
    assert_eq!(eligibility.check(500), Err(paused));
    eligibility.apply(LEAVING, 500);
    assert_eq!(eligibility.check(500), Err(Ineligibility::Leaving));
    eligibility.set_draining(true);
    assert_eq!(eligibility.check(500), Err(Ineligibility::Draining));
    eligibility.mark_removed(600);
    assert_eq!(eligibility.check(599), Err(Ineligibility::Draining));
    assert_eq!(eligibility.check(600), Err(Ineligibility::Removed));
    eligibility.set_unreachable(true);
    assert_eq!(eligibility.check(600), Err(Ineligibility::Unreachable));
}

/// What is true of one start of a server, kept apart from the directory.
#[derive(Clone, Copy, Default)]
struct Truth {
    started_ms: u64,
    is_listed: bool,
    is_draining: bool,
    is_leaving: bool,
    paused_until_ms: u64,
}

const IDS: [&str; 3] = ["a", "b", "c"];

struct History {
    directory: Directory,
    servers: BTreeMap<&'static str, Truth>,
    now_ms: u64,
}

impl History {
    fn new() -> Self {
        Self {
            directory: Directory::default(),
            servers: IDS.iter().map(|&id| (id, Truth::default())).collect(),
            now_ms: 1_000,
        }
    }

    /// Applies one random event to the directory and to the truth.
    fn step(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        self.now_ms += u.int_in_range(0..=1_500_u64)?;
        let id = *u.choose(&IDS)?;
        let truth = self.servers.get_mut(id).expect("all ids are present");
        match u.int_in_range(0..=5_u8)? {
            0 => {
                truth.is_listed = true;
                truth.is_draining = u.arbitrary()?;
                self.list(id);
            }
            1 => {
                truth.is_listed = false;
                self.directory.remove(id, self.now_ms);
                self.directory.prune(self.now_ms);
            }
            2 => {
                // The process starts anew under the same id, and its row shows it.
                *truth = Truth {
                    started_ms: truth.started_ms + 1,
                    is_listed: true,
                    ..Truth::default()
                };
                self.list(id);
            }
            3 => self.hear(id, LEAVING, 0),
            4 => {
                let seconds = u.int_in_range(1..=400_u64)? as f64 / 10.0;
                self.hear(id, pause(seconds), 0);
            }
            // A late response of an earlier start.
            _ => self.hear(id, *u.choose(&[LEAVING, pause(9.0)])?, 1),
        }
        Ok(())
    }

    fn list(&mut self, id: &'static str) {
        let truth = self.servers[id];
        let port = IDS.iter().position(|&other| other == id).unwrap_or(0) as u16;
        let entry = ServerEntry {
            id: id.into(),
            software_version: None,
            service: "s".into(),
            address: ([10, 0, 0, 1], port).into(),
            data_centre: "a".into(),
            slots: 4,
            is_draining: truth.is_draining,
            started_ms: Some(truth.started_ms),
            models: Vec::new(),
        };
        self.directory.insert(entry, self.now_ms);
    }

    /// Receives a response of the start that was `starts_ago` before the current one. Only a server
    /// with a row gets requests, so that others answer none.
    fn hear(&mut self, id: &'static str, notice: ServerNotice, starts_ago: u64) {
        let truth = self.servers.get_mut(id).expect("all ids are present");
        let started_ms = truth.started_ms.wrapping_sub(starts_ago);
        self.directory
            .apply_notice(id, Some(started_ms), notice, self.now_ms);
        if starts_ago > 0 || !truth.is_listed {
            return;
        }
        truth.is_leaving |= notice.is_leaving;
        if let Some(pause) = notice.pause {
            let until_ms = self.now_ms + pause.duration_ms;
            truth.paused_until_ms = truth.paused_until_ms.max(until_ms);
        }
    }

    /// Checks that exactly those servers get requests that may get them.
    fn check(&self) {
        let usable: Vec<&str> = self
            .directory
            .usable("s", &VersionConstraint::Any, self.now_ms)
            .map(|server| &*server.entry.id)
            .collect();
        let allowed: Vec<&str> = self
            .servers
            .iter()
            .filter(|(_, truth)| truth.is_listed && !truth.is_draining && !truth.is_leaving)
            .filter(|(_, truth)| truth.paused_until_ms <= self.now_ms)
            .map(|(&id, _)| id)
            .collect();
        assert_eq!(usable, allowed, "at {} ms", self.now_ms);
    }
}

#[test]
fn no_server_gets_what_it_may_not_and_none_stays_shut_after_its_time() {
    arbtest(|u| {
        let mut history = History::new();
        while !u.is_empty() {
            history.step(u)?;
            history.check();
        }
        Ok(())
    });
}
