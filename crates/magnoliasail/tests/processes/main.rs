//! Tests of real processes over loopback: failures that tests of the core alone cannot reproduce.
//!
//! They cover sockets, signals, paused processes and silent connections.

mod callers;
mod configuration;
mod fleet;
mod jobs;
mod links;
mod poison;
mod relay;
mod shutdown;
