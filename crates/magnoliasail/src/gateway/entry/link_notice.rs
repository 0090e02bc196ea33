//! What links bring that concerns more than one attempt.

use {
    super::{quarantine::tell_agent, state::EntryState},
    magnoliasail_core::gateway::message::{
        CompletionNotice, ConfigurationCopy, CrashReport, EngineFetches, QuarantineChange,
        ServiceVersions,
    },
    std::{net::IpAddr, rc::Rc},
    tokio::sync::mpsc,
};

/// Notices that may wait; reports come in bursts when many engines crash at once.
pub(super) const NOTICE_QUEUE_CAPACITY: usize = 1_024;

/// What a link brings that concerns more than one attempt.
#[derive(Debug)]
pub(super) enum LinkNotice {
    /// The link to the agent on this VM is up.
    Up(IpAddr),
    /// The agent on this VM reports that a server crashed.
    Crash(IpAddr, CrashReport),
    /// Another process started or ended a quarantine.
    Quarantine(QuarantineChange),
    /// An agent has sent the quarantines that it knew when the link came up.
    QuarantinesSent,
    /// An agent has seen the completion of what this entry has quarantined.
    Completed(CompletionNotice),
    /// An agent has a newer configuration than this entry had when it asked.
    Configuration(ConfigurationCopy),
    /// An agent tells which software versions a service has had.
    Versions(ServiceVersions),
    /// The agent on this VM tells what its engine fetches.
    Fetches(IpAddr, EngineFetches),
    /// The agent on this VM follows the view of this entry.
    FollowView(IpAddr),
    /// The link to the agent on this VM has ended.
    Down(IpAddr),
}

/// Handles the notices of all links until the process exits.
pub(super) async fn follow_link_notices(
    state: Rc<EntryState>,
    mut notices: mpsc::Receiver<LinkNotice>,
) {
    while let Some(notice) = notices.recv().await {
        match notice {
            LinkNotice::Up(vm) => {
                state.send_versions(vm);
                state.offer_fetch_permits(vm);
                tokio::task::spawn_local(tell_agent(Rc::clone(&state), vm));
            }
            LinkNotice::Crash(vm, report) => state.apply_reported_crash(vm, report),
            LinkNotice::Quarantine(change) => state.adopt_quarantine(change),
            LinkNotice::QuarantinesSent => state.mark_quarantines_known(),
            LinkNotice::Completed(notice) => state.apply_completion(notice),
            LinkNotice::Fetches(vm, fetches) => state.apply_fetches(vm, &fetches),
            LinkNotice::FollowView(vm) => state.follow_grant_view(vm),
            LinkNotice::Down(vm) => {
                state.remove_fetches(vm);
                state.unfollow_grant_view(vm);
            }
            LinkNotice::Versions(versions) => state.add_versions(&versions),
            LinkNotice::Configuration(copy) => state.apply_configuration_copy(&copy),
        }
    }
}
