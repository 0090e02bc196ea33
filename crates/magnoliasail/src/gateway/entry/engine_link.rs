//! An entry's link to the agent beside a model engine.

use {
    crate::{
        events::{EventId, emit},
        gateway::sockets::connect,
    },
    magnoliasail_core::gateway::{
        EngineRefusal, Holding, Holdings,
        message::{EngineState, Head, Submit, ToAgent, ToAgentKind, ToEntry, ToEntryKind},
    },
    magnoliasail_wire::{Link, LinkSettings, Outbox},
    prost::bytes::Bytes,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc},
        task::AbortHandle,
        time::{Instant, sleep},
    },
};

/// Parts of one answer that may wait to be relayed.
const WAITING_PARTS: usize = 4_096;
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// What an agent says of an attempt.
#[derive(Debug)]
pub(super) enum AttemptNews {
    /// The attempt has not run and will not.
    Refused {
        reason: EngineRefusal,
        retry_after_ms: u64,
    },
    Head(Head),
    Part(Bytes),
    End,
    /// The attempt may have run and has no further answer.
    Broken,
}

/// A link to an agent, opened anew whenever it ends.
pub(super) struct EngineLink {
    address: SocketAddr,
    outbox: RefCell<Option<Outbox<ToAgent>>>,
    state: Cell<EngineState>,
    /// When the state was told, or the link went down.
    told_at: Cell<Instant>,
    /// Told when the engine begins or ceases to take requests.
    changes: Rc<Notify>,
    holdings: RefCell<Holdings>,
    attempts: RefCell<HashMap<u64, mpsc::Sender<AttemptNews>>>,
    next_attempt: Cell<u64>,
    task: RefCell<Option<AbortHandle>>,
}

impl EngineLink {
    /// Opens a link and keeps it open.
    pub(super) fn open(address: SocketAddr, changes: Rc<Notify>) -> Rc<Self> {
        let link = Rc::new(Self {
            address,
            outbox: RefCell::default(),
            state: Cell::default(),
            told_at: Cell::new(Instant::now()),
            changes,
            holdings: RefCell::default(),
            attempts: RefCell::default(),
            next_attempt: Cell::new(1),
            task: RefCell::default(),
        });
        let task = tokio::task::spawn_local(keep_open(Rc::clone(&link)));
        link.task.replace(Some(task.abort_handle()));
        link
    }

    /// Returns the engine's state, if the link is up and the engine takes requests: at once, or
    /// when it has loaded its base model.
    pub(super) fn taking(&self) -> Option<EngineState> {
        let is_up = self.outbox.borrow().is_some();
        let state = self.state.get();
        let ready_in_ms = match (state.is_serving, state.ready_in_ms) {
            (true, _) => 0,
            (false, 0) => return None,
            (false, told_ms) => {
                let since_ms = self.told_at.get().elapsed().as_millis() as u64;
                told_ms.saturating_sub(since_ms).max(1)
            }
        };
        is_up.then_some(EngineState {
            ready_in_ms,
            ..state
        })
    }

    /// Tells whether the agent is only just being met, so that it may soon say that its engine
    /// takes requests.
    pub(super) fn is_settling(&self) -> bool {
        /// Time in which an agent that has started learns what its engine holds.
        const SETTLING: Duration = Duration::from_millis(600);
        self.taking().is_none() && self.told_at.get().elapsed() < SETTLING
    }

    fn set_state(&self, state: EngineState) {
        let old = self.state.replace(state);
        let takes = |state: EngineState| (state.is_serving, state.ready_in_ms > 0);
        if takes(old) != takes(state) {
            self.told_at.set(Instant::now());
            self.changes.notify_waiters();
        }
    }

    /// Returns how the engine holds an adapter.
    pub(super) fn holding(&self, adapter: u64) -> Holding {
        self.holdings.borrow().holding(adapter)
    }

    /// Tells whether no attempt is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.borrow().is_empty()
    }

    /// Closes the link for good.
    pub(super) fn close(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.outbox.replace(None);
    }

    /// Submits an attempt and returns its number and its news; nothing if the link is down.
    pub(super) fn submit(&self, mut submit: Submit) -> Option<(u64, mpsc::Receiver<AttemptNews>)> {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        submit.attempt = attempt;
        let (news, receiver) = mpsc::channel(WAITING_PARTS);
        self.attempts.borrow_mut().insert(attempt, news);
        if self.send(ToAgentKind::Submit(submit)) {
            return Some((attempt, receiver));
        }
        self.attempts.borrow_mut().remove(&attempt);
        None
    }

    /// Withdraws an attempt.
    pub(super) fn cancel(&self, attempt: u64) {
        if self.attempts.borrow_mut().remove(&attempt).is_some() {
            // A link that is down has withdrawn its attempts by that.
            let _ = self.send(ToAgentKind::Cancel(attempt));
        }
    }

    fn send(&self, kind: ToAgentKind) -> bool {
        let message = ToAgent { kind: Some(kind) };
        let outbox = self.outbox.borrow();
        outbox
            .as_ref()
            .is_some_and(|outbox| outbox.try_send(message).is_ok())
    }

    fn receive(&self, message: ToEntry) {
        let Some(kind) = message.kind else { return };
        match kind {
            ToEntryKind::State(state) => self.set_state(state),
            ToEntryKind::Holdings(news) => self.holdings.borrow_mut().apply(&news),
            ToEntryKind::Refused(refused) => {
                let news = AttemptNews::Refused {
                    reason: EngineRefusal::from_repr(refused.reason)
                        .unwrap_or(EngineRefusal::Overloaded),
                    retry_after_ms: refused.retry_after_ms,
                };
                self.last_news(refused.attempt, news);
            }
            ToEntryKind::Head(head) => self.news(head.attempt, AttemptNews::Head(head)),
            ToEntryKind::Part(part) => self.news(part.attempt, AttemptNews::Part(part.bytes)),
            ToEntryKind::End(attempt) => self.last_news(attempt, AttemptNews::End),
            ToEntryKind::Broken(attempt) => self.last_news(attempt, AttemptNews::Broken),
        }
    }

    /// Hands news to an attempt; one whose news pile up is withdrawn.
    fn news(&self, attempt: u64, news: AttemptNews) {
        let is_taken = match self.attempts.borrow().get(&attempt) {
            Some(sender) => sender.try_send(news).is_ok(),
            None => return,
        };
        if !is_taken {
            emit(
                EventId::RingFull,
                format_args!("attempt={attempt} agent={}", self.address),
            );
            self.cancel(attempt);
        }
    }

    fn last_news(&self, attempt: u64, news: AttemptNews) {
        self.news(attempt, news);
        self.attempts.borrow_mut().remove(&attempt);
    }
}

async fn keep_open(link: Rc<EngineLink>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        if let Ok(stream) = connect(link.address).await {
            let (open, outbox) = Link::new(stream, LinkSettings::default());
            link.outbox.replace(Some(outbox));
            emit(EventId::LinkUp, format_args!("agent={}", link.address));
            let receiver = Rc::clone(&link);
            let end = open
                .run(async move |message: ToEntry| receiver.receive(message))
                .await;
            link.outbox.replace(None);
            link.set_state(EngineState::default());
            // Each attempt learns from the end of its news that it is broken.
            link.attempts.borrow_mut().clear();
            let cause = end
                .err()
                .map_or_else(|| "closed".to_owned(), |error| error.to_string());
            emit(
                EventId::LinkDown,
                format_args!("agent={}: {cause}", link.address),
            );
            backoff = FIRST_BACKOFF;
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
