//! The worker `decide` of an entry: owns the core and executes its actions.

use {
    super::{Input, links::LinkCommand, status},
    crate::{
        clock::Clock,
        event_loop::{EventHandler, run_event_loop},
        events::{EventId, emit},
        http::{ReplyPart, ReplyWriter},
        metrics::Metrics,
        queue::QueueReceiver,
        supervisor::Supervisor,
    },
    magnoliasail_core::{
        Entry, EntryAction, EntryEvent, EntrySettings, PlacementChoice, RefusalReason, Router,
        SuspectStatus, TimeMs, table::Table,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError, atomic::AtomicBool},
    },
    tokio::sync::mpsc::{self, error::TrySendError},
};

/// The state that the workers of an entry share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) vm: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) identity: u64,
    pub(super) settings: EntrySettings,
    pub(super) table: Arc<Mutex<Arc<Table>>>,
    pub(super) is_draining: Arc<AtomicBool>,
    pub(super) metrics: Metrics,
    pub(super) supervisor: Supervisor,
}

/// The worker that owns an entry's core.
pub(super) struct CoreWorker {
    shared: Shared,
    core: Entry<Router>,
    link_commands: mpsc::Sender<LinkCommand>,
    replies: HashMap<u64, ReplyWriter>,
    actions: Vec<EntryAction>,
    clock: Clock,
}

impl CoreWorker {
    pub(super) fn new(shared: Shared, link_commands: mpsc::Sender<LinkCommand>) -> Self {
        let mut clock = Clock::default();
        let now_ms = clock.now_ms();
        // The identity differs after a restart of this worker, because the new core does not know
        // the earlier attempts; to the agents it is another entry.
        let identity = rand::random();
        Self {
            core: Entry::new(shared.settings.clone(), Router::default(), identity, now_ms),
            shared,
            link_commands,
            replies: HashMap::new(),
            actions: Vec::new(),
            clock,
        }
    }

    /// Runs until every sender of the queue has been dropped.
    pub(super) fn run(mut self, queue: &QueueReceiver<Input>) {
        let mut clock = self.clock;
        run_event_loop(&mut self, queue, &mut clock);
    }

    fn explain(&mut self, now_ms: u64, model: &str) -> String {
        let choice = self.core.explain(now_ms, model);
        status::explain(&self.core, model, choice.as_ref())
    }

    fn handle_event(&mut self, now_ms: u64, event: EntryEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Connect { vm, address } => {
                self.command_links(LinkCommand::Connect { vm, address });
            }
            EntryAction::Disconnect { vm } => self.command_links(LinkCommand::Disconnect { vm }),
            EntryAction::Send { vm, message } => {
                self.command_links(LinkCommand::Send { vm, message });
            }
            EntryAction::Head {
                request,
                status,
                content_type,
                model,
                vm,
            } => {
                let part = ReplyPart::Head {
                    status: status as u16,
                    content_type,
                    model,
                    vm,
                };
                self.reply(request, part);
            }
            EntryAction::Data { request, data } => self.reply(request, ReplyPart::Data(data)),
            EntryAction::Completed { request } => {
                self.shared.metrics.completed.inc();
                self.reply(request, ReplyPart::Completed);
                self.replies.remove(&request);
            }
            EntryAction::Failed { request, failure } => {
                self.shared.metrics.count_refusal(failure.reason);
                self.reply(request, ReplyPart::Failed(failure));
                self.replies.remove(&request);
            }
            EntryAction::Retried { reason } => self.shared.metrics.count_retry(reason),
            EntryAction::DroppedFrame => {
                self.shared.metrics.dropped_frames.inc();
            }
            EntryAction::TableApplied { table } => self.set_table(table),
            EntryAction::TableRejected { message } => {
                self.shared.metrics.tables_rejected.inc();
                emit(EventId::TableRejected, message);
            }
            EntryAction::QuarantineChanged {
                fingerprint,
                status,
            } => emit_suspect_status(fingerprint, status),
            EntryAction::Drained => {}
        }
    }

    fn command_links(&self, command: LinkCommand) {
        // A message that is dropped here is recovered by the resume on a new link.
        if let Err(error) = self.link_commands.try_send(command) {
            self.shared.metrics.count_refusal(RefusalReason::RingFull);
            emit(EventId::RingFull, format_args!("ring=links: {error}"));
        }
    }

    fn reply(&mut self, request: u64, part: ReplyPart) {
        let Some(writer) = self.replies.get(&request) else {
            return;
        };
        match writer.try_send(part) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                self.shared.metrics.count_refusal(RefusalReason::TooSlow);
                self.replies.remove(&request);
            }
            Err(TrySendError::Closed(_)) => {
                self.replies.remove(&request);
            }
        }
    }

    fn set_table(&self, table: Arc<Table>) {
        emit(
            EventId::TableAdopted,
            format_args!("version={}", table.version),
        );
        let mut shared_table = self
            .shared
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared_table = table;
    }

    fn update_metrics(&self, now_ms: u64) {
        let metrics = &self.shared.metrics;
        let active_table = self.core.active_table();
        let age_ms = now_ms.saturating_sub(active_table.confirmed_ms());
        let links_up = self.core.servers().iter().filter(|(_, view)| view.is_live);
        metrics.table_version.set(active_table.version() as i64);
        metrics.table_age_ms.set(age_ms as i64);
        metrics.links_up.set(links_up.count() as i64);
        metrics.in_flight.set(self.core.open_requests() as i64);
        metrics
            .duty_restarts
            .set(self.shared.supervisor.restarts() as i64);
    }
}

impl EventHandler for CoreWorker {
    type Input = Input;

    fn handle_input(&mut self, now_ms: TimeMs, input: Input) {
        match input {
            Input::Event(event) => {
                if let EntryEvent::CallerGone { request } = &event {
                    self.replies.remove(request);
                }
                self.handle_event(now_ms, event);
            }
            Input::Submit(submission, reply) => {
                self.replies.insert(submission.request, reply);
                self.handle_event(now_ms, EntryEvent::Submit(submission));
            }
            // The operator may have disconnected, so a failure to answer is ignored.
            Input::Status(sender) => {
                let _ = sender.send(status::entry_status(&self.shared, &self.core, now_ms));
            }
            Input::Explain(model, sender) => {
                let _ = sender.send(self.explain(now_ms, &model));
            }
        }
    }

    fn tick(&mut self, now_ms: TimeMs) {
        self.handle_event(now_ms, EntryEvent::Tick);
        self.update_metrics(now_ms);
    }

    fn handle_pause(&mut self, now_ms: TimeMs, pause_ms: u64) {
        emit(EventId::Paused, format_args!("pause_ms={pause_ms}"));
        self.shared.metrics.pauses.inc();
        self.handle_event(now_ms, EntryEvent::Paused);
    }
}

/// Logs a change of a request's quarantine status.
pub(crate) fn emit_suspect_status(fingerprint: u64, status: SuspectStatus) {
    let event = match status {
        SuspectStatus::Clear => EventId::RequestCleared,
        SuspectStatus::Suspect => EventId::RequestSuspected,
        SuspectStatus::Quarantined => EventId::RequestCondemned,
    };
    emit(event, format_args!("fingerprint={fingerprint:016x}"));
}

/// Returns the VM of the chosen server and the reason for the choice, as status documents name it.
pub(super) fn chosen_server(choice: &PlacementChoice) -> (&Arc<str>, &'static str) {
    match choice {
        PlacementChoice::Resident(vm) => (vm, "resident"),
        PlacementChoice::Load(vm) => (vm, "load"),
    }
}
