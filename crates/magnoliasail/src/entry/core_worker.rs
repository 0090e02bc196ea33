//! The deciding duty: owns the core and carries its actions out.

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

/// What the duties of an entry share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) vm: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) identity: u64,
    pub(super) core: EntrySettings,
    pub(super) table: Arc<Mutex<Arc<Table>>>,
    pub(super) is_draining: Arc<AtomicBool>,
    pub(super) metrics: Metrics,
    pub(super) supervisor: Supervisor,
}

/// The deciding duty of an entry.
pub(super) struct CoreWorker {
    shared: Shared,
    core: Entry<Router>,
    commands: mpsc::Sender<LinkCommand>,
    replies: HashMap<u64, ReplyWriter>,
    actions: Vec<EntryAction>,
    clock: Clock,
}

impl CoreWorker {
    pub(super) fn new(shared: Shared, commands: mpsc::Sender<LinkCommand>) -> Self {
        let mut clock = Clock::default();
        let now_ms = clock.now_ms();
        // A restarted duty is a new peer to the agents: it knows nothing of earlier attempts.
        let identity = rand::random();
        Self {
            core: Entry::new(shared.core.clone(), Router::default(), identity, now_ms),
            shared,
            commands,
            replies: HashMap::new(),
            actions: Vec::new(),
            clock,
        }
    }

    /// Runs until every writer of the ring is gone.
    pub(super) fn run(mut self, ring: &QueueReceiver<Input>) {
        let mut clock = self.clock;
        run_event_loop(&mut self, ring, &mut clock);
    }

    fn explain(&mut self, now_ms: u64, model: &str) -> String {
        let choice = self.core.explain(now_ms, model);
        status::explain(&self.core, model, choice.as_ref())
    }

    fn handle_event(&mut self, now_ms: u64, event: EntryEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: EntryAction) {
        match action {
            EntryAction::Connect { vm, address } => {
                self.command(LinkCommand::Connect { vm, address });
            }
            EntryAction::Disconnect { vm } => self.command(LinkCommand::Disconnect { vm }),
            EntryAction::Send { vm, message } => self.command(LinkCommand::Send { vm, message }),
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
                self.reply(request, ReplyPart::Done);
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
            EntryAction::TableApplied { table } => self.table_adopted(table),
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

    fn command(&self, command: LinkCommand) {
        // A message that is lost here is recovered by the resume of a new link.
        if let Err(error) = self.commands.try_send(command) {
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

    fn table_adopted(&self, table: Arc<Table>) {
        emit(
            EventId::TableAdopted,
            format_args!("version={}", table.version),
        );
        let mut shared = self
            .shared
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = table;
    }

    fn measure(&self, now_ms: u64) {
        let metrics = &self.shared.metrics;
        let adoption = self.core.active_table();
        let age_ms = now_ms.saturating_sub(adoption.confirmed_ms());
        let links_up = self.core.servers().iter().filter(|(_, view)| view.is_live);
        metrics.table_version.set(adoption.version() as i64);
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
            // An operator that went away needs no answer.
            Input::Status(sender) => {
                let _ = sender.send(status::entry(&self.shared, &self.core, now_ms));
            }
            Input::Explain(model, sender) => {
                let _ = sender.send(self.explain(now_ms, &model));
            }
        }
    }

    fn tick(&mut self, now_ms: TimeMs) {
        self.handle_event(now_ms, EntryEvent::Tick);
        self.measure(now_ms);
    }

    fn handle_pause(&mut self, now_ms: TimeMs, pause_ms: u64) {
        emit(EventId::Paused, format_args!("pause_ms={pause_ms}"));
        self.shared.metrics.pauses.inc();
        self.handle_event(now_ms, EntryEvent::Paused);
    }
}

/// Logs a change of what is known of a request.
pub(crate) fn emit_suspect_status(fingerprint: u64, verdict: SuspectStatus) {
    let event = match verdict {
        SuspectStatus::Clear => EventId::RequestCleared,
        SuspectStatus::Suspect => EventId::RequestSuspected,
        SuspectStatus::Quarantined => EventId::RequestCondemned,
    };
    emit(event, format_args!("fingerprint={fingerprint:016x}"));
}

/// Returns the server that a choice names.
pub(super) fn chosen(choice: &PlacementChoice) -> (&Arc<str>, &'static str) {
    match choice {
        PlacementChoice::Resident(vm) => (vm, "resident"),
        PlacementChoice::Load(vm) => (vm, "load"),
    }
}
