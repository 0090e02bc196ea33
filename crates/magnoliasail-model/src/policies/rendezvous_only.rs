//! The baseline that sends each adapter to its first server by rendezvous.

use {
    super::choice,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs, score},
};

/// Sends a request to the first server by rendezvous of its adapter.
#[derive(Clone, Debug, Default)]
pub(crate) struct RendezvousOnly {}

impl Placement for RendezvousOnly {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        situation: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        let model = adapter.model();
        situation
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !situation.excluded.contains(vm))
            .max_by_key(|(vm, _)| score(&model, vm))
            .map(|(vm, _)| choice(situation.servers, vm, adapter))
    }
}
