//! The worker `links` of an entry: keeps one link open to the agent of each listed server, and
//! reconnects when it closes.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        queue::QueueSender,
        settings::EntryFile,
        supervisor::{Supervisor, run_async},
    },
    magnoliasail_core::{
        entry::EntryEvent,
        message::{AgentMessage, EntryMessage},
    },
    magnoliasail_wire::{Link, LinkError, LinkKeys, LinkSettings, Outbox, connect},
    std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, Notify, mpsc},
        task::{JoinHandle, LocalSet, spawn_local},
        time::sleep,
    },
};

const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 2_000;

/// A command to the worker `links`.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Opens a link to an agent and reconnects when it closes; replaces an open one.
    Connect { vm: Arc<str>, address: Arc<str> },
    /// Closes a link and does not reopen it.
    Disconnect { vm: Arc<str> },
    /// Sends a message to an agent; dropped if no link to it is open.
    Send { vm: Arc<str>, message: EntryMessage },
}

type CommandReceiver = Arc<Mutex<mpsc::Receiver<LinkCommand>>>;
type Outboxes = Rc<RefCell<HashMap<Arc<str>, Outbox<EntryMessage>>>>;

/// Starts the worker `links`.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &EntryFile,
    queue: &QueueSender<Input>,
    commands: CommandReceiver,
) {
    let keys = settings.link.keys();
    let link_settings = settings.link.settings();
    let queue = queue.clone();
    supervisor.start("links", move || {
        let links = Links {
            keys: keys.clone(),
            settings: link_settings,
            queue: queue.clone(),
            tasks: HashMap::new(),
            outboxes: Outboxes::default(),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(links.run_commands(commands)));
    });
}

struct Links {
    keys: LinkKeys,
    settings: LinkSettings,
    queue: QueueSender<Input>,
    tasks: HashMap<Arc<str>, JoinHandle<()>>,
    outboxes: Outboxes,
}

impl Links {
    async fn run_commands(mut self, commands: CommandReceiver) {
        let mut commands = commands.lock().await;
        while let Some(command) = commands.recv().await {
            match command {
                LinkCommand::Connect { vm, address } => self.connect(vm, address),
                LinkCommand::Disconnect { vm } => self.disconnect(&vm),
                LinkCommand::Send { vm, message } => self.send(&vm, message),
            }
        }
    }

    fn connect(&mut self, vm: Arc<str>, address: Arc<str>) {
        self.disconnect(&vm);
        let peer = Peer {
            vm: Arc::clone(&vm),
            address,
            keys: self.keys.clone(),
            settings: self.settings,
            queue: self.queue.clone(),
            outboxes: Rc::clone(&self.outboxes),
        };
        self.tasks.insert(vm, spawn_local(peer.keep_connected()));
    }

    fn disconnect(&mut self, vm: &Arc<str>) {
        self.outboxes.borrow_mut().remove(vm);
        if let Some(task) = self.tasks.remove(vm) {
            task.abort();
        }
    }

    fn send(&self, vm: &Arc<str>, message: EntryMessage) {
        let mut outboxes = self.outboxes.borrow_mut();
        let Some(outbox) = outboxes.get(vm) else {
            return;
        };
        // The outbox is full if the agent reads too slowly. Dropping it closes the link, and the
        // resume on a new one recovers the lost messages.
        if outbox.try_send(message).is_err() {
            outboxes.remove(vm);
        }
    }
}

struct Peer {
    vm: Arc<str>,
    address: Arc<str>,
    keys: LinkKeys,
    settings: LinkSettings,
    queue: QueueSender<Input>,
    outboxes: Outboxes,
}

impl Peer {
    async fn keep_connected(self) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            match connect(&self.address, &self.keys, &self.settings).await {
                Ok(stream) => {
                    backoff_ms = INITIAL_BACKOFF_MS;
                    let (link, outbox) = Link::new(stream, self.settings);
                    self.run_link(link, outbox).await;
                }
                Err(error) => {
                    if let LinkError::Unauthenticated = error {
                        let vm = &self.vm;
                        emit(
                            EventId::LinkUnauthenticated,
                            format_args!("vm={vm}: {error}"),
                        );
                    }
                    backoff_ms = (2 * backoff_ms).min(MAX_BACKOFF_MS);
                }
            }
            let jitter = 0.5 + rand::random::<f64>();
            sleep(Duration::from_millis((backoff_ms as f64 * jitter) as u64)).await;
        }
    }

    async fn run_link(&self, link: Link<EntryMessage>, outbox: Outbox<EntryMessage>) {
        let vm = &self.vm;
        self.outboxes.borrow_mut().insert(Arc::clone(vm), outbox);
        let link_up = EntryEvent::LinkUp { vm: Arc::clone(vm) };
        if self.queue.try_send(Input::Event(link_up)).is_ok() {
            emit(EventId::LinkUp, format_args!("vm={vm}"));
            let queue_full = Notify::new();
            let on_message = async |message: AgentMessage| {
                let event = EntryEvent::Message {
                    vm: Arc::clone(vm),
                    message,
                };
                if self.queue.try_send(Input::Event(event)).is_err() {
                    queue_full.notify_one();
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                end = link.run(on_message) => {
                    let reason = end
                        .err()
                        .map_or_else(|| "closed".to_owned(), |error| error.to_string());
                    emit(EventId::LinkDown, format_args!("vm={vm}: {reason}"));
                }
                () = queue_full.notified() => {
                    emit(EventId::RingFull, format_args!("ring=decide vm={vm}"));
                }
            }
        }
        self.outboxes.borrow_mut().remove(vm);
        self.report_link_down().await;
    }

    /// Reports to the core that the link is down.
    ///
    /// Retries while the queue is full, because the core must not miss this event.
    async fn report_link_down(&self) {
        const RETRY_DELAY: Duration = Duration::from_millis(5);
        loop {
            let vm = Arc::clone(&self.vm);
            let link_down = Input::Event(EntryEvent::LinkDown { vm });
            if self.queue.try_send(link_down).is_ok() {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
