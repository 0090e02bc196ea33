//! Baseline policies that the placement policy of the product must outperform.

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
    /// The product's policy, [`Router`](magnoliasail_core::Router).
    Router,
    /// Sends each request to a random live server.
    Random,
    /// Sends each request to the live server with the fewest requests.
    LeastLoaded,
    /// Sends each request to the live server that ranks highest for its adapter by rendezvous
    /// hashing.
    Rendezvous,
}

/// Returns the placement on a server, as a load unless the adapter is resident or being loaded.
fn placement_on(servers: &Servers, vm: &Arc<str>, adapter: &AdapterRef) -> PlacementChoice {
    let is_resident = servers
        .get(vm)
        .is_some_and(|view| view.residents.contains(adapter));
    if is_resident {
        PlacementChoice::Resident(Arc::clone(vm))
    } else {
        PlacementChoice::Load(Arc::clone(vm))
    }
}
