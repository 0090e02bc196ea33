//! The daemon of an agent: its duties and how they are joined.
//!
//! | duty | thread | reads | writes |
//! |---|---|---|---|
//! | `decide` | blocking | the ring of [`Input`]s | messages to links, orders to the server |
//! | `links` | runtime | links from entries | link events into the ring |
//! | `server` | runtime | orders, the backend server | its events into the ring |
//! | `operator` | runtime | HTTP | questions into the ring |

mod core_worker;
mod links;
mod server;
mod status;

use {
    self::{
        core_worker::{CoreWorker, Shared},
        links::LinkCommand,
        server::ServerCommand,
    },
    crate::{
        events::{EventId, emit},
        http::{OperatorApi, StartError, listen, local, start_operator},
        metrics::Metrics,
        queue::{QueueReceiver, QueueSender, bounded_queue},
        settings::AgentFile,
        supervisor::Supervisor,
    },
    magnoliasail_core::AgentEvent,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex, mpsc, oneshot, watch as signal},
        time::timeout,
    },
};

const QUEUE_CAPACITY: usize = 65_536;
const COMMANDS: usize = 65_536;

/// An item for the deciding duty.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(AgentEvent),
    /// An operator asks for the state.
    Status(oneshot::Sender<String>),
}

/// A running agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentHandle {
    pub(crate) address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    ring: QueueSender<Input>,
    drained: signal::Receiver<bool>,
    drain_limit: Duration,
}

impl AgentHandle {
    /// Shuts down gracefully: announces the drain and finishes what was accepted.
    pub(crate) async fn drain(mut self) {
        emit(EventId::DrainStarted, format_args!("role=agent"));
        let _ = self.ring.try_send(Input::Event(AgentEvent::Drain));
        let drained = self.drained.wait_for(|&is_drained| is_drained);
        let _ = timeout(self.drain_limit, drained).await;
        emit(EventId::DrainFinished, format_args!("role=agent"));
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub(crate) fn start(settings: &AgentFile) -> Result<AgentHandle, StartError> {
    let listener = listen(&settings.listen)?;
    let operator_listener = listen(&settings.operator_listen)?;
    let address = local(&listener, &settings.listen)?;
    let operator_address = local(&operator_listener, &settings.operator_listen)?;
    let supervisor = Supervisor::default();
    let (writer, reader) = bounded_queue(QUEUE_CAPACITY);
    let (link_commands, link_reader) = mpsc::channel(COMMANDS);
    let (server_commands, server_reader) = mpsc::channel(COMMANDS);
    let (drained_writer, drained) = signal::channel(false);
    let shared = Shared {
        vm: settings.vm.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        core: settings.core(),
        metrics: Metrics::new(),
        supervisor: supervisor.clone(),
        drained: drained_writer,
        is_ready: Arc::new(AtomicBool::new(false)),
    };
    start_core_worker(
        &supervisor,
        &shared,
        &reader,
        &link_commands,
        &server_commands,
    );
    links::start(
        &supervisor,
        settings,
        &writer,
        listener,
        Arc::new(Mutex::new(link_reader)),
    );
    server::start(
        &supervisor,
        settings,
        &writer,
        Arc::new(Mutex::new(server_reader)),
    );
    let operator = Operator {
        ring: writer.clone(),
        shared: shared.clone(),
    };
    start_operator(&supervisor, operator, operator_listener);
    emit(
        EventId::Started,
        format_args!(
            "role=agent vm={} address={address} operator={operator_address}",
            settings.vm
        ),
    );
    Ok(AgentHandle {
        address,
        operator_address,
        ring: writer,
        drained,
        drain_limit: Duration::from_millis(settings.drain_limit_ms),
    })
}

fn start_core_worker(
    supervisor: &Supervisor,
    shared: &Shared,
    reader: &QueueReceiver<Input>,
    links: &mpsc::Sender<LinkCommand>,
    server: &mpsc::Sender<ServerCommand>,
) {
    let shared = shared.clone();
    let reader = reader.clone();
    let links = links.clone();
    let server = server.clone();
    supervisor.start("decide", move || {
        CoreWorker::new(shared.clone(), links.clone(), server.clone()).run(&reader);
    });
}

struct Operator {
    ring: QueueSender<Input>,
    shared: Shared,
}

impl OperatorApi for Operator {
    fn status(&self) -> Option<oneshot::Receiver<String>> {
        let (sender, receiver) = oneshot::channel();
        self.ring.try_send(Input::Status(sender)).ok()?;
        Some(receiver)
    }

    fn explain(&self, _model: &str) -> Option<oneshot::Receiver<String>> {
        None
    }

    fn metrics(&self) -> String {
        self.shared.metrics.encode()
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::SeqCst)
    }
}
