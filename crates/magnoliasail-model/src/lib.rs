//! A simulation of a fleet in virtual time, which measures placement policies.
//!
//! Entries and agents are the state machines of the product; engines and the weight store are
//! simulated. Messages take a fixed time. A simulation is deterministic for the seed of its
//! scenario.
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

/// Simulates a scenario with a placement policy and returns the figures.
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
