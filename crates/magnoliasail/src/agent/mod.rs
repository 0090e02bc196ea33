//! The daemon of an agent: its workers and the queues between them.
//!
//! Each worker is a thread. `decide` blocks on its queue; the others run an asynchronous runtime.
//!
//! | worker | thread | reads | writes |
//! |---|---|---|---|
//! | `decide` | blocking | the queue of [`Input`]s | commands to `links` and `server` |
//! | `links` | runtime | commands, links from entries | link events to `decide` |
//! | `server` | runtime | commands, the backend server | its events to `decide` |
//! | `operator` | runtime | HTTP requests of operators | queries to `decide` |

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
        http::{OperatorApi, StartError, listen, local_address, start_operator_server},
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
const COMMAND_QUEUE_CAPACITY: usize = 65_536;

/// An item in the queue of the worker that owns the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(AgentEvent),
    /// An operator requests the status document, which goes to the sender.
    Status(oneshot::Sender<String>),
}

/// A running agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentHandle {
    pub(crate) address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    queue: QueueSender<Input>,
    drained: signal::Receiver<bool>,
    drain_limit: Duration,
}

impl AgentHandle {
    /// Shuts down gracefully: announces the drain and completes accepted requests, for up to the
    /// drain limit.
    pub(crate) async fn drain(mut self) {
        emit(EventId::DrainStarted, format_args!("role=agent"));
        let _ = self.queue.try_send(Input::Event(AgentEvent::Drain));
        let drained = self.drained.wait_for(|&is_drained| is_drained);
        let _ = timeout(self.drain_limit, drained).await;
        emit(EventId::DrainFinished, format_args!("role=agent"));
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Returns an error if one of the addresses cannot be listened on.
pub(crate) fn start(settings: &AgentFile) -> Result<AgentHandle, StartError> {
    let listener = listen(&settings.listen)?;
    let operator_listener = listen(&settings.operator_listen)?;
    let address = local_address(&listener, &settings.listen)?;
    let operator_address = local_address(&operator_listener, &settings.operator_listen)?;
    let supervisor = Supervisor::default();
    let (queue_sender, queue_receiver) = bounded_queue(QUEUE_CAPACITY);
    let (link_commands, link_command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (server_commands, server_command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (drained_sender, drained) = signal::channel(false);
    let shared = Shared {
        vm: settings.vm.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        settings: settings.core_settings(),
        metrics: Metrics::new(),
        supervisor: supervisor.clone(),
        drained: drained_sender,
        is_ready: Arc::new(AtomicBool::new(false)),
    };
    start_core_worker(
        &supervisor,
        &shared,
        &queue_receiver,
        &link_commands,
        &server_commands,
    );
    links::start(
        &supervisor,
        settings,
        &queue_sender,
        listener,
        Arc::new(Mutex::new(link_command_receiver)),
    );
    server::start(
        &supervisor,
        settings,
        &queue_sender,
        Arc::new(Mutex::new(server_command_receiver)),
    );
    let operator = Operator {
        queue: queue_sender.clone(),
        shared: shared.clone(),
    };
    start_operator_server(&supervisor, operator, operator_listener);
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
        queue: queue_sender,
        drained,
        drain_limit: Duration::from_millis(settings.drain_limit_ms),
    })
}

fn start_core_worker(
    supervisor: &Supervisor,
    shared: &Shared,
    queue: &QueueReceiver<Input>,
    link_commands: &mpsc::Sender<LinkCommand>,
    server_commands: &mpsc::Sender<ServerCommand>,
) {
    let shared = shared.clone();
    let queue = queue.clone();
    let link_commands = link_commands.clone();
    let server_commands = server_commands.clone();
    supervisor.start("decide", move || {
        CoreWorker::new(
            shared.clone(),
            link_commands.clone(),
            server_commands.clone(),
        )
        .run(&queue);
    });
}

struct Operator {
    queue: QueueSender<Input>,
    shared: Shared,
}

impl OperatorApi for Operator {
    fn status(&self) -> Option<oneshot::Receiver<String>> {
        let (sender, receiver) = oneshot::channel();
        self.queue.try_send(Input::Status(sender)).ok()?;
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
