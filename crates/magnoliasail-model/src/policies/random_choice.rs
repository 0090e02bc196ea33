//! A baseline that sends each request to a random live server.

use {
    super::placement_on,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64,
};

/// Chooses a random live server, whether or not it holds the adapter.
#[derive(Clone, Debug)]
pub(crate) struct RandomChoice {
    rng: Pcg64,
}

impl RandomChoice {
    /// Creates the policy of an entry, whose index seeds the random choices.
    pub(crate) fn new(entry: usize) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(entry as u64),
        }
    }
}

impl Placement for RandomChoice {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        context: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        let live: Vec<_> = context
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !context.excluded.contains(vm))
            .map(|(vm, _)| vm)
            .collect();
        if live.is_empty() {
            return None;
        }
        let vm = live[self.rng.random_range(0..live.len())];
        Some(placement_on(context.servers, vm, adapter))
    }
}
