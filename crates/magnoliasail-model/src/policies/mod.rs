//! Baselines that the product's policy has to beat.

mod least_loaded;
mod random_choice;
mod rendezvous_only;

pub(crate) use self::{
    least_loaded::LeastLoaded, random_choice::RandomChoice, rendezvous_only::RendezvousOnly,
};

use {
    magnoliasail_core::{AdapterRef, PlacementChoice, Servers},
    std::sync::Arc,
    strum::{Display, EnumIter, EnumString},
};

/// A placement policy that can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// The policy of the product.
    Router,
    /// Any live server.
    Random,
    /// The server with the fewest requests.
    LeastLoaded,
    /// The first server by rendezvous of the adapter.
    Rendezvous,
}

/// Returns the choice of a server, which loads the adapter unless it holds it.
fn choice(servers: &Servers, vm: &Arc<str>, adapter: &AdapterRef) -> PlacementChoice {
    let is_resident = servers
        .get(vm)
        .is_some_and(|view| view.residents.contains(adapter));
    if is_resident {
        PlacementChoice::Resident(Arc::clone(vm))
    } else {
        PlacementChoice::Load(Arc::clone(vm))
    }
}
