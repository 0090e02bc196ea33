//! The command `capacity`: time and memory per item, the basis of docs/CAPACITY.md.
//!
//! Memory is measured at a small and a large count; the slope between the two is the memory per
//! item, without the fixed part.

use {
    crate::{allocator::measure_bytes, known_red},
    magnoliasail_core::{
        AdapterRef, Entry, EntryEvent, EntrySettings, Placement, PlacementContext, Router, Servers,
        entry::{RequestKind, Submission},
        gateway,
        job::{JobAnswer, JobKey, JobLedger},
        message::{Adapter, LoadReport},
        table::{Deployment, Pages, PublishedTable, Table},
    },
    magnoliasail_model::{
        Deployment as SimulatedDeployment, PolicyKind, Scenario, Workload, measure,
    },
    prost::Message,
    std::{fmt::Write, hint::black_box, process::ExitCode, sync::Arc, time::Instant},
};

const ENGINE_COUNTS: [usize; 3] = [20, 200, 600];
const ADAPTER_COUNTS: [usize; 2] = [3_000, 28_000];
const SLOTS_PER_ENGINE: usize = 8;
const DECISION_COUNT: usize = 20_000;
const ADAPTER_PAGES: usize = 64;
const CALLER_KEY: &str = "key";

/// Memory that one node may use, from the project's requirements.
const MAX_NODE_BYTES: usize = 256 << 20;
/// Traffic that one node may use for control messages, from the project's requirements.
const MAX_CONTROL_BYTES_PER_S: f64 = 5_000.0;
/// Requests in flight at one entry of the required size.
const REQUESTS_PER_ENTRY: usize = 4_000;

/// Measures and prints everything; with `is_checking`, compares the byte counts with their bounds.
pub(crate) fn run(is_checking: bool) -> ExitCode {
    measure_decisions();
    measure_gateway_decisions();
    let adapter_bytes = measure_adapters();
    let engine_bytes = measure_engines();
    let request_bytes = measure_requests();
    let job_bytes = measure_jobs();
    let change_bytes = measure_changes();
    let report_bytes_per_s = measure_reports();
    if !is_checking {
        return ExitCode::SUCCESS;
    }
    // The required size: 28,000 adapters, 600 engines, 100,000 jobs and 8,600 table changes a day.
    let entry_bytes =
        28_000 * adapter_bytes + 600 * engine_bytes + REQUESTS_PER_ENTRY * request_bytes;
    let agent_bytes = 28_000 * adapter_bytes + 100_000 * job_bytes;
    let change_bytes_per_s = 8_600.0 / 86_400.0 * change_bytes as f64;
    // At the size to design for in CONTRIBUTING.md, 12,000 engines behind 350 nodes, about 34
    // engines report to each node.
    let cell_bytes_per_s = 12_000.0 / 350.0 * report_bytes_per_s;
    let checks = [
        (
            "entry-memory".to_owned(),
            entry_bytes < MAX_NODE_BYTES,
            format!("{entry_bytes} bytes"),
        ),
        (
            "agent-memory".to_owned(),
            agent_bytes < MAX_NODE_BYTES,
            format!("{agent_bytes} bytes"),
        ),
        (
            "table-traffic".to_owned(),
            change_bytes_per_s < MAX_CONTROL_BYTES_PER_S,
            format!("{change_bytes_per_s:.0} bytes/s"),
        ),
        (
            "report-traffic-of-a-cell".to_owned(),
            cell_bytes_per_s < MAX_CONTROL_BYTES_PER_S,
            format!("{cell_bytes_per_s:.0} bytes/s"),
        ),
    ];
    if known_red::report(&checks) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(format!("adapter-{index}"), "v1", format!("digest-{index}"))
}

/// Builds servers with full slots, to which the adapters are assigned in turn.
fn servers(engines: usize, adapters: usize) -> Servers {
    let mut servers = Servers::default();
    for index in 0..engines {
        let vm: Arc<str> = format!("runner-{index:04}").into();
        let resident = (0..SLOTS_PER_ENGINE)
            .map(|slot| Adapter::from(&adapter((index * SLOTS_PER_ENGINE + slot) % adapters)))
            .collect();
        let report = LoadReport {
            capacity: 16,
            slots: SLOTS_PER_ENGINE as u32,
            running: (index % 16) as u32,
            full: true,
            resident,
            ..LoadReport::default()
        };
        servers.apply(&vm, &report, 0);
        servers.get_or_insert(&vm).is_live = true;
    }
    servers
}

/// Prints the mean time of a placement decision.
///
/// The requested adapters include ones that are resident and, where there are more adapters than
/// slots, ones that are not.
fn measure_decisions() {
    for engines in ENGINE_COUNTS {
        for adapters in ADAPTER_COUNTS {
            let servers = servers(engines, adapters);
            let names: Vec<AdapterRef> = (0..1_000)
                .map(|number| adapter(number * 7 % adapters))
                .collect();
            let deployment = Deployment::default();
            let mut router = Router::default();
            let started = Instant::now();
            for number in 0..DECISION_COUNT {
                let context = PlacementContext {
                    servers: &servers,
                    excluded: &[],
                    deployment: &deployment,
                    budget_wait_ms: 0,
                };
                black_box(router.choose(0, &names[number % names.len()], context));
            }
            let decision_us = started.elapsed().as_secs_f64() * 1e6 / DECISION_COUNT as f64;
            println!("decision: {engines} engines, {adapters} adapters: {decision_us:.2} us");
        }
    }
}

/// Prints the mean time of a placement decision of the gateway, for an adapter that three engines
/// have and for one that must be fetched.
fn measure_gateway_decisions() {
    for engines in ENGINE_COUNTS {
        for holders in [3, 0] {
            let candidates = gateway_candidates(engines, holders);
            let placement = gateway::Placement::default();
            let started_at = Instant::now();
            for request in 0..DECISION_COUNT {
                let affinity = gateway::Affinity::new("model/adapter", 0, "request");
                black_box((request, placement.pick(affinity, &candidates)));
            }
            let decision_us = started_at.elapsed().as_secs_f64() * 1e6 / DECISION_COUNT as f64;
            println!("gateway decision: {engines} engines, {holders} holders: {decision_us:.1} us");
        }
    }
}

/// Returns engines of which the first `holders` have the requested adapter.
fn gateway_candidates(engines: usize, holders: usize) -> Vec<gateway::Candidate> {
    (0..engines)
        .map(|index| gateway::Candidate {
            name: format!("10.0.{}.{}:80", index / 250, index % 250).into(),
            is_local: index % 5 == 0,
            wait_ms: (index % 40) as f64,
            failure_share: 0.0,
            first_byte_ms: 50.0,
            holding: if index < holders {
                gateway::Holding::Resident
            } else {
                gateway::Holding::Absent
            },
            copy_load_ms: 25.0,
            fetch_ms: 250.0,
            ready_in_ms: 0,
        })
        .collect()
}

fn pages(adapters: usize) -> Pages {
    let mut pages = Pages::default();
    for page in 0..ADAPTER_PAGES {
        let mut csv = "adapter,version,digest,current\n".to_owned();
        for index in (page..adapters).step_by(ADAPTER_PAGES) {
            let _ = writeln!(csv, "adapter-{index},v1,digest-{index},yes");
        }
        pages.insert(format!("adapters-{page}"), csv);
    }
    let hash = Table::key_hash_hex(CALLER_KEY);
    pages.insert(
        "populations",
        format!(
            "population,key_sha256,share,priority,max_in_flight,rate_per_s\n\
             callers,{hash},1,5,100000,100000\n"
        ),
    );
    pages
}

/// Returns the bytes per adapter of a table with its pages, and prints the time to build it.
fn measure_adapters() -> usize {
    let mut measured = Vec::new();
    for count in ADAPTER_COUNTS {
        let started = Instant::now();
        let (_retained, bytes) = measure_bytes(|| {
            let pages = pages(count);
            let table = Table::parse(1, &pages);
            (pages, table)
        });
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        println!("table: {count} adapters: {bytes} bytes, built in {took_ms:.1} ms");
        measured.push((count, bytes));
    }
    bytes_per_item("adapter", &measured)
}

/// Returns the bytes per engine, with its resident adapters, that an entry keeps.
fn measure_engines() -> usize {
    let mut measured = Vec::new();
    for count in ENGINE_COUNTS {
        let (_retained, bytes) = measure_bytes(|| servers(count, 28_000));
        measured.push((count, bytes));
    }
    bytes_per_item("engine with its resident adapters", &measured)
}

/// Returns the bytes per request that is queued at an entry.
fn measure_requests() -> usize {
    let mut measured = Vec::new();
    for count in [100, 500] {
        let (_retained, bytes) = measure_bytes(|| {
            let mut entry = Entry::new(EntrySettings::default(), Router::default(), 1, 0);
            let mut actions = Vec::new();
            let table = PublishedTable {
                version: 1,
                as_of_ms: 1,
                roster_published_ms: 0,
                pages: pages(64),
            };
            entry.handle(0, EntryEvent::Table(table), &mut actions);
            entry.handle(0, EntryEvent::VmList(Default::default()), &mut actions);
            for request in 0..count as u64 {
                let submission = Submission {
                    request,
                    bearer: CALLER_KEY.into(),
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
    bytes_per_item("request with a body of 256 bytes", &measured)
}

/// Returns the bytes per completed job in a ledger.
fn measure_jobs() -> usize {
    let mut measured = Vec::new();
    for count in [10_000, 100_000] {
        let (_retained, bytes) = measure_bytes(|| {
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
    bytes_per_item("job with an answer of 100 bytes", &measured)
}

/// Returns the size of the message that sends one changed row to a peer, for the largest table.
fn measure_changes() -> usize {
    let mut largest = 0;
    for count in ADAPTER_COUNTS {
        let known = pages(count);
        let mut changed = known.clone();
        let csv = known.get("adapters-3").unwrap_or_default();
        changed.insert("adapters-3", csv.replacen("v1", "v2", 1));
        let table = PublishedTable {
            version: 2,
            as_of_ms: 1,
            roster_published_ms: 0,
            pages: changed,
        };
        let bytes = table.to_message(1, &known).encoded_len();
        println!(
            "change of one row among {count}, in {ADAPTER_PAGES} pages: {bytes} bytes to each peer"
        );
        largest = largest.max(bytes);
    }
    largest
}

/// Returns the bytes per second of load reports from the agent of one engine to one entry.
fn measure_reports() -> f64 {
    let scenario =
        Scenario::new(SimulatedDeployment::Cooperative, Workload::Bulk).with_seconds(30, 30);
    let figures = measure(&scenario, PolicyKind::Router);
    let links = (scenario.engines * scenario.entries) as f64;
    let seconds = scenario.measured_s as f64;
    let messages = figures.reports as f64 / links / seconds;
    let bytes = figures.report_bytes as f64 / links / seconds;
    println!("load reports: {messages:.2} messages/s and {bytes:.1} bytes/s on each link");
    bytes
}

/// Prints and returns the bytes per item, from pairs of an item count and its bytes.
fn bytes_per_item(item: &str, measured: &[(usize, usize)]) -> usize {
    let (first, last) = (measured[0], measured[measured.len() - 1]);
    let bytes = (last.1 - first.1) / (last.0 - first.0);
    println!("memory: {bytes} bytes per {item} {measured:?}");
    bytes
}
