//! What a backend server says of itself in the platform's list.

use std::{net::SocketAddr, sync::Arc};

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The id of this start of the server.
    pub id: Arc<str>,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// The time of its start, in milliseconds since the epoch.
    pub started_ms: Option<u64>,
    /// The base models that it held when it wrote the entry.
    pub models: Vec<Arc<str>>,
}

/// The load that a backend server adds to its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}
