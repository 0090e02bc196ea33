//! The path on the users' platform: an entry on each VM that callers reach, an agent on each VM
//! beside a model engine.
//!
//! A byte stays on one thread from socket to socket: a process has few cycles, and a hop between
//! threads for each event would cost more than the work. Tasks of that thread share state through
//! `Rc` and `RefCell`; no borrow is held across an await. The log writer has a thread of its own.

mod agent;
mod entry;
mod follower;
mod header_codec;
mod metrics;
mod pool;
mod process;
mod sockets;
mod steady_clock;
mod store_client;

pub(crate) use self::process::{run_platform_agent, run_platform_entry};
