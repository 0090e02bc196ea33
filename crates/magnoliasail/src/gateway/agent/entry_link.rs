//! Connections from entries, on which they submit requests.

use {
    super::{crashes::tell_entry, state::AgentState},
    crate::{
        events::{EventId, emit},
        gateway::sockets::set_socket_options,
    },
    magnoliasail_core::gateway::message::{ToAgent, ToAgentKind},
    magnoliasail_wire::{Link, LinkSettings},
    std::{rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts and serves the links of entries until the task is aborted.
pub(super) async fn serve_entries(state: Rc<AgentState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_link(Rc::clone(&state), stream));
            }
            Err(error) => {
                emit(EventId::AcceptFailed, error);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_link(state: Rc<AgentState>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        emit(EventId::AcceptFailed, error);
        return;
    }
    let (link, outbox) = Link::new(stream, LinkSettings::default());
    let id = state.add_link(outbox);
    tokio::task::spawn_local(tell_entry(Rc::clone(&state), id));
    emit(EventId::LinkUp, format_args!("link={id}"));
    let receiving_state = Rc::clone(&state);
    let result = link
        .run(async move |message: ToAgent| match message.kind {
            Some(ToAgentKind::Submit(submit)) => receiving_state.submit(id, submit),
            Some(ToAgentKind::Cancel(attempt)) => receiving_state.cancel(id, attempt),
            Some(ToAgentKind::RememberOrigin(origin)) => receiving_state.remember_origin(&origin),
            Some(ToAgentKind::FindOrigin(key)) => receiving_state.answer_origin(id, key),
            Some(ToAgentKind::Crash(report)) => receiving_state.pass_on_crash(report),
            Some(ToAgentKind::Quarantine(change)) => receiving_state.apply_quarantine(id, change),
            Some(ToAgentKind::AskSend(question)) => receiving_state.answer_send(id, question),
            Some(ToAgentKind::AskQuota(question)) => receiving_state.answer_quota(id, &question),
            Some(ToAgentKind::AskConfiguration(question)) => {
                receiving_state.answer_configuration(id, question);
            }
            Some(ToAgentKind::Versions(versions)) => receiving_state.add_versions(&versions),
            Some(ToAgentKind::PermitsFetches(permits)) => {
                receiving_state.add_fetch_entry(id, permits.entry);
            }
            Some(ToAgentKind::FetchPermits(permits)) => {
                receiving_state.apply_fetch_permits(id, &permits);
            }
            Some(ToAgentKind::View(view)) => {
                let now_ms = receiving_state.clock.now_ms();
                let mut views = receiving_state.grant_views.borrow_mut();
                views.set(id, view.into(), now_ms);
            }
            None => {}
        })
        .await;
    state.remove_link(id);
    let cause = result
        .err()
        .map_or_else(|| "closed".to_owned(), |error| error.to_string());
    emit(EventId::LinkDown, format_args!("link={id}: {cause}"));
}
