//! A baseline that sends each request to the live server with the fewest requests.

use {
    super::placement_on,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs},
};

/// Chooses the live server with the fewest requests, whether or not it holds the adapter.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeastLoaded {}

impl Placement for LeastLoaded {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        context
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !context.excluded.contains(vm))
            .min_by_key(|(_, view)| view.occupied())
            .map(|(vm, _)| placement_on(context.servers, vm, adapter))
    }
}
