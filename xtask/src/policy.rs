//! The command `policy`: the placement policy compared with baselines and the clairvoyant bound.
//!
//! Every scenario is simulated under every policy. The clairvoyant bound is the smallest share of
//! requests that miss their adapter if all future requests are known.

use {
    crate::known_red,
    magnoliasail_model::{
        ClairvoyantBound, Deployment, Figures, PolicyKind, Scenario, Workload, clairvoyant_bound,
        measure,
    },
    serde_json::{Value, json},
    std::{
        process::ExitCode,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
    strum::IntoEnumIterator,
};

/// The figures of one scenario under one policy.
#[derive(Clone, Debug)]
struct Measurement {
    scenario: Scenario,
    policy: PolicyKind,
    figures: Figures,
}

/// Measures every scenario under every policy and prints the figures, as tables or as JSON.
///
/// With `is_checking`, it also prints the targets and fails if one is missed that KNOWN-RED.txt
/// doesn't record.
pub(crate) fn run(is_json: bool, is_checking: bool) -> ExitCode {
    let measurements = measure_all();
    if is_json {
        println!("{}", to_json(&measurements));
    } else {
        print_tables(&measurements);
    }
    if is_checking && !known_red::report(&target_checks(&measurements)) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Returns the figures of a policy in a scenario.
fn figures(
    measurements: &[Measurement],
    deployment: Deployment,
    workload: Workload,
    policy: PolicyKind,
) -> &Figures {
    &measurements
        .iter()
        .find(|row| {
            row.policy == policy
                && row.scenario.deployment == deployment
                && row.scenario.workload == workload
        })
        .expect("every scenario is measured under every policy")
        .figures
}

/// Checks the policy against its targets, which come from what users need and not from the figures.
fn target_checks(measurements: &[Measurement]) -> Vec<(String, bool, String)> {
    let mut checks = Vec::new();
    for deployment in Deployment::iter() {
        checks.push(steady_against_bound(measurements, deployment));
        checks.push(steady_against_baselines(measurements, deployment));
        checks.push(flip_recovery(measurements, deployment));
    }
    checks.push(fill_against_least_loaded(measurements));
    for workload in Workload::iter() {
        checks.push(urgent_stalls(measurements, workload));
    }
    checks
}

fn steady_against_bound(
    measurements: &[Measurement],
    deployment: Deployment,
) -> (String, bool, String) {
    const MAX_RATIO: f64 = 1.5;
    let row = figures(
        measurements,
        deployment,
        Workload::Steady,
        PolicyKind::Router,
    );
    let bound = clairvoyant_bound(&Scenario::new(deployment, Workload::Steady)).missed_share;
    (
        format!("{deployment}-steady-stalls-within-1.5-of-bound"),
        row.stalled_share <= MAX_RATIO * bound,
        format!("{:.4} stalled, bound {bound:.4}", row.stalled_share),
    )
}

fn steady_against_baselines(
    measurements: &[Measurement],
    deployment: Deployment,
) -> (String, bool, String) {
    const MAX_RATIO: f64 = 0.5;
    let steady = |policy| figures(measurements, deployment, Workload::Steady, policy);
    let own_share = steady(PolicyKind::Router).stalled_share;
    let best_baseline_share = PolicyKind::iter()
        .filter(|&policy| policy != PolicyKind::Router)
        .map(|policy| steady(policy).stalled_share)
        .fold(f64::INFINITY, f64::min);
    let bound = clairvoyant_bound(&Scenario::new(deployment, Workload::Steady)).missed_share;
    // If half of the best baseline is below the bound, no policy can reach it.
    let max_share = (MAX_RATIO * best_baseline_share).max(bound);
    (
        format!("{deployment}-steady-stalls-half-of-baseline"),
        own_share <= max_share,
        format!("{own_share:.4} stalled, best baseline {best_baseline_share:.4}, bound {bound:.4}"),
    )
}

fn fill_against_least_loaded(measurements: &[Measurement]) -> (String, bool, String) {
    const MIN_RATIO: f64 = 1.3;
    let steady = |policy| {
        figures(
            measurements,
            Deployment::Cooperative,
            Workload::Steady,
            policy,
        )
    };
    let (own, baseline) = (steady(PolicyKind::Router), steady(PolicyKind::LeastLoaded));
    (
        "cooperative-fill-1.3-of-least-loaded".to_owned(),
        own.batch_fill >= MIN_RATIO * baseline.batch_fill
            && own.stalled_share <= baseline.stalled_share,
        format!(
            "fill {:.4} against {:.4}",
            own.batch_fill, baseline.batch_fill
        ),
    )
}

fn urgent_stalls(measurements: &[Measurement], workload: Workload) -> (String, bool, String) {
    const MAX_STALL_MS: u64 = 500;
    let row = figures(
        measurements,
        Deployment::Sahelis,
        workload,
        PolicyKind::Router,
    );
    let stall_ms = row
        .populations
        .get("urgent")
        .map_or(0, |urgent| urgent.stall_p99_ms);
    (
        format!("sahelis-urgent-p99-stall-{workload}"),
        stall_ms <= MAX_STALL_MS,
        format!("{stall_ms} ms of {MAX_STALL_MS} ms"),
    )
}

/// Compares the share of stalled requests after a flip with the steady state.
///
/// The window that counts starts once the store could have loaded every slot twice; it is the last
/// window if the run ends before.
fn flip_recovery(measurements: &[Measurement], deployment: Deployment) -> (String, bool, String) {
    const MAX_RATIO: f64 = 1.2;
    const WINDOW_S: f64 = 10.0;
    let steady = figures(
        measurements,
        deployment,
        Workload::Steady,
        PolicyKind::Router,
    );
    let flip = figures(measurements, deployment, Workload::Flip, PolicyKind::Router);
    let scenario = Scenario::new(deployment, Workload::Flip);
    let slots = (scenario.engines * scenario.slots) as f64;
    let allowed_s = 2.0 * slots / deployment.loads_per_s();
    let due_window = (allowed_s / WINDOW_S).ceil() as usize;
    let last_share = flip.stalled_by_time.last().copied().unwrap_or(1.0);
    let due_share = flip
        .stalled_by_time
        .get(due_window)
        .copied()
        .unwrap_or(last_share);
    (
        format!("{deployment}-flip-recovery"),
        due_share <= MAX_RATIO * steady.stalled_share,
        format!(
            "{due_share:.4} stalled at window {due_window} of {}, steady {:.4}",
            flip.stalled_by_time.len(),
            steady.stalled_share,
        ),
    )
}

/// Returns every combination of a deployment and a workload.
fn scenarios() -> Vec<Scenario> {
    Deployment::iter()
        .flat_map(|deployment| {
            Workload::iter().map(move |workload| Scenario::new(deployment, workload))
        })
        .collect()
}

/// Measures every scenario under every policy, in parallel on all cores.
///
/// The order of the results doesn't depend on the scheduling of the threads.
fn measure_all() -> Vec<Measurement> {
    let jobs: Vec<(Scenario, PolicyKind)> = scenarios()
        .into_iter()
        .flat_map(|scenario| PolicyKind::iter().map(move |policy| (scenario, policy)))
        .collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; jobs.len()]);
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&(scenario, policy)) = jobs.get(index) else {
                        return;
                    };
                    let measurement = Measurement {
                        scenario,
                        policy,
                        figures: measure(&scenario, policy),
                    };
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results[index] = Some(measurement);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_iter().flatten().collect()
}

fn print_tables(measurements: &[Measurement]) {
    print_summary(measurements);
    for scenario in scenarios() {
        let bound = clairvoyant_bound(&scenario);
        println!(
            "\n{} / {}: clairvoyant bound {:.4} missed ({} misses, {} loads allowed)",
            scenario.deployment,
            scenario.workload,
            bound.missed_share,
            bound.misses,
            bound.allowed_loads,
        );
        println!(
            "{:<13} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>8} {:>9}  refusals",
            "policy",
            "arrived",
            "done",
            "stalled",
            "p95 ms",
            "p99 ms",
            "fill",
            "loads",
            "evicts",
            "store",
            "ttft p95",
            "urgent99",
        );
        for measurement in measurements {
            if measurement.scenario == scenario {
                print_row(measurement);
            }
        }
    }
}

/// Prints one line per policy with its means over all scenarios.
fn print_summary(measurements: &[Measurement]) {
    println!("all scenarios, by policy:");
    for policy in PolicyKind::iter() {
        let rows: Vec<&Figures> = measurements
            .iter()
            .filter(|measurement| measurement.policy == policy)
            .map(|measurement| &measurement.figures)
            .collect();
        let count = rows.len().max(1) as f64;
        let mean =
            |value: fn(&Figures) -> f64| rows.iter().map(|row| value(row)).sum::<f64>() / count;
        println!(
            "{policy:<13} stalled {:.4}, mean stall {:.1} ms, fill {:.4}, not completed {:.4}",
            mean(|row| row.stalled_share),
            mean(|row| row.stall_mean_ms),
            mean(|row| row.batch_fill),
            mean(|row| 1.0 - row.completed as f64 / row.arrived.max(1) as f64),
        );
    }
}

fn print_row(measurement: &Measurement) {
    let figures = &measurement.figures;
    let urgent_stall_p99_ms = figures
        .populations
        .get("urgent")
        .map_or(0, |urgent| urgent.stall_p99_ms);
    println!(
        "{:<13} {:>8} {:>8} {:>8.4} {:>8} {:>8} {:>7.4} {:>7} {:>7} {:>6} {:>8} {:>9}  {:?}",
        measurement.policy.to_string(),
        figures.arrived,
        figures.completed,
        figures.stalled_share,
        figures.stall_p95_ms,
        figures.stall_p99_ms,
        figures.batch_fill,
        figures.loads,
        figures.evictions,
        figures.store_refusals,
        figures.first_token_p95_ms,
        urgent_stall_p99_ms,
        figures.refusals,
    );
}

fn to_json(measurements: &[Measurement]) -> Value {
    let rows: Vec<Value> = measurements
        .iter()
        .map(|measurement| {
            let ClairvoyantBound { missed_share, .. } = clairvoyant_bound(&measurement.scenario);
            json!({
                "deployment": measurement.scenario.deployment.to_string(),
                "workload": measurement.scenario.workload.to_string(),
                "policy": measurement.policy.to_string(),
                "clairvoyant_missed_share": missed_share,
                "figures": measurement.figures,
            })
        })
        .collect();
    Value::from(rows)
}
