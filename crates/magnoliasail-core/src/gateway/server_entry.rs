//! What a backend server publishes about itself: its row in the platform's list, and its load.

use std::{net::SocketAddr, sync::Arc};

/// Row of a backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The id, which names one incarnation of the server.
    pub id: Arc<str>,
    /// The name of the service that it belongs to.
    pub service: Arc<str>,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining and takes no new requests.
    pub is_draining: bool,
    /// The start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The version of its software; absent if it does not publish one.
    pub software_version: Option<Arc<str>>,
    /// The base models that were loaded when it wrote the row.
    pub models: Vec<Arc<str>>,
}

/// Load that a backend server reports with its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The maximum number of requests that run at once.
    pub slots: u32,
    /// How long work takes at the moment, in percent of what is usual; absent if the server does not say.
    pub work_percent: Option<u32>,
}
