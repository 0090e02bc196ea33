//! A baseline that sends each request to the server that ranks highest for its adapter.

use {
    super::placement_on,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs, score},
};

/// Chooses the live server that ranks highest for the adapter by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub(crate) struct RendezvousOnly {}

impl Placement for RendezvousOnly {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        let model = adapter.model();
        context
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !context.excluded.contains(vm))
            .max_by_key(|(vm, _)| score(&model, vm))
            .map(|(vm, _)| placement_on(context.servers, vm, adapter))
    }
}
