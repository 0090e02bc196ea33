//! Failures of real processes over loopback, for what the core alone cannot show.

mod callers;
mod configuration;
mod fleet;
mod jobs;
mod links;
mod poison;
mod relay;
mod shutdown;
