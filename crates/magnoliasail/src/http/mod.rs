//! HTTP towards callers, operators, the platform and backend servers.

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
    chat_head::ModelEcho,
    client::{HttpClient, HttpError},
    listener::{StartError, adopt_listener, listen, local},
    operator::{OperatorApi, start_operator},
    reply::{ReplyPart, ReplyWriter},
    server::{ServeLimits, serve},
};
