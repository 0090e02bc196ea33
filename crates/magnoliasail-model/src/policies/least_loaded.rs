//! The baseline that sends a request to the server with the fewest requests.

use {
    super::choice,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs},
};

/// Sends a request to the server with the fewest requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeastLoaded {}

impl Placement for LeastLoaded {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        situation: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        situation
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !situation.excluded.contains(vm))
            .min_by_key(|(_, view)| view.occupied())
            .map(|(vm, _)| choice(situation.servers, vm, adapter))
    }
}
