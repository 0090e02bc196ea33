//! A request that cannot be served gets its final answer immediately, with a retry delay.

use magnoliasail_core::{
    Entry, EntryAction, EntryEvent, EntrySettings, Outcome, RefusalReason, Router, VmEntry, VmList,
    VmRole, VmState,
    entry::{Failure, RequestKind, Submission},
    message::{AgentHello, AgentMessage, Failed, LoadReport, Refused, entry_message},
    table::{Pages, PublishedTable, Table},
};

const KEY: &str = "key";
const START_MS: u64 = 10_000;
/// Time after which the load budget allows another load.
const LOAD_INTERVAL_MS: u64 = 1_000;

fn published_table() -> PublishedTable {
    let hash = Table::key_hash_hex(KEY);
    let mut pages = Pages::default();
    pages.insert(
        "adapters",
        "adapter,version,digest,current\nbreeds,v1,d,yes\n",
    );
    pages.insert(
        "populations",
        format!(
            "population,key_sha256,share,priority,max_in_flight,rate_per_s\ncallers,{hash},1,5,9,99\n"
        ),
    );
    PublishedTable {
        version: 1,
        as_of_ms: 1,
        roster_published_ms: 0,
        pages,
    }
}

struct Fixture {
    now_ms: u64,
    entry: Entry<Router>,
    actions: Vec<EntryAction>,
}

impl Fixture {
    /// Creates an entry that is linked to `servers` idle engines.
    fn new(servers: usize) -> Self {
        let settings = EntrySettings::default();
        let mut fixture = Self {
            now_ms: START_MS,
            entry: Entry::new(settings, Router::default(), 1, START_MS),
            actions: Vec::new(),
        };
        let vm = |index| VmEntry {
            vm: format!("vm-{index}").into(),
            role: VmRole::Model,
            service: "".into(),
            slot: "".into(),
            address: "".into(),
            data_centre: "dc".into(),
            state: VmState::Live,
        };
        let vms = (0..servers).map(vm).collect();
        fixture.handle(EntryEvent::Table(published_table()));
        fixture.handle(EntryEvent::VmList(VmList { as_of_ms: 1, vms }));
        for index in 0..servers {
            let vm = format!("vm-{index}");
            let hello = AgentHello {
                vm: vm.clone(),
                incarnation: 1,
                table_version: 1,
                draining: false,
            };
            fixture.receive(&vm, hello);
            let report = LoadReport {
                capacity: 4,
                slots: 4,
                full: true,
                ..LoadReport::default()
            };
            fixture.receive(&vm, report);
        }
        fixture
    }

    fn handle(&mut self, event: EntryEvent) {
        self.entry.handle(self.now_ms, event, &mut self.actions);
    }

    fn await_load_budget(&mut self) {
        self.now_ms += LOAD_INTERVAL_MS;
        self.handle(EntryEvent::Tick);
    }

    fn receive<M: Into<AgentMessage>>(&mut self, vm: &str, message: M) {
        self.handle(EntryEvent::Message {
            vm: vm.into(),
            message: message.into(),
        });
    }

    fn submit(&mut self) {
        self.handle(EntryEvent::Submit(Submission {
            request: 1,
            bearer: KEY.into(),
            kind: RequestKind::Model {
                model: "breeds".into(),
            },
            body: "body".into(),
            budget_ms: 60_000,
        }));
    }

    /// Returns the VM and the number of the attempt that was sent, if any, and clears the actions.
    fn take_sent_attempt(&mut self) -> Option<(String, u64)> {
        let actions = std::mem::take(&mut self.actions);
        actions.into_iter().find_map(|action| match action {
            EntryAction::Send { vm, message } => match message.kind {
                Some(entry_message::Kind::Submit(submit)) => Some((vm.to_string(), submit.attempt)),
                _ => None,
            },
            _ => None,
        })
    }

    fn failure(&self) -> Option<Failure> {
        self.actions.iter().find_map(|action| match action {
            EntryAction::Failed { failure, .. } => Some(*failure),
            _ => None,
        })
    }
}

fn queue_full(attempt: u64) -> Refused {
    Refused {
        attempt,
        reason: RefusalReason::QueueFull.code(),
        retry_after_ms: 250,
        ..Refused::default()
    }
}

#[test]
fn a_request_that_every_server_refuses_is_immediately_reported_as_not_run() {
    let mut fixture = Fixture::new(2);
    fixture.submit();
    let mut tried = Vec::new();
    for _ in 0..2 {
        fixture.await_load_budget();
        let (vm, attempt) = fixture.take_sent_attempt().expect("an attempt");
        fixture.receive(&vm, queue_full(attempt));
        tried.push(vm);
    }
    tried.sort();
    assert_eq!(tried, ["vm-0", "vm-1"], "each server is tried once");
    let failure = fixture.failure().expect("a final answer without a tick");
    assert_eq!(failure.outcome, Outcome::NotRun);
    assert!(failure.retry_after_ms > 0);
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut fixture = Fixture::new(2);
    fixture.submit();
    let (vm, attempt) = fixture.take_sent_attempt().expect("an attempt");
    let reason = RefusalReason::EngineCrashed.code();
    fixture.receive(&vm, Failed { attempt, reason });
    fixture.await_load_budget();
    let (vm, attempt) = fixture.take_sent_attempt().expect("a second attempt");
    fixture.receive(&vm, queue_full(attempt));
    let failure = fixture.failure().expect("a final answer without a tick");
    assert_eq!(failure.outcome, Outcome::Unknown);
}

#[test]
fn a_request_with_an_unknown_key_is_refused_without_an_attempt() {
    let mut fixture = Fixture::new(1);
    fixture.handle(EntryEvent::Submit(Submission {
        request: 1,
        bearer: "wrong".into(),
        kind: RequestKind::Model {
            model: "breeds".into(),
        },
        body: "body".into(),
        budget_ms: 60_000,
    }));
    let failure = fixture.failure().expect("a final answer");
    assert_eq!(failure.reason, RefusalReason::Unauthorized);
    assert!(fixture.take_sent_attempt().is_none());
}
