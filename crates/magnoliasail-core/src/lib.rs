//! The decision logic of magnoliasail, free of I/O: it uses no clock, socket or thread.
//!
//! Two state machines make the decisions: [`Entry`] in the process that accepts callers' requests
//! and [`Agent`] in the process on the VM of a backend server. Each takes an event and the current
//! time in milliseconds and appends actions to a list, which the daemons execute. The same code
//! therefore runs in production, in property tests under a manual clock and in the policy model.
//!
//! ```
//! use magnoliasail_core::{Agent, AgentAction, AgentEvent, AgentSettings};
//!
//! let mut agent = Agent::new(AgentSettings::default(), 1, 1_000);
//! let mut actions = Vec::new();
//! agent.handle(1_000, AgentEvent::LinkUp { link: 7 }, &mut actions);
//! assert!(matches!(actions[0], AgentAction::Send { link: 7, .. }));
//! ```

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod job;
pub mod message;
pub mod table;

mod adapter;
mod admission;
mod demand;
mod liveness;
mod load_budget;
mod membership;
mod outcome;
mod reason;
mod rendezvous;
mod retry_budget;
mod router;
mod slots;
mod suspects;
mod token_bucket;
mod vm_list;

pub use self::{
    adapter::AdapterRef,
    admission::{Admission, AdmissionDecision, AdmissionSettings},
    agent::{Agent, AgentAction, AgentEvent, AgentSettings},
    entry::{Entry, EntryAction, EntryEvent, EntrySettings},
    liveness::{Liveness, PauseDetector},
    load_budget::LoadBudget,
    membership::{Membership, MembershipSettings, ServerState},
    outcome::Outcome,
    reason::{RefusalReason, RetryReason},
    rendezvous::{Named, rank, score},
    retry_budget::RetryBudget,
    router::{
        Placement, PlacementChoice, PlacementContext, Router, RouterSettings, ServerView, Servers,
    },
    slots::{PinResult, SlotTable},
    suspects::{SuspectStatus, Suspects},
    token_bucket::TokenBucket,
    vm_list::{VmEntry, VmList, VmRole, VmState},
};

/// A point in time, in milliseconds, on the clock supplied by the caller of the core.
pub type TimeMs = u64;
