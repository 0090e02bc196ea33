//! The worker `decide` of an agent: owns the core and executes its actions.

use {
    super::{Input, links::LinkCommand, server::ServerCommand, status},
    crate::{
        clock::Clock,
        entry::emit_suspect_status,
        event_loop::{EventHandler, run_event_loop},
        events::{EventId, emit},
        metrics::Metrics,
        queue::QueueReceiver,
        supervisor::Supervisor,
    },
    magnoliasail_core::{Agent, AgentAction, AgentEvent, AgentSettings, RefusalReason, TimeMs},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::{mpsc, watch as signal},
};

/// The state that the workers of an agent share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) vm: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) settings: AgentSettings,
    pub(super) metrics: Metrics,
    pub(super) supervisor: Supervisor,
    pub(super) drained: signal::Sender<bool>,
    pub(super) is_ready: Arc<AtomicBool>,
}

/// The worker that owns an agent's core.
pub(super) struct CoreWorker {
    shared: Shared,
    core: Agent,
    link_commands: mpsc::Sender<LinkCommand>,
    server_commands: mpsc::Sender<ServerCommand>,
    actions: Vec<AgentAction>,
    clock: Clock,
}

impl CoreWorker {
    pub(super) fn new(
        shared: Shared,
        link_commands: mpsc::Sender<LinkCommand>,
        server_commands: mpsc::Sender<ServerCommand>,
    ) -> Self {
        let mut clock = Clock::default();
        let now_ms = clock.now_ms();
        Self {
            core: Agent::new(shared.settings.clone(), rand::random(), now_ms),
            shared,
            link_commands,
            server_commands,
            actions: Vec::new(),
            clock,
        }
    }

    /// Runs until every sender of the queue has been dropped.
    pub(super) fn run(mut self, queue: &QueueReceiver<Input>) {
        // After a restart of this worker, links and runs that are still open belong to the earlier
        // incarnation of the core.
        self.command_links(LinkCommand::CloseAll);
        self.command_server(ServerCommand::CancelAll);
        let mut clock = self.clock;
        run_event_loop(&mut self, queue, &mut clock);
    }

    fn handle_event(&mut self, now_ms: u64, event: AgentEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send { link, message } => {
                self.command_links(LinkCommand::Send { link, message });
            }
            AgentAction::Run {
                run,
                request,
                stall_ms,
            } => {
                let stall_seconds = stall_ms as f64 / 1_000.0;
                self.shared.metrics.requests.inc();
                self.shared
                    .metrics
                    .load_stall_seconds
                    .observe(stall_seconds);
                self.command_server(ServerCommand::Run { run, request });
            }
            AgentAction::CancelRun { run } => self.command_server(ServerCommand::Cancel { run }),
            AgentAction::Load {
                slot,
                generation,
                adapter,
                evicted,
            } => self.command_server(ServerCommand::Load {
                slot,
                generation,
                adapter,
                evicted,
                fencing_token: self.core.incarnation(),
            }),
            AgentAction::Loaded => {
                self.shared.metrics.loads.inc();
            }
            AgentAction::TableApplied { version } => {
                self.shared.is_ready.store(true, Ordering::SeqCst);
                emit(EventId::TableAdopted, format_args!("version={version}"));
            }
            AgentAction::TableRejected { message } => {
                self.shared.metrics.tables_rejected.inc();
                emit(EventId::TableRejected, message);
            }
            AgentAction::Refused { reason } => {
                self.shared.metrics.count_refusal(reason);
                if reason == RefusalReason::WrongModel {
                    let vm = &self.shared.vm;
                    emit(EventId::WrongModel, format_args!("vm={vm}"));
                }
            }
            AgentAction::QuarantineChanged {
                fingerprint,
                status,
            } => emit_suspect_status(fingerprint, status),
            AgentAction::Drained => {
                self.shared.drained.send_replace(true);
            }
        }
    }

    fn command_links(&self, command: LinkCommand) {
        // A message that is dropped here is recovered when the entry resumes on a new link.
        if let Err(error) = self.link_commands.try_send(command) {
            self.shared.metrics.count_refusal(RefusalReason::RingFull);
            emit(EventId::RingFull, format_args!("ring=links: {error}"));
        }
    }

    fn command_server(&self, command: ServerCommand) {
        if let Err(error) = self.server_commands.try_send(command) {
            self.shared.metrics.count_refusal(RefusalReason::RingFull);
            emit(EventId::RingFull, format_args!("ring=server: {error}"));
        }
    }

    fn update_metrics(&self, now_ms: u64) {
        let metrics = &self.shared.metrics;
        let (running, waiting) = self.core.request_counts();
        let slots = self.core.slots();
        let active_table = self.core.active_table();
        let age_ms = now_ms.saturating_sub(active_table.confirmed_ms());
        let fill_percent = 100 * running / self.shared.settings.capacity.max(1);
        metrics.in_flight.set(running as i64);
        metrics.waiting.set(waiting as i64);
        metrics.batch_fill_percent.set(fill_percent as i64);
        metrics.slots_pinned.set(slots.pinned() as i64);
        metrics.loads_in_transit.set(slots.loading() as i64);
        metrics.table_version.set(active_table.version() as i64);
        metrics.table_age_ms.set(age_ms as i64);
        metrics
            .duty_restarts
            .set(self.shared.supervisor.restarts() as i64);
    }
}

impl EventHandler for CoreWorker {
    type Input = Input;

    fn handle_input(&mut self, now_ms: TimeMs, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(now_ms, event),
            // The operator may have disconnected, so a failure to answer is ignored.
            Input::Status(sender) => {
                let _ = sender.send(status::agent_status(&self.shared, &self.core, now_ms));
            }
        }
    }

    fn tick(&mut self, now_ms: TimeMs) {
        self.handle_event(now_ms, AgentEvent::Tick);
        self.update_metrics(now_ms);
    }

    fn handle_pause(&mut self, _now_ms: TimeMs, pause_ms: u64) {
        emit(EventId::Paused, format_args!("pause_ms={pause_ms}"));
        self.shared.metrics.pauses.inc();
    }
}
