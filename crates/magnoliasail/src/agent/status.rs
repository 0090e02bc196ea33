//! The status document of an agent, which operators read.

use {super::core_worker::Shared, magnoliasail_core::Agent, serde_json::json};

/// Returns the status of an agent as JSON.
pub(super) fn agent_status(shared: &Shared, core: &Agent, now_ms: u64) -> String {
    let (running, waiting) = core.request_counts();
    let slots = core.slots();
    let residents: Vec<String> = slots.adapters().map(|adapter| adapter.model()).collect();
    let active_table = core.active_table();
    let status = json!({
        "role": "agent",
        "vm": shared.vm,
        "data_centre": shared.data_centre,
        "service": shared.settings.service,
        "slot": shared.settings.slot,
        "draining": core.is_draining(),
        "table": {
            "version": active_table.version(),
            "age_ms": now_ms.saturating_sub(active_table.confirmed_ms()),
            "rejected": active_table.rejected().map(ToString::to_string),
        },
        "running": running,
        "waiting": waiting,
        "capacity": shared.settings.capacity,
        "slots": slots.len(),
        "pinned": slots.pinned(),
        "loading": slots.loading(),
        "residents": residents,
        "suspects": core.suspect_count(),
        "refusals": shared.metrics.refusals(),
        "duty_restarts": shared.supervisor.restarts(),
    });
    status.to_string()
}
