//! What a backend server has told the VMs that send to it, and whether they keep to it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after the first answer that says that the server is leaving during which new work may still
/// arrive: the drain time of the fleet, and some for the way.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);
/// Time after a refusal with `retry-after` during which requests may still arrive.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach the server during the rest of a pause.
const MAX_REQUESTS_IN_PAUSE: u32 = 2;

/// The VM that sends a request: the peer of its connection, or `None` if there is only one VM.
pub(super) type VmKey = Option<SocketAddr>;

/// What the server has told each VM.
#[derive(Debug, Default)]
pub(super) struct Statements {
    by_vm: HashMap<VmKey, VmStatements>,
}

#[derive(Debug, Default)]
struct VmStatements {
    /// When the VM was first told that the server is leaving.
    leaving_since: Option<Instant>,
    pause: Option<Pause>,
}

/// A pause that the server has asked for.
#[derive(Debug)]
struct Pause {
    strict_from: Instant,
    end: Instant,
    requests: u32,
}

impl Statements {
    /// Records an answer to a VM that says that the server is leaving.
    pub(super) fn record_leaving(&mut self, vm: VmKey) {
        let statements = self.by_vm.entry(vm).or_default();
        statements.leaving_since.get_or_insert_with(Instant::now);
    }

    /// Records a refusal that asks a VM for a pause. A pause that is in progress is only prolonged.
    pub(super) fn record_pause(&mut self, vm: VmKey, duration: Duration) {
        let now = Instant::now();
        let end = now + duration;
        let statements = self.by_vm.entry(vm).or_default();
        match statements.pause.as_mut().filter(|pause| pause.end > now) {
            Some(pause) => pause.end = pause.end.max(end),
            None => {
                statements.pause = Some(Pause {
                    strict_from: now + PAUSE_GRACE,
                    end,
                    requests: 0,
                });
            }
        }
    }

    /// Counts a request of a VM; returns the name of the guarantee that it violates, if any.
    pub(super) fn violation(&mut self, vm: VmKey) -> Option<&'static str> {
        let statements = self.by_vm.get_mut(&vm)?;
        let now = Instant::now();
        let leaving_since = statements.leaving_since;
        if leaving_since.is_some_and(|since| now > since + LEAVING_GRACE) {
            return Some("servers that say they leave get no new work");
        }
        let pause = statements.pause.as_mut()?;
        if now < pause.strict_from || now >= pause.end {
            return None;
        }
        pause.requests += 1;
        (pause.requests > MAX_REQUESTS_IN_PAUSE)
            .then_some("servers that ask for a pause get no requests")
    }
}
