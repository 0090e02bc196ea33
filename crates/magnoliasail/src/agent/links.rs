//! The worker `links` of an agent: accepts links from entries and carries their messages.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        http::to_tokio_listener,
        queue::QueueSender,
        settings::AgentFile,
        supervisor::{Supervisor, run_async},
    },
    magnoliasail_core::{
        AgentEvent,
        agent::LinkId,
        message::{AgentMessage, EntryMessage},
    },
    magnoliasail_wire::{Link, LinkError, LinkKeys, LinkSettings, Outbox, accept},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::TcpListener,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{Mutex, Notify, mpsc},
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// A command to the worker `links`.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Sends a message to the entry at the other end of a link; dropped if the link is closed.
    Send { link: LinkId, message: AgentMessage },
    /// Closes every link.
    CloseAll,
}

type CommandReceiver = Arc<Mutex<mpsc::Receiver<LinkCommand>>>;
type Outboxes = Rc<RefCell<HashMap<LinkId, Outbox<AgentMessage>>>>;

/// Starts the worker `links`.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &AgentFile,
    queue: &QueueSender<Input>,
    listener: TcpListener,
    commands: CommandReceiver,
) {
    let keys = settings.link.keys();
    let link_settings = settings.link.settings();
    let queue = queue.clone();
    supervisor.start("links", move || {
        let acceptor = Acceptor {
            keys: keys.clone(),
            settings: link_settings,
            queue: queue.clone(),
            outboxes: Outboxes::default(),
            // Starts from the time, so that a restarted worker does not reuse IDs.
            next_link_id: Cell::new(crate::clock::wall_ms() << 16),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(async {
            let listener = to_tokio_listener(&listener);
            tokio::join!(
                acceptor.accept_all(listener),
                acceptor.run_commands(commands)
            );
        }));
    });
}

struct Acceptor {
    keys: LinkKeys,
    settings: LinkSettings,
    queue: QueueSender<Input>,
    outboxes: Outboxes,
    next_link_id: Cell<LinkId>,
}

impl Acceptor {
    async fn run_commands(&self, commands: CommandReceiver) {
        let mut commands = commands.lock().await;
        while let Some(command) = commands.recv().await {
            let mut outboxes = self.outboxes.borrow_mut();
            match command {
                LinkCommand::CloseAll => outboxes.clear(),
                LinkCommand::Send { link, message } => {
                    let Some(outbox) = outboxes.get(&link) else {
                        continue;
                    };
                    // The outbox is full if the entry reads too slowly. Dropping it closes the
                    // link, and the entry resumes on a new one.
                    if outbox.try_send(message).is_err() {
                        outboxes.remove(&link);
                    }
                }
            }
        }
    }

    async fn accept_all(&self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let link_id = self.next_link_id.get();
            self.next_link_id.set(link_id + 1);
            let connection = Connection {
                link_id,
                keys: self.keys.clone(),
                settings: self.settings,
                queue: self.queue.clone(),
                outboxes: Rc::clone(&self.outboxes),
            };
            spawn_local(connection.serve(stream));
        }
    }
}

struct Connection {
    link_id: LinkId,
    keys: LinkKeys,
    settings: LinkSettings,
    queue: QueueSender<Input>,
    outboxes: Outboxes,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let link_id = self.link_id;
        let stream = match accept(stream, &self.keys, &self.settings).await {
            Ok(stream) => stream,
            Err(error) => {
                if let LinkError::Unauthenticated = error {
                    emit(EventId::LinkUnauthenticated, error);
                }
                return;
            }
        };
        let (link, outbox) = Link::new(stream, self.settings);
        self.outboxes.borrow_mut().insert(link_id, outbox);
        let link_up = AgentEvent::LinkUp { link: link_id };
        if self.queue.try_send(Input::Event(link_up)).is_ok() {
            emit(EventId::LinkUp, format_args!("link={link_id}"));
            let reason = self.forward_messages(link).await;
            emit(EventId::LinkDown, format_args!("link={link_id}: {reason}"));
        }
        self.outboxes.borrow_mut().remove(&link_id);
        self.report_link_down().await;
    }

    /// Forwards messages to the core until the link closes or the queue is full; returns why.
    async fn forward_messages(&self, link: Link<AgentMessage>) -> String {
        let queue_full = Notify::new();
        let on_message = async |message: EntryMessage| {
            let event = AgentEvent::Message {
                link: self.link_id,
                message,
            };
            if self.queue.try_send(Input::Event(event)).is_err() {
                queue_full.notify_one();
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            end = link.run(on_message) => {
                end.err().map_or_else(|| "closed".to_owned(), |error| error.to_string())
            }
            () = queue_full.notified() => "the queue of the worker `decide` is full".to_owned(),
        }
    }

    /// Reports to the core that the link is down.
    ///
    /// Retries while the queue is full, because the core must not miss this event.
    async fn report_link_down(&self) {
        const RETRY_DELAY: Duration = Duration::from_millis(5);
        loop {
            let link_down = Input::Event(AgentEvent::LinkDown { link: self.link_id });
            if self.queue.try_send(link_down).is_ok() {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
