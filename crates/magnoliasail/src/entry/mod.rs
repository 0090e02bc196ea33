//! The daemon of an entry: its workers and the queues between them.
//!
//! Each worker is a thread. `decide` blocks on its queue; the others run an asynchronous runtime.
//!
//! | worker | thread | reads | writes |
//! |---|---|---|---|
//! | `decide` | blocking | the queue of [`Input`]s | replies to callers, commands to `links` |
//! | `links` | runtime | commands, links to agents | link events to `decide` |
//! | `watch` | runtime | the platform | tables and lists of VMs to `decide` |
//! | `callers` | runtime | HTTP requests of callers | submissions to `decide` |
//! | `operator` | runtime | HTTP requests of operators | queries to `decide` |

mod core_worker;
mod links;
mod status;
mod watch;

pub(crate) use self::core_worker::emit_suspect_status;

use {
    self::{
        core_worker::{CoreWorker, Shared},
        links::LinkCommand,
    },
    crate::{
        events::{EventId, emit},
        http::{
            CallerApi, CallerLimits, OperatorApi, ReplyWriter, ServerLimits, StartError, listen,
            local_address, serve, start_operator_server, to_tokio_listener,
        },
        metrics::Metrics,
        queue::{QueueReceiver, QueueSender, bounded_queue},
        settings::EntryFile,
        supervisor::{Supervisor, run_async},
    },
    magnoliasail_core::entry::{EntryEvent, Submission},
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot, watch as signal},
};

const QUEUE_CAPACITY: usize = 65_536;
const COMMAND_QUEUE_CAPACITY: usize = 65_536;

/// An item in the queue of the worker that owns the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(EntryEvent),
    /// A caller submitted a request, whose reply goes to the writer.
    Submit(Submission, ReplyWriter),
    /// An operator requests the status document, which goes to the sender.
    Status(oneshot::Sender<String>),
    /// An operator asks which server a request for a model would go to; the answer goes to the
    /// sender.
    Explain(String, oneshot::Sender<String>),
}

impl crate::http::CallerInput for Input {
    fn submit(submission: Submission, reply: ReplyWriter) -> Self {
        Self::Submit(submission, reply)
    }

    fn caller_gone(request: u64) -> Self {
        Self::Event(EntryEvent::CallerGone { request })
    }
}

/// A running entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryHandle {
    pub(crate) address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    queue: QueueSender<Input>,
    shared: Shared,
    stop_accepting: signal::Sender<bool>,
    callers_done: signal::Receiver<bool>,
    drain_notice: Duration,
}

impl EntryHandle {
    /// Returns whether the entry accepts requests: it has a table and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down gracefully: reports itself as not ready, waits for the load balancer to notice,
    /// then accepts no more connections and completes the requests of the open ones.
    pub(crate) async fn drain(mut self) {
        emit(EventId::DrainStarted, format_args!("role=entry"));
        self.shared.is_draining.store(true, Ordering::SeqCst);
        tokio::time::sleep(self.drain_notice).await;
        self.stop_accepting.send_replace(true);
        let _ = self.callers_done.wait_for(|&is_done| is_done).await;
        let _ = self.queue.try_send(Input::Event(EntryEvent::Drain));
        emit(EventId::DrainFinished, format_args!("role=entry"));
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if one of the addresses cannot be listened on.
pub(crate) fn start(settings: &EntryFile) -> Result<EntryHandle, StartError> {
    let listener = listen(&settings.listen)?;
    let operator_listener = listen(&settings.operator_listen)?;
    let address = local_address(&listener, &settings.listen)?;
    let operator_address = local_address(&operator_listener, &settings.operator_listen)?;
    let supervisor = Supervisor::default();
    let metrics = Metrics::new();
    let (queue_sender, queue_receiver) = bounded_queue(QUEUE_CAPACITY);
    let (link_commands, link_command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (stop_accepting, stop) = signal::channel(false);
    let (callers_done_sender, callers_done) = signal::channel(false);
    let shared = Shared::new(settings, metrics, supervisor.clone());
    let link_command_receiver = Arc::new(tokio::sync::Mutex::new(link_command_receiver));

    start_core_worker(&supervisor, &shared, &queue_receiver, &link_commands);
    links::start(&supervisor, settings, &queue_sender, link_command_receiver);
    watch::start(&supervisor, settings, &queue_sender);
    start_callers(
        &supervisor,
        settings,
        &shared,
        &queue_sender,
        listener,
        stop,
        callers_done_sender,
    );
    let operator = Operator {
        queue: queue_sender.clone(),
        shared: shared.clone(),
    };
    start_operator_server(&supervisor, operator, operator_listener);
    emit(
        EventId::Started,
        format_args!(
            "role=entry vm={} address={address} operator={operator_address}",
            settings.vm
        ),
    );
    Ok(EntryHandle {
        address,
        operator_address,
        queue: queue_sender,
        shared,
        stop_accepting,
        callers_done,
        drain_notice: Duration::from_millis(settings.drain_notice_ms),
    })
}

fn start_core_worker(
    supervisor: &Supervisor,
    shared: &Shared,
    queue: &QueueReceiver<Input>,
    link_commands: &mpsc::Sender<LinkCommand>,
) {
    let shared = shared.clone();
    let queue = queue.clone();
    let link_commands = link_commands.clone();
    supervisor.start("decide", move || {
        CoreWorker::new(shared.clone(), link_commands.clone()).run(&queue);
    });
}

fn start_callers(
    supervisor: &Supervisor,
    settings: &EntryFile,
    shared: &Shared,
    queue: &QueueSender<Input>,
    listener: TcpListener,
    stop: signal::Receiver<bool>,
    callers_done: signal::Sender<bool>,
) {
    let caller_limits = CallerLimits {
        max_body_bytes: settings.max_body_bytes as usize,
        body_timeout: Duration::from_millis(settings.body_timeout_ms),
        deadline_ms: settings.deadline_ms,
    };
    let serve_limits = ServerLimits {
        max_connections: settings.max_connections as usize,
        head_timeout: Duration::from_millis(settings.head_timeout_ms),
    };
    let shared = shared.clone();
    let queue = queue.clone();
    supervisor.start("callers", move || {
        let api = CallerApi::new(
            queue.clone(),
            Arc::clone(&shared.table),
            caller_limits,
            shared.metrics.clone(),
            shared.identity,
        );
        let metrics = shared.metrics.clone();
        let on_refused =
            move || metrics.count_refusal(magnoliasail_core::RefusalReason::TooManyConnections);
        run_async(async {
            let listener = to_tokio_listener(&listener);
            serve(
                listener,
                api.router(),
                serve_limits,
                stop.clone(),
                on_refused,
            )
            .await;
        });
        callers_done.send_replace(true);
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

    fn explain(&self, model: &str) -> Option<oneshot::Receiver<String>> {
        let (sender, receiver) = oneshot::channel();
        self.queue
            .try_send(Input::Explain(model.to_owned(), sender))
            .ok()?;
        Some(receiver)
    }

    fn metrics(&self) -> String {
        self.shared.metrics.encode()
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }
}

impl Shared {
    fn new(settings: &EntryFile, metrics: Metrics, supervisor: Supervisor) -> Self {
        Self {
            vm: settings.vm.as_str().into(),
            data_centre: settings.data_centre.as_str().into(),
            identity: rand::random(),
            settings: settings.core_settings(),
            table: Arc::new(Mutex::default()),
            is_draining: Arc::new(AtomicBool::new(false)),
            metrics,
            supervisor,
        }
    }

    fn is_ready(&self) -> bool {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.version > 0 && !self.is_draining.load(Ordering::SeqCst)
    }
}
