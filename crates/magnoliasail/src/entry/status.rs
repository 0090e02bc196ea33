//! The status documents of an entry, which operators read.

use {
    super::core_worker::{Shared, chosen_server},
    magnoliasail_core::{Entry, PlacementChoice, Router, RouterSettings, ServerState},
    serde_json::{Value, json},
    std::sync::atomic::Ordering,
};

const STALE_TABLE_MS: u64 = 60_000;
const STALE_LIST_MS: u64 = 60_000;

/// Returns the status of an entry as JSON.
pub(super) fn entry_status(shared: &Shared, core: &Entry<Router>, now_ms: u64) -> String {
    let active_table = core.active_table();
    let servers: Vec<Value> = core
        .membership()
        .servers()
        .map(|vm| server_status(core, vm))
        .collect();
    let populations: Vec<Value> = core
        .admission()
        .iter()
        .map(|(name, share, in_flight, waiting)| {
            json!({
                "population": name,
                "share": share,
                "in_flight": in_flight,
                "waiting": waiting,
            })
        })
        .collect();
    let table_age_ms = now_ms.saturating_sub(active_table.confirmed_ms());
    let list_age_ms = now_ms.saturating_sub(core.membership().list_as_of_ms());
    let status = json!({
        "role": "entry",
        "vm": shared.vm,
        "data_centre": shared.data_centre,
        "draining": shared.is_draining.load(Ordering::SeqCst),
        "table": {
            "version": active_table.version(),
            "age_ms": table_age_ms,
            "rejected": active_table.rejected().map(ToString::to_string),
        },
        "list_age_ms": list_age_ms,
        "servers": servers,
        "populations": populations,
        "load_budget_per_s": core.load_budget().rate_per_s(),
        "suspects": core.suspect_count(),
        "refusals": shared.metrics.refusals(),
        "retries": shared.metrics.retries(),
        "duty_restarts": shared.supervisor.restarts(),
        "attention": attention_notes(core, table_age_ms, list_age_ms),
    });
    status.to_string()
}

fn server_status(core: &Entry<Router>, vm: &magnoliasail_core::VmEntry) -> Value {
    let state = core.membership().state(&vm.vm);
    let view = core.servers().get(&vm.vm).cloned().unwrap_or_default();
    json!({
        "vm": vm.vm,
        "role": vm.role.to_string(),
        "service": vm.service,
        "slot": vm.slot,
        "data_centre": vm.data_centre,
        "state": state.to_string(),
        "running": view.running,
        "queued": view.queued,
        "capacity": view.capacity,
        "slots": view.slots,
        "pinned": view.pinned,
        "loading": view.loading,
        "residents": view.residents.len(),
    })
}

/// Returns the problems that an operator should look at first, each with its remedy where there is
/// one.
fn attention_notes(core: &Entry<Router>, table_age_ms: u64, list_age_ms: u64) -> Vec<String> {
    let mut notes = Vec::new();
    if let Some(error) = core.active_table().rejected() {
        notes.push(format!("the table was rejected: {error}"));
    }
    if core.active_table().version() == 0 {
        notes.push("no table has been applied; check the configuration service".to_owned());
    } else if table_age_ms > STALE_TABLE_MS {
        notes.push(format!(
            "the table was last confirmed {} s ago; check the configuration service",
            table_age_ms / 1_000
        ));
    }
    if list_age_ms > STALE_LIST_MS {
        notes.push(format!(
            "the list of VMs is {} s old; check the platform",
            list_age_ms / 1_000
        ));
    }
    for vm in core.membership().servers() {
        if core.membership().state(&vm.vm) == ServerState::Unreachable {
            notes.push(format!("{} is listed but has no link", vm.vm));
        }
    }
    if core.suspect_count() > 0 {
        notes.push(format!(
            "{} request(s) are suspected of crashing servers",
            core.suspect_count()
        ));
    }
    notes
}

/// Returns as JSON which server a request for a model would go to, with the data of every candidate
/// on which the placement rests.
pub(super) fn explain(
    core: &Entry<Router>,
    model: &str,
    choice: Option<&PlacementChoice>,
) -> String {
    let table = core.active_table().table();
    let Some(adapter) = table.resolve(model) else {
        return json!({ "error": format!("the table has no model `{model}`") }).to_string();
    };
    let settings = RouterSettings::default();
    let mut servers: Vec<Value> = core
        .servers()
        .iter()
        .filter(|(_, view)| view.slots > 0)
        .map(|(vm, view)| {
            json!({
                "vm": vm,
                "live": view.is_live,
                "resident": view.residents.contains(&adapter),
                "expected_wait_ms": view.expected_wait_ms(&settings),
                "rank_score": magnoliasail_core::score(&adapter.model(), vm),
            })
        })
        .collect();
    servers.sort_by_key(|server| std::cmp::Reverse(server["rank_score"].as_u64()));
    let chosen = choice.map(|choice| {
        let (vm, why) = chosen_server(choice);
        json!({ "vm": vm, "why": why })
    });
    json!({ "model": adapter.model(), "chosen": chosen, "servers": servers }).to_string()
}
