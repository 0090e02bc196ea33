//! The link duty of an entry: one link to each agent of the slice, opened anew when it ends.

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

const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 2_000;

/// A command to the link duty.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Opens a link and keeps it open.
    Connect { vm: Arc<str>, address: Arc<str> },
    /// Closes a link for good.
    Disconnect { vm: Arc<str> },
    /// Sends a message.
    Send { vm: Arc<str>, message: EntryMessage },
}

type CommandReader = Arc<Mutex<mpsc::Receiver<LinkCommand>>>;
type Outboxes = Rc<RefCell<HashMap<Arc<str>, Outbox<EntryMessage>>>>;

/// Starts the link duty.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &EntryFile,
    ring: &QueueSender<Input>,
    commands: CommandReader,
) {
    let keys = settings.link.keys();
    let link = settings.link.settings();
    let ring = ring.clone();
    supervisor.start("links", move || {
        let links = Links {
            keys: keys.clone(),
            settings: link,
            ring: ring.clone(),
            tasks: HashMap::new(),
            outboxes: Outboxes::default(),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(links.run(commands)));
    });
}

struct Links {
    keys: LinkKeys,
    settings: LinkSettings,
    ring: QueueSender<Input>,
    tasks: HashMap<Arc<str>, JoinHandle<()>>,
    outboxes: Outboxes,
}

impl Links {
    async fn run(mut self, commands: CommandReader) {
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
            ring: self.ring.clone(),
            outboxes: Rc::clone(&self.outboxes),
        };
        self.tasks.insert(vm, spawn_local(peer.keep_open()));
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
        // A peer that reads too slowly loses its link; the resume recovers what was lost.
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
    ring: QueueSender<Input>,
    outboxes: Outboxes,
}

impl Peer {
    async fn keep_open(self) {
        let mut backoff_ms = FIRST_BACKOFF_MS;
        loop {
            match connect(&self.address, &self.keys, &self.settings).await {
                Ok(stream) => {
                    backoff_ms = FIRST_BACKOFF_MS;
                    let (link, outbox) = Link::new(stream, self.settings);
                    self.carry(link, outbox).await;
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

    async fn carry(&self, link: Link<EntryMessage>, outbox: Outbox<EntryMessage>) {
        let vm = &self.vm;
        self.outboxes.borrow_mut().insert(Arc::clone(vm), outbox);
        let up = EntryEvent::LinkUp { vm: Arc::clone(vm) };
        if self.ring.try_send(Input::Event(up)).is_ok() {
            emit(EventId::LinkUp, format_args!("vm={vm}"));
            let overflow = Notify::new();
            let received = async |message: AgentMessage| {
                let event = EntryEvent::Message {
                    vm: Arc::clone(vm),
                    message,
                };
                if self.ring.try_send(Input::Event(event)).is_err() {
                    overflow.notify_one();
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                end = link.run(received) => {
                    let reason = end.err().map_or_else(|| "closed".to_owned(), |e| e.to_string());
                    emit(EventId::LinkDown, format_args!("vm={vm}: {reason}"));
                }
                () = overflow.notified() => {
                    emit(EventId::RingFull, format_args!("ring=decide vm={vm}"));
                }
            }
        }
        self.outboxes.borrow_mut().remove(vm);
        self.announce_down().await;
    }

    /// Tells the deciding duty that the link is down; this must not be lost.
    async fn announce_down(&self) {
        const PAUSE: Duration = Duration::from_millis(5);
        loop {
            let vm = Arc::clone(&self.vm);
            let down = Input::Event(EntryEvent::LinkDown { vm });
            if self.ring.try_send(down).is_ok() {
                return;
            }
            sleep(PAUSE).await;
        }
    }
}
