//! The baseline that sends a request to any live server.

use {
    super::choice,
    magnoliasail_core::{AdapterRef, Placement, PlacementChoice, PlacementContext, TimeMs},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64,
};

/// Sends a request to any live server.
#[derive(Clone, Debug)]
pub(crate) struct RandomChoice {
    random: Pcg64,
}

impl RandomChoice {
    pub(crate) fn new(entry: usize) -> Self {
        Self {
            random: Pcg64::seed_from_u64(entry as u64),
        }
    }
}

impl Placement for RandomChoice {
    fn choose(
        &mut self,
        _now_ms: TimeMs,
        adapter: &AdapterRef,
        situation: PlacementContext<'_>,
    ) -> Option<PlacementChoice> {
        let live: Vec<_> = situation
            .servers
            .iter()
            .filter(|(vm, view)| view.is_live && !situation.excluded.contains(vm))
            .map(|(vm, _)| vm)
            .collect();
        if live.is_empty() {
            return None;
        }
        let vm = live[self.random.random_range(0..live.len())];
        Some(choice(situation.servers, vm, adapter))
    }
}
