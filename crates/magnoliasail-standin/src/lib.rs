//! Small fakes of the external systems that magnoliasail talks to.
//!
//! Each stand-in serves the published protocol of its system over HTTP on loopback. It injects the
//! [`Faults`] from its settings, which `POST /admin/faults` replaces at run time. The stand-ins
//! share no code with the product.
//!
//! ```
//! use magnoliasail_standin::Faults;
//!
//! let faults: Faults = serde_json::from_str(r#"{"delay_ms": 20, "refuse": true}"#).unwrap();
//! assert!(faults.refuse);
//! ```

mod config;
mod engine;
mod faults;
mod http;
mod service;
mod vms;
mod weights;

pub use self::{
    config::{ConfigSettings, ConfigStandin, PageSettings},
    engine::{EngineSettings, EngineStandin},
    faults::{ActiveFaults, Faults},
    http::{Body, Server, bind, json_response, serve},
    service::{ServiceSettings, ServiceStandin},
    vms::{VmsSettings, VmsStandin},
    weights::{WeightsSettings, WeightsStandin},
};

/// Returns the time since the Unix epoch, in milliseconds, from the system clock.
#[must_use]
pub fn now_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
