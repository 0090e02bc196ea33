//! Links to agents: handshake, resume, loss and dispatch of received messages.

use {
    super::{Entry, EntryAction, request::Stage, send},
    crate::{
        Placement, RefusalReason, ServerState, SuspectStatus, TimeMs,
        message::{
            AgentHello, AgentMessage, EntryHello, LoadReport, Resume, SuspectNotice, TablePages,
            TableQuery, agent_message,
        },
        table::{Pages, PublishedTable},
    },
    std::sync::Arc,
};

impl<P: Placement> Entry<P> {
    pub(super) fn link_up(&self, vm: &Arc<str>, actions: &mut Vec<EntryAction>) {
        let hello = EntryHello {
            entry: self.identity,
            table_version: self.active_table.version(),
        };
        send(actions, vm, hello);
    }

    pub(super) fn link_down(&mut self, now_ms: TimeMs, vm: &Arc<str>) {
        self.membership.link_down(vm);
        self.servers.get_or_insert(vm).is_live = false;
        for request in self.requests.values_mut() {
            if let Stage::Sent(attempt) = &mut request.stage
                && attempt.vm == *vm
                && attempt.link_lost_ms.is_none()
            {
                attempt.link_lost_ms = Some(now_ms);
                self.has_lost_links = true;
            }
        }
        self.refresh_liveness();
    }

    pub(super) fn receive(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        message: AgentMessage,
        actions: &mut Vec<EntryAction>,
    ) {
        use agent_message::Kind;
        match message.kind {
            Some(Kind::Hello(hello)) => self.handle_hello(now_ms, vm, &hello, actions),
            Some(Kind::Load(report)) => self.handle_load_report(now_ms, vm, &report, actions),
            Some(Kind::Drain(_)) => self.handle_drain_notice(vm),
            Some(Kind::Table(pages)) => self.handle_table_pages(now_ms, vm, &pages, actions),
            Some(Kind::TableQuery(query)) => self.handle_table_query(vm, query.version, actions),
            Some(Kind::Suspect(notice)) => self.handle_suspect_notice(now_ms, vm, &notice, actions),
            Some(Kind::Head(head)) => self.handle_head(now_ms, vm, head, actions),
            Some(Kind::Chunk(chunk)) => self.handle_chunk(vm, chunk, actions),
            Some(Kind::End(end)) => self.handle_end(now_ms, vm, &end, actions),
            Some(Kind::Refused(refused)) => self.handle_refused(now_ms, vm, &refused, actions),
            Some(Kind::Failed(failed)) => self.handle_failed(now_ms, vm, &failed, actions),
            Some(Kind::Accepted(_)) | None => {}
        }
    }

    fn handle_hello(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        hello: &AgentHello,
        actions: &mut Vec<EntryAction>,
    ) {
        self.membership
            .link_up(vm, hello.incarnation, hello.draining);
        self.servers.get_or_insert(vm);
        self.readiness.record_peer_version(hello.table_version);
        self.refresh_liveness();
        self.sync_agent(vm, hello, actions);
        self.resume_attempts(now_ms, vm, hello.incarnation, actions);
        self.place_pending(now_ms, actions);
    }

    /// Requests the agent's table if it is newer, and sends the agent its holder notice, if any.
    fn sync_agent(&self, vm: &Arc<str>, hello: &AgentHello, actions: &mut Vec<EntryAction>) {
        let version = self.active_table.version();
        if hello.table_version > version {
            send(actions, vm, TableQuery { version });
        }
        if let Some(notice) = self.holder_notice(vm) {
            send(actions, vm, notice);
        }
    }

    fn resume_attempts(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        incarnation: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let mut lost = Vec::new();
        let mut resumed = Vec::new();
        for (&id, request) in &mut self.requests {
            let Stage::Sent(attempt) = &mut request.stage else {
                continue;
            };
            if attempt.vm != *vm {
                continue;
            }
            if attempt.incarnation == incarnation {
                attempt.link_lost_ms = None;
                resumed.push(Resume {
                    attempt: attempt.number,
                    next_sequence: attempt.next_sequence,
                });
            } else {
                lost.push(id);
            }
        }
        // An agent refuses unknown attempts above its watermark and raises the watermark to them,
        // so resumes must arrive in ascending order of their numbers.
        resumed.sort_unstable_by_key(|resume| resume.attempt);
        for resume in resumed {
            send(actions, vm, resume);
        }
        for id in lost {
            self.fail_attempt(now_ms, id, RefusalReason::LinkLost, actions);
        }
    }

    /// Ends attempts whose link has not reconnected within the resume window.
    pub(super) fn expire_lost_links(&mut self, now_ms: TimeMs, actions: &mut Vec<EntryAction>) {
        if !self.has_lost_links {
            return;
        }
        let window_ms = self.settings.resume_window_ms;
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| match &request.stage {
                Stage::Sent(attempt) => attempt
                    .link_lost_ms
                    .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > window_ms),
                Stage::Queued | Stage::Placing => false,
            })
            .map(|(&id, _)| id)
            .collect();
        for id in lost {
            self.fail_attempt(now_ms, id, RefusalReason::LinkLost, actions);
        }
        self.has_lost_links = self.requests.values().any(|request| match &request.stage {
            Stage::Sent(attempt) => attempt.link_lost_ms.is_some(),
            Stage::Queued | Stage::Placing => false,
        });
    }

    fn handle_load_report(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        report: &LoadReport,
        actions: &mut Vec<EntryAction>,
    ) {
        let capacity = self.servers.get_or_insert(vm).capacity;
        self.servers.apply(vm, report, now_ms);
        for _ in 0..report.store_refusals {
            self.load_budget.record_refusal(now_ms);
        }
        for _ in 0..report.loads {
            self.load_budget.record_load(now_ms);
        }
        if capacity != report.capacity {
            self.refresh_liveness();
        }
        for adapter in &report.resident {
            self.place_for_adapter(now_ms, &adapter.into(), actions);
        }
    }

    fn handle_drain_notice(&mut self, vm: &Arc<str>) {
        self.membership.record_drain(vm);
        debug_assert_ne!(self.membership.state(vm), ServerState::Live);
        self.refresh_liveness();
    }

    fn handle_table_pages(
        &mut self,
        now_ms: TimeMs,
        vm: &Arc<str>,
        message: &TablePages,
        actions: &mut Vec<EntryAction>,
    ) {
        let version = self.active_table.version();
        if message.version <= version {
            return;
        }
        match PublishedTable::from_message(message, &self.active_table.published().pages) {
            Some(table) if !table.pages.is_empty() => self.apply_table(now_ms, table, actions),
            _ => send(actions, vm, TableQuery { version: 0 }),
        }
    }

    fn handle_table_query(&self, vm: &Arc<str>, version: u64, actions: &mut Vec<EntryAction>) {
        if self.active_table.version() > version {
            let confirmed_ms = self.active_table.confirmed_ms();
            let published = self.active_table.published();
            send(
                actions,
                vm,
                published.to_message(confirmed_ms, &Pages::default()),
            );
        }
    }

    /// Applies a fingerprint's status and forwards it to the other agents.
    fn handle_suspect_notice(
        &mut self,
        now_ms: TimeMs,
        from: &Arc<str>,
        notice: &SuspectNotice,
        actions: &mut Vec<EntryAction>,
    ) {
        let status = SuspectStatus::from_code(notice.verdict);
        let fingerprint = notice.fingerprint;
        if !self.suspects.apply(fingerprint, status, now_ms) {
            return;
        }
        actions.push(EntryAction::QuarantineChanged {
            fingerprint,
            status,
        });
        for vm in self.link_addresses.keys().filter(|vm| *vm != from) {
            send(actions, vm, notice.clone());
        }
    }
}
