//! The command `capacity`: the slopes from which docs/CAPACITY.md is worked out.

use {
    crate::{allocator::bytes_of, known_red},
    magnoliasail_core::{
        AdapterRef, Entry, EntryEvent, EntrySettings, Placement, PlacementContext, Router, Servers,
        entry::{RequestKind, Submission},
        job::{JobAnswer, JobKey, JobLedger},
        message::{Adapter, LoadReport},
        table::{Deployment, Pages, PublishedTable, Table},
    },
    magnoliasail_model::{Deployment as Owner, PolicyKind, Scenario, Workload, measure},
    prost::Message,
    std::{fmt::Write, hint::black_box, process::ExitCode, sync::Arc, time::Instant},
};

const RUNNERS: [usize; 3] = [20, 200, 600];
const ADAPTERS: [usize; 2] = [3_000, 28_000];
const SLOTS: usize = 8;
const DECISIONS: usize = 20_000;
const PAGES: usize = 64;
const KEY: &str = "key";

/// Bytes that one node may use, from the letter.
const NODE_BYTES: usize = 256 << 20;
/// Bytes a second that one node may use for control, from the letter.
const NODE_BYTES_PER_S: f64 = 5_000.0;
/// Requests in flight at one entry at the size of the letter.
const ENTRY_REQUESTS: usize = 4_000;

/// Measures and prints every slope; with `is_checking`, judges the counts.
pub(crate) fn run(is_checking: bool) -> ExitCode {
    decisions();
    let adapter_bytes = adapters();
    let runner_bytes = runners();
    let request_bytes = requests();
    let job_bytes = jobs();
    let change_bytes = changes();
    let report_bytes_per_s = reports();
    if !is_checking {
        return ExitCode::SUCCESS;
    }
    let entry_bytes = 28_000 * adapter_bytes + 600 * runner_bytes + ENTRY_REQUESTS * request_bytes;
    let agent_bytes = 28_000 * adapter_bytes + 100_000 * job_bytes;
    let change_bytes_per_s = 8_600.0 / 86_400.0 * change_bytes as f64;
    let cell_bytes_per_s = 12_000.0 / 350.0 * report_bytes_per_s;
    let checks = [
        (
            "entry-memory".to_owned(),
            entry_bytes < NODE_BYTES,
            format!("{entry_bytes} bytes"),
        ),
        (
            "agent-memory".to_owned(),
            agent_bytes < NODE_BYTES,
            format!("{agent_bytes} bytes"),
        ),
        (
            "table-traffic".to_owned(),
            change_bytes_per_s < NODE_BYTES_PER_S,
            format!("{change_bytes_per_s:.0} bytes/s"),
        ),
        (
            "report-traffic-of-a-cell".to_owned(),
            cell_bytes_per_s < NODE_BYTES_PER_S,
            format!("{cell_bytes_per_s:.0} bytes/s"),
        ),
    ];
    if known_red::judge(&checks) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(format!("adapter-{index}"), "v1", format!("digest-{index}"))
}

/// Builds servers whose slots hold the adapters in turn.
fn servers(runners: usize, adapters: usize) -> Servers {
    let mut servers = Servers::default();
    for runner in 0..runners {
        let vm: Arc<str> = format!("runner-{runner:04}").into();
        let resident = (0..SLOTS)
            .map(|slot| Adapter::from(&adapter((runner * SLOTS + slot) % adapters)))
            .collect();
        let report = LoadReport {
            capacity: 16,
            slots: SLOTS as u32,
            running: (runner % 16) as u32,
            full: true,
            resident,
            ..LoadReport::default()
        };
        servers.apply(&vm, &report, 0);
        servers.get_or_insert(&vm).is_live = true;
    }
    servers
}

/// Times a placement decision, over adapters that are resident and adapters that are not.
fn decisions() {
    for runners in RUNNERS {
        for adapters in ADAPTERS {
            let servers = servers(runners, adapters);
            let names: Vec<AdapterRef> = (0..1_000).map(|n| adapter(n * 7 % adapters)).collect();
            let deployment = Deployment::default();
            let mut router = Router::default();
            let started = Instant::now();
            for number in 0..DECISIONS {
                let situation = PlacementContext {
                    servers: &servers,
                    excluded: &[],
                    deployment: &deployment,
                    budget_wait_ms: 0,
                };
                black_box(router.choose(0, &names[number % names.len()], situation));
            }
            let each_us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
            println!("decision: {runners} runners, {adapters} adapters: {each_us:.2} us");
        }
    }
}

fn pages(adapters: usize) -> Pages {
    let mut pages = Pages::default();
    for page in 0..PAGES {
        let mut csv = "adapter,version,digest,current\n".to_owned();
        for index in (page..adapters).step_by(PAGES) {
            let _ = writeln!(csv, "adapter-{index},v1,digest-{index},yes");
        }
        pages.insert(format!("adapters-{page}"), csv);
    }
    let hash = Table::key_hash_hex(KEY);
    pages.insert(
        "populations",
        format!(
            "population,key_sha256,share,priority,max_in_flight,rate_per_s\n\
             callers,{hash},1,5,100000,100000\n"
        ),
    );
    pages
}

/// Returns the bytes per adapter of a table with its pages, and prints the time of an adoption.
fn adapters() -> usize {
    let mut measured = Vec::new();
    for count in ADAPTERS {
        let started = Instant::now();
        let (_kept, bytes) = bytes_of(|| {
            let pages = pages(count);
            let table = Table::parse(1, &pages);
            (pages, table)
        });
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        println!("table: {count} adapters: {bytes} bytes, adopted in {took_ms:.1} ms");
        measured.push((count, bytes));
    }
    slope("adapter", &measured)
}

fn runners() -> usize {
    let mut measured = Vec::new();
    for count in RUNNERS {
        let (_kept, bytes) = bytes_of(|| servers(count, 28_000));
        measured.push((count, bytes));
    }
    slope("runner with its residents", &measured)
}

/// Returns the bytes per request that waits at an entry.
fn requests() -> usize {
    let mut measured = Vec::new();
    for count in [100, 500] {
        let (_kept, bytes) = bytes_of(|| {
            let mut entry = Entry::new(EntrySettings::default(), Router::default(), 1, 0);
            let mut actions = Vec::new();
            let offer = PublishedTable {
                version: 1,
                as_of_ms: 1,
                roster_published_ms: 0,
                pages: pages(64),
            };
            entry.handle(0, EntryEvent::Table(offer), &mut actions);
            entry.handle(0, EntryEvent::VmList(Default::default()), &mut actions);
            for request in 0..count as u64 {
                let submission = Submission {
                    request,
                    bearer: KEY.into(),
                    kind: RequestKind::Model {
                        model: format!("adapter-{}", request % 64).into(),
                    },
                    body: vec![0; 256].into(),
                    budget_ms: 60_000,
                };
                entry.handle(2_000, EntryEvent::Submit(submission), &mut actions);
            }
            entry
        });
        measured.push((count, bytes));
    }
    slope("request with a body of 256 bytes", &measured)
}

/// Returns the bytes per job in a ledger.
fn jobs() -> usize {
    let mut measured = Vec::new();
    for count in [10_000, 100_000] {
        let (_kept, bytes) = bytes_of(|| {
            let mut ledger = JobLedger::new(1_000_000, 1 << 30);
            for number in 0..count {
                let text = format!("01890a5d-ac96-774b-bcce-{number:012x}");
                let Some(key) = JobKey::parse(&text) else {
                    continue;
                };
                let span = key.span(0, 0);
                ledger.start(&key, span, number as u64);
                let answer = JobAnswer {
                    status: 200,
                    content_type: "application/json".into(),
                    chunks: vec![vec![0; 100].into()],
                };
                ledger.complete(&text, answer);
            }
            ledger
        });
        measured.push((count, bytes));
    }
    slope("job with an answer of 100 bytes", &measured)
}

/// Returns the bytes of one changed row on the way to a peer at the size of the letter.
fn changes() -> usize {
    let mut largest = 0;
    for count in ADAPTERS {
        let known = pages(count);
        let mut changed = known.clone();
        let csv = known.get("adapters-3").unwrap_or_default();
        changed.insert("adapters-3", csv.replacen("v1", "v2", 1));
        let offer = PublishedTable {
            version: 2,
            as_of_ms: 1,
            roster_published_ms: 0,
            pages: changed,
        };
        let bytes = offer.to_message(1, &known).encoded_len();
        println!("change of one row among {count}, in {PAGES} pages: {bytes} bytes to each peer");
        largest = largest.max(bytes);
    }
    largest
}

/// Returns the bytes of load reports from one runner to one entry in a second.
fn reports() -> f64 {
    let scenario = Scenario::new(Owner::Cooperative, Workload::Bulk).with_seconds(30, 30);
    let figures = measure(&scenario, PolicyKind::Router);
    let links = (scenario.runners * scenario.entries) as f64;
    let seconds = scenario.measured_s as f64;
    let messages = figures.reports as f64 / links / seconds;
    let bytes = figures.report_bytes as f64 / links / seconds;
    println!("load reports: {messages:.2} messages/s and {bytes:.1} bytes/s on each link");
    bytes
}

fn slope(what: &str, measured: &[(usize, usize)]) -> usize {
    let (first, last) = (measured[0], measured[measured.len() - 1]);
    let each = (last.1 - first.1) / (last.0 - first.0);
    println!("memory: {each} bytes per {what} {measured:?}");
    each
}
