//! The deciding duty: owns the core and carries its actions out.

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

/// What the duties of an agent share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) vm: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) core: AgentSettings,
    pub(super) metrics: Metrics,
    pub(super) supervisor: Supervisor,
    pub(super) drained: signal::Sender<bool>,
    pub(super) is_ready: Arc<AtomicBool>,
}

/// The deciding duty of an agent.
pub(super) struct CoreWorker {
    shared: Shared,
    core: Agent,
    links: mpsc::Sender<LinkCommand>,
    server: mpsc::Sender<ServerCommand>,
    actions: Vec<AgentAction>,
    clock: Clock,
}

impl CoreWorker {
    pub(super) fn new(
        shared: Shared,
        links: mpsc::Sender<LinkCommand>,
        server: mpsc::Sender<ServerCommand>,
    ) -> Self {
        let mut clock = Clock::default();
        let now_ms = clock.now_ms();
        Self {
            core: Agent::new(shared.core.clone(), rand::random(), now_ms),
            shared,
            links,
            server,
            actions: Vec::new(),
            clock,
        }
    }

    /// Runs until every writer of the ring is gone.
    pub(super) fn run(mut self, ring: &QueueReceiver<Input>) {
        // Links of an earlier life of this duty belong to an earlier incarnation.
        self.order_links(LinkCommand::CloseAll);
        self.order_server(ServerCommand::CancelAll);
        let mut clock = self.clock;
        run_event_loop(&mut self, ring, &mut clock);
    }

    fn handle_event(&mut self, now_ms: u64, event: AgentEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send { link, message } => {
                self.order_links(LinkCommand::Send { link, message });
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
                self.order_server(ServerCommand::Run {
                    run,
                    order: request,
                });
            }
            AgentAction::CancelRun { run } => self.order_server(ServerCommand::Cancel { run }),
            AgentAction::Load {
                slot,
                generation,
                adapter,
                evicted,
            } => self.order_server(ServerCommand::Load {
                slot,
                generation,
                adapter,
                evicted,
                fencing: self.core.incarnation(),
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

    fn order_links(&self, command: LinkCommand) {
        // A message that is lost here ends its link, and the resume recovers it.
        if let Err(error) = self.links.try_send(command) {
            self.shared.metrics.count_refusal(RefusalReason::RingFull);
            emit(EventId::RingFull, format_args!("ring=links: {error}"));
        }
    }

    fn order_server(&self, command: ServerCommand) {
        if let Err(error) = self.server.try_send(command) {
            self.shared.metrics.count_refusal(RefusalReason::RingFull);
            emit(EventId::RingFull, format_args!("ring=server: {error}"));
        }
    }

    fn measure(&self, now_ms: u64) {
        let metrics = &self.shared.metrics;
        let (running, waiting) = self.core.request_counts();
        let slots = self.core.slots();
        let adoption = self.core.active_table();
        let age_ms = now_ms.saturating_sub(adoption.confirmed_ms());
        let fill_percent = 100 * running / self.shared.core.capacity.max(1);
        metrics.in_flight.set(running as i64);
        metrics.waiting.set(waiting as i64);
        metrics.batch_fill_percent.set(fill_percent as i64);
        metrics.slots_pinned.set(slots.pinned() as i64);
        metrics.loads_in_transit.set(slots.loading() as i64);
        metrics.table_version.set(adoption.version() as i64);
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
            // An operator that went away needs no answer.
            Input::Status(sender) => {
                let _ = sender.send(status::agent(&self.shared, &self.core, now_ms));
            }
        }
    }

    fn tick(&mut self, now_ms: TimeMs) {
        self.handle_event(now_ms, AgentEvent::Tick);
        self.measure(now_ms);
    }

    fn handle_pause(&mut self, _now_ms: TimeMs, pause_ms: u64) {
        emit(EventId::Paused, format_args!("pause_ms={pause_ms}"));
        self.shared.metrics.pauses.inc();
    }
}
