//! The daemon of an entry: its duties and how they are joined.
//!
//! | duty | thread | reads | writes |
//! |---|---|---|---|
//! | `decide` | blocking | the ring of [`Input`]s | replies, commands to links |
//! | `links` | runtime | commands | link events into the ring |
//! | `watch` | runtime | the platform | tables and lists into the ring |
//! | `callers` | runtime | HTTP | submissions into the ring |
//! | `operator` | runtime | HTTP | questions into the ring |

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
            CallerApi, CallerLimits, OperatorApi, ReplyWriter, ServeLimits, StartError,
            adopt_listener, listen, local, serve, start_operator,
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
const COMMANDS: usize = 65_536;

/// An item for the deciding duty.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(EntryEvent),
    /// A caller's request.
    Submit(Submission, ReplyWriter),
    /// An operator asks for the state.
    Status(oneshot::Sender<String>),
    /// An operator asks where a model's requests go.
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
    ring: QueueSender<Input>,
    shared: Shared,
    stop_accepting: signal::Sender<bool>,
    callers_done: signal::Receiver<bool>,
    drain_notice: Duration,
}

impl EntryHandle {
    /// Tells whether the entry takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down gracefully: refuses readiness, waits for the balancer, then finishes.
    pub(crate) async fn drain(mut self) {
        emit(EventId::DrainStarted, format_args!("role=entry"));
        self.shared.is_draining.store(true, Ordering::SeqCst);
        tokio::time::sleep(self.drain_notice).await;
        self.stop_accepting.send_replace(true);
        let _ = self.callers_done.wait_for(|&is_done| is_done).await;
        let _ = self.ring.try_send(Input::Event(EntryEvent::Drain));
        emit(EventId::DrainFinished, format_args!("role=entry"));
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub(crate) fn start(settings: &EntryFile) -> Result<EntryHandle, StartError> {
    let listener = listen(&settings.listen)?;
    let operator_listener = listen(&settings.operator_listen)?;
    let address = local(&listener, &settings.listen)?;
    let operator_address = local(&operator_listener, &settings.operator_listen)?;
    let supervisor = Supervisor::default();
    let metrics = Metrics::new();
    let (writer, reader) = bounded_queue(QUEUE_CAPACITY);
    let (commands, command_reader) = mpsc::channel(COMMANDS);
    let (stop_accepting, stop) = signal::channel(false);
    let (done, callers_done) = signal::channel(false);
    let shared = Shared::new(settings, metrics, supervisor.clone());
    let link_reader = Arc::new(tokio::sync::Mutex::new(command_reader));

    start_core_worker(&supervisor, &shared, &reader, &commands);
    links::start(&supervisor, settings, &writer, link_reader);
    watch::start(&supervisor, settings, &writer);
    start_callers(
        &supervisor,
        settings,
        &shared,
        &writer,
        listener,
        stop,
        done,
    );
    let operator = Operator {
        ring: writer.clone(),
        shared: shared.clone(),
    };
    start_operator(&supervisor, operator, operator_listener);
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
        ring: writer,
        shared,
        stop_accepting,
        callers_done,
        drain_notice: Duration::from_millis(settings.drain_notice_ms),
    })
}

fn start_core_worker(
    supervisor: &Supervisor,
    shared: &Shared,
    reader: &QueueReceiver<Input>,
    commands: &mpsc::Sender<LinkCommand>,
) {
    let shared = shared.clone();
    let reader = reader.clone();
    let commands = commands.clone();
    supervisor.start("decide", move || {
        CoreWorker::new(shared.clone(), commands.clone()).run(&reader);
    });
}

fn start_callers(
    supervisor: &Supervisor,
    settings: &EntryFile,
    shared: &Shared,
    ring: &QueueSender<Input>,
    listener: TcpListener,
    stop: signal::Receiver<bool>,
    done: signal::Sender<bool>,
) {
    let caller_limits = CallerLimits {
        max_body_bytes: settings.max_body_bytes as usize,
        body_timeout: Duration::from_millis(settings.body_timeout_ms),
        deadline_ms: settings.deadline_ms,
    };
    let serve_limits = ServeLimits {
        max_connections: settings.max_connections as usize,
        head_timeout: Duration::from_millis(settings.head_timeout_ms),
    };
    let shared = shared.clone();
    let ring = ring.clone();
    supervisor.start("callers", move || {
        let api = CallerApi::new(
            ring.clone(),
            Arc::clone(&shared.table),
            caller_limits,
            shared.metrics.clone(),
            shared.identity,
        );
        let metrics = shared.metrics.clone();
        let refused =
            move || metrics.count_refusal(magnoliasail_core::RefusalReason::TooManyConnections);
        run_async(async {
            let listener = adopt_listener(&listener);
            serve(listener, api.router(), serve_limits, stop.clone(), refused).await;
        });
        done.send_replace(true);
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

    fn explain(&self, model: &str) -> Option<oneshot::Receiver<String>> {
        let (sender, receiver) = oneshot::channel();
        self.ring
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
            core: settings.core(),
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
