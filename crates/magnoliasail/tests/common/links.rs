//! Links to agents as entries open them.

#![allow(dead_code, reason = "not every test opens links")]

use {
    magnoliasail_core::gateway::message::{ToAgent, ToAgentKind, ToEntry, ToEntryKind},
    magnoliasail_soak::Fleet,
    magnoliasail_wire::{Link, LinkSettings, Outbox},
    tokio::{net::TcpStream, sync::mpsc},
};

/// Opens a link to the agent of an engine, as an entry does.
///
/// # Panics
///
/// Panics if the agent does not accept it.
pub(crate) async fn open_link(
    fleet: &Fleet,
    engine: u8,
) -> (Outbox<ToAgent>, mpsc::UnboundedReceiver<ToEntryKind>) {
    let stream = TcpStream::connect(fleet.agent_address(engine)).await;
    let stream = stream.expect("the agent accepts links");
    let (link, outbox) = Link::new(stream, LinkSettings::default());
    let (sender, received) = mpsc::unbounded_channel();
    tokio::spawn(link.run(async move |message: ToEntry| {
        if let Some(kind) = message.kind {
            let _ = sender.send(kind);
        }
    }));
    (outbox, received)
}

/// Sends a message on a link.
///
/// # Panics
///
/// Panics if the link is down.
pub(crate) async fn send(outbox: &Outbox<ToAgent>, kind: ToAgentKind) {
    let message = ToAgent { kind: Some(kind) };
    outbox.send(message).await.expect("the link is up");
}
