//! The link duty of an agent: accepts links from entries.

use {
    super::Input,
    crate::{
        events::{EventId, emit},
        http::adopt_listener,
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

/// A command to the link duty.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Sends a message.
    Send { link: LinkId, message: AgentMessage },
    /// Closes every link.
    CloseAll,
}

type CommandReader = Arc<Mutex<mpsc::Receiver<LinkCommand>>>;
type Outboxes = Rc<RefCell<HashMap<LinkId, Outbox<AgentMessage>>>>;

/// Starts the link duty.
pub(super) fn start(
    supervisor: &Supervisor,
    settings: &AgentFile,
    ring: &QueueSender<Input>,
    listener: TcpListener,
    commands: CommandReader,
) {
    let keys = settings.link.keys();
    let link = settings.link.settings();
    let ring = ring.clone();
    supervisor.start("links", move || {
        let acceptor = Acceptor {
            keys: keys.clone(),
            settings: link,
            ring: ring.clone(),
            outboxes: Outboxes::default(),
            next_link: Cell::new(crate::clock::wall_ms() << 16),
        };
        let commands = Arc::clone(&commands);
        run_async(LocalSet::new().run_until(async {
            let listener = adopt_listener(&listener);
            tokio::join!(acceptor.accept_all(listener), acceptor.carry_out(commands));
        }));
    });
}

struct Acceptor {
    keys: LinkKeys,
    settings: LinkSettings,
    ring: QueueSender<Input>,
    outboxes: Outboxes,
    next_link: Cell<LinkId>,
}

impl Acceptor {
    async fn carry_out(&self, commands: CommandReader) {
        let mut commands = commands.lock().await;
        while let Some(command) = commands.recv().await {
            let mut outboxes = self.outboxes.borrow_mut();
            match command {
                LinkCommand::CloseAll => outboxes.clear(),
                LinkCommand::Send { link, message } => {
                    let Some(outbox) = outboxes.get(&link) else {
                        continue;
                    };
                    // An entry that reads too slowly loses its link and resumes on a new one.
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
            let number = self.next_link.get();
            self.next_link.set(number + 1);
            let connection = Connection {
                link: number,
                keys: self.keys.clone(),
                settings: self.settings,
                ring: self.ring.clone(),
                outboxes: Rc::clone(&self.outboxes),
            };
            spawn_local(connection.carry(stream));
        }
    }
}

struct Connection {
    link: LinkId,
    keys: LinkKeys,
    settings: LinkSettings,
    ring: QueueSender<Input>,
    outboxes: Outboxes,
}

impl Connection {
    async fn carry(self, stream: TcpStream) {
        let number = self.link;
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
        self.outboxes.borrow_mut().insert(number, outbox);
        let up = AgentEvent::LinkUp { link: number };
        if self.ring.try_send(Input::Event(up)).is_ok() {
            emit(EventId::LinkUp, format_args!("link={number}"));
            let reason = self.receive(link).await;
            emit(EventId::LinkDown, format_args!("link={number}: {reason}"));
        }
        self.outboxes.borrow_mut().remove(&number);
        self.announce_down().await;
    }

    /// Carries messages until the link ends; returns why it ended.
    async fn receive(&self, link: Link<AgentMessage>) -> String {
        let overflow = Notify::new();
        let received = async |message: EntryMessage| {
            let event = AgentEvent::Message {
                link: self.link,
                message,
            };
            if self.ring.try_send(Input::Event(event)).is_err() {
                overflow.notify_one();
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            end = link.run(received) => {
                end.err().map_or_else(|| "closed".to_owned(), |error| error.to_string())
            }
            () = overflow.notified() => "the ring of the deciding duty is full".to_owned(),
        }
    }

    /// Tells the deciding duty that the link is down; this must not be lost.
    async fn announce_down(&self) {
        const PAUSE: Duration = Duration::from_millis(5);
        loop {
            let down = Input::Event(AgentEvent::LinkDown { link: self.link });
            if self.ring.try_send(down).is_ok() {
                return;
            }
            sleep(PAUSE).await;
        }
    }
}
