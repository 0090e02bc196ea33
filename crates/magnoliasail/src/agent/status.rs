//! The state of an agent as a document for operators.

use {super::core_worker::Shared, magnoliasail_core::Agent, serde_json::json};

/// Returns the state of an agent as JSON.
pub(super) fn agent(shared: &Shared, core: &Agent, now_ms: u64) -> String {
    let (running, waiting) = core.request_counts();
    let slots = core.slots();
    let residents: Vec<String> = slots.adapters().map(|adapter| adapter.model()).collect();
    let adoption = core.active_table();
    let status = json!({
        "role": "agent",
        "vm": shared.vm,
        "data_centre": shared.data_centre,
        "service": shared.core.service,
        "slot": shared.core.slot,
        "draining": core.is_draining(),
        "table": {
            "version": adoption.version(),
            "age_ms": now_ms.saturating_sub(adoption.confirmed_ms()),
            "rejected": adoption.rejected().map(ToString::to_string),
        },
        "running": running,
        "waiting": waiting,
        "capacity": shared.core.capacity,
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
