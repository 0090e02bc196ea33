//! The HTTP servers for callers and operators, and the HTTP client.
//!
//! The client calls the platform's services and backend servers. The accept loop in `server` runs
//! the routers of the caller and the operator interface.

mod caller;
mod chat_head;
mod client;
mod failure;
mod listener;
mod operator;
mod reply;
mod server;

pub(crate) use self::{
    caller::{CallerApi, CallerInput, CallerLimits},
    chat_head::ResponseModel,
    client::{HttpClient, HttpError},
    listener::{StartError, listen, local_address, to_tokio_listener},
    operator::{OperatorApi, start_operator_server},
    reply::{ReplyPart, ReplyWriter},
    server::{ServerLimits, serve},
};
