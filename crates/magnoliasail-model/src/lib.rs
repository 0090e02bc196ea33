//! A model in virtual time of the engines and the weight store, for measuring the policy.
//!
//! The real cores of entries and agents decide; fake engines and a fake weight store answer.
//! There is no network but a fixed delay. Every run is decided by its seed.
//!
//! ```
//! use magnoliasail_model::{Deployment, PolicyKind, Scenario, Workload, measure};
//!
//! let scenario = Scenario::new(Deployment::Cooperative, Workload::Steady).with_seconds(4, 4);
//! let figures = measure(&scenario, PolicyKind::Router);
//! assert_eq!(figures, measure(&scenario, PolicyKind::Router));
//! ```

mod clairvoyant;
mod engine;
mod figures;
mod policies;
mod scenario;
mod simulation;
mod store;
mod trace;

pub use self::{
    clairvoyant::{ClairvoyantBound, clairvoyant_bound},
    figures::{Figures, PopulationFigures},
    policies::PolicyKind,
    scenario::{Deployment, Scenario, Workload},
    trace::{Arrival, Trace},
};

use {
    self::{
        policies::{LeastLoaded, RandomChoice, RendezvousOnly},
        simulation::Simulation,
    },
    magnoliasail_core::Router,
};

/// Runs a scenario under a policy and returns the figures.
#[must_use]
pub fn measure(scenario: &Scenario, policy: PolicyKind) -> Figures {
    let trace = Trace::generate(scenario);
    match policy {
        PolicyKind::Router => Simulation::new(scenario, &trace, |_| Router::default()).run(),
        PolicyKind::Random => Simulation::new(scenario, &trace, RandomChoice::new).run(),
        PolicyKind::LeastLoaded => {
            Simulation::new(scenario, &trace, |_| LeastLoaded::default()).run()
        }
        PolicyKind::Rendezvous => {
            Simulation::new(scenario, &trace, |_| RendezvousOnly::default()).run()
        }
    }
}
