//! Entry and agent for the users' platform.
//!
//! An entry runs on each VM that callers reach, and an agent on each VM with a model engine. The
//! commands `platform-entry` and `platform-agent` run them; the commands `entry` and `agent` run the
//! daemons of the modules `entry` and `agent` at the root of the crate instead.
//!
//! Each process handles all its I/O on one thread: it has little CPU time, and handing every event
//! to another thread would cost more than the work itself. Tasks share state through `Rc` and
//! `RefCell`; no borrow is held across an await. Only the log writer has a thread of its own.

mod agent;
mod announcement;
mod buffer_budget;
mod byte_limit;
mod entry;
mod fingerprint_list;
mod follower;
mod header_codec;
mod metrics;
mod phase;
mod pool;
mod process;
mod quarantine_log;
mod server_socket;
mod server_stream;
mod sockets;
mod stall;
mod steady_clock;
mod store_client;

pub(crate) use self::process::{run_platform_agent, run_platform_entry};
