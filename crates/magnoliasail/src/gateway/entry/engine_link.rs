//! The entry's link to the agent of a model engine.

use {
    super::{link_notice::LinkNotice, questions::Questions},
    crate::{
        events::{EventId, emit},
        gateway::{
            buffer_budget::{BufferBudget, HeldBytes},
            sockets::connect,
        },
    },
    magnoliasail_core::gateway::{
        EngineRefusal, Holding, Holdings, QuotaGrant, QuotaQuestion, UnreportedWork,
        message::{
            AskQuota, AskSend, EngineState, Head, OriginAnswer, Part, SendAnswer, StreamOrigin,
            Submit, ToAgent, ToAgentKind, ToEntry, ToEntryKind,
        },
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
        sync::{Notify, mpsc, oneshot},
        task::AbortHandle,
        time::{Instant, sleep},
    },
};

/// Updates of one attempt that may wait for the request's task.
const UPDATE_QUEUE_CAPACITY: usize = 4_096;
/// Bytes of one stream that may wait for its caller.
const MAX_STREAM_BYTES: usize = 2 << 20;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// An update from the agent about an attempt.
#[derive(Debug)]
pub(super) enum AttemptUpdate {
    /// The attempt has not run and will not run.
    Refused {
        reason: EngineRefusal,
        retry_after_ms: u64,
    },
    Head(Head),
    Part(HeldPart),
    /// The engine has sent nothing for a while; the attempt goes on.
    Stalled,
    End,
    /// The attempt failed and may have run; its response, if any, ends early.
    Aborted,
}

/// A part of a response that waits for its caller, and counts towards the budget of its stream and of the
/// process until it is dropped.
#[derive(Debug)]
pub(super) struct HeldPart {
    pub(super) bytes: Bytes,
    _held: HeldBytes,
}

/// An attempt whose response has not ended.
struct OpenAttempt {
    updates: mpsc::Sender<AttemptUpdate>,
    budget: Rc<BufferBudget>,
}

/// A link to an agent, which reconnects whenever the connection ends.
pub(super) struct EngineLink {
    address: SocketAddr,
    /// The queue of messages to send; `None` while the link is down.
    outbox: RefCell<Option<Outbox<ToAgent>>>,
    state: Cell<EngineState>,
    /// When `state` was received.
    state_received_at: Cell<Instant>,
    /// Requests that `state` does not include yet.
    unreported: Cell<UnreportedWork>,
    /// When the availability of the engine last changed, through a report or the end of the link;
    /// initially when the link was created.
    state_changed_at: Cell<Instant>,
    /// Notified when the engine starts or stops accepting requests.
    changes: Rc<Notify>,
    /// Notified when the engine has started anew.
    list_outdated: Rc<Notify>,
    holdings: RefCell<Holdings>,
    attempts: RefCell<HashMap<u64, OpenAttempt>>,
    /// The budget of the process.
    buffered: Rc<BufferBudget>,
    next_attempt: Cell<u64>,
    /// Queries for the origins of streams that the agent has not answered, by stream key.
    origin_queries: RefCell<HashMap<u64, Vec<mpsc::Sender<OriginAnswer>>>>,
    /// Questions whether a request may be sent that the agent has not answered.
    send_questions: Questions<SendAnswer>,
    /// Questions for units of quotas that the agent has not answered.
    quota_questions: Questions<QuotaGrant>,
    notices: mpsc::Sender<LinkNotice>,
    task: RefCell<Option<AbortHandle>>,
}

impl EngineLink {
    /// Creates a link and the task that connects it.
    pub(super) fn open(
        address: SocketAddr,
        changes: Rc<Notify>,
        list_outdated: Rc<Notify>,
        notices: mpsc::Sender<LinkNotice>,
        buffered: Rc<BufferBudget>,
    ) -> Rc<Self> {
        let link = Rc::new(Self {
            address,
            outbox: RefCell::default(),
            state: Cell::default(),
            state_received_at: Cell::new(Instant::now()),
            unreported: Cell::default(),
            state_changed_at: Cell::new(Instant::now()),
            changes,
            list_outdated,
            holdings: RefCell::default(),
            attempts: RefCell::default(),
            buffered,
            next_attempt: Cell::new(1),
            origin_queries: RefCell::default(),
            send_questions: Questions::default(),
            quota_questions: Questions::default(),
            notices,
            task: RefCell::default(),
        });
        let task = tokio::task::spawn_local(keep_connected(Rc::clone(&link)));
        link.task.replace(Some(task.abort_handle()));
        link
    }

    /// Returns the engine's state if the link is up and the engine accepts requests, now or when
    /// its base model is loaded and its pause has ended.
    ///
    /// In the result, `ready_in_ms` is the time left from now, or 0 if the engine accepts requests
    /// already.
    pub(super) fn usable_state(&self) -> Option<EngineState> {
        let is_up = self.outbox.borrow().is_some();
        let state = self.state.get();
        let ready_in_ms = match (state.is_serving, state.ready_in_ms) {
            (true, _) => 0,
            (false, 0) => return None,
            (false, reported_ms) => reported_ms.saturating_sub(self.state_age_ms()).max(1),
        };
        is_up.then_some(EngineState {
            ready_in_ms,
            ..state
        })
    }

    /// Returns the time since the engine's state was received, in milliseconds.
    pub(super) fn state_age_ms(&self) -> u64 {
        self.state_received_at.get().elapsed().as_millis() as u64
    }

    /// Returns whether the agent may soon report that its engine accepts requests: the link was
    /// created only just, or the engine has only just stopped accepting requests.
    pub(super) fn is_starting(&self) -> bool {
        /// Time in which an agent that has started finds out what its engine has.
        const STARTUP_WINDOW: Duration = Duration::from_millis(600);
        self.usable_state().is_none()
            && !self.state.get().is_ending
            && self.state_changed_at.get().elapsed() < STARTUP_WINDOW
    }

    /// Returns the expected time until the first event of a request of this rank that is sent now, in
    /// milliseconds.
    pub(super) fn first_event_ms(&self, rank: u32, now_ms: u64) -> f64 {
        let (requests, prompt_tokens) = self.unreported.get().totals(now_ms);
        self.state
            .get()
            .first_event_ms(rank, requests, prompt_tokens)
    }

    /// Returns what a prompt costs at the engine, in milliseconds.
    pub(super) fn prompt_cost_ms(&self, prompt_tokens: u64, now_ms: u64) -> f64 {
        let (requests, _) = self.unreported.get().totals(now_ms);
        self.state.get().prompt_cost_ms(prompt_tokens, requests)
    }

    fn set_state(&self, state: EngineState) {
        let old = self.state.replace(state);
        self.state_received_at.set(Instant::now());
        self.unreported.set(UnreportedWork::default());
        let has_restarted = old.started_ms.is_some() && state.started_ms != old.started_ms;
        if has_restarted && state.started_ms.is_some() {
            self.list_outdated.notify_one();
        }
        let availability = |state: EngineState| (state.is_serving, state.ready_in_ms > 0);
        if availability(old) != availability(state) {
            self.state_changed_at.set(Instant::now());
            self.changes.notify_waiters();
        }
    }

    /// Returns where the engine has the model or adapter with this key.
    pub(super) fn holding(&self, key: u64) -> Holding {
        self.holdings.borrow().holding(key)
    }

    /// Returns how often the adapter with this key was used recently at the engine.
    pub(super) fn uses(&self, key: u64) -> u32 {
        self.holdings.borrow().uses(key)
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.borrow().is_empty()
    }

    /// Closes the link permanently.
    pub(super) fn close(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.outbox.replace(None);
    }

    /// Submits an attempt; returns its number and the receiver of its updates, or `None` if the
    /// link is down or its queue is full.
    pub(super) fn submit(
        &self,
        mut submit: Submit,
        prompt_tokens: u64,
        now_ms: u64,
    ) -> Option<(u64, mpsc::Receiver<AttemptUpdate>)> {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        submit.attempt = attempt;
        let (sender, receiver) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
        let open = OpenAttempt {
            updates: sender,
            budget: self.buffered.part(MAX_STREAM_BYTES),
        };
        self.attempts.borrow_mut().insert(attempt, open);
        if self.send(ToAgentKind::Submit(submit)) {
            let mut unreported = self.unreported.get();
            unreported.add(prompt_tokens, now_ms);
            self.unreported.set(unreported);
            return Some((attempt, receiver));
        }
        self.attempts.borrow_mut().remove(&attempt);
        None
    }

    /// Cancels an attempt, unless it has ended.
    pub(super) fn cancel(&self, attempt: u64) {
        if self.attempts.borrow_mut().remove(&attempt).is_some() {
            // Fails if the link is down, and then the agent cancels the attempts by itself.
            let _ = self.send(ToAgentKind::Cancel(attempt));
        }
    }

    /// Returns whether the link is up.
    pub(super) fn is_up(&self) -> bool {
        self.outbox.borrow().is_some()
    }

    /// Returns the number of entries that the agent reports, or `None` if it has not reported it on a link
    /// that is up.
    pub(super) fn reported_entries(&self) -> Option<u32> {
        let entries = self.state.get().entries;
        (entries > 0).then_some(entries)
    }

    /// Asks the agent to remember the origin of a stream, if the link is up.
    pub(super) fn remember_origin(&self, origin: StreamOrigin) {
        // If the message is not sent, the origin may be unknown later; a request that resumes the
        // stream is then refused.
        let _ = self.send(ToAgentKind::RememberOrigin(origin));
    }

    /// Asks the agent for the origin of a stream. The answer goes to `answers`, which is dropped without one if
    /// the agent cannot be asked.
    pub(super) fn find_origin(&self, key: u64, answers: mpsc::Sender<OriginAnswer>) {
        if !self.send(ToAgentKind::FindOrigin(key)) {
            return;
        }
        let mut queries = self.origin_queries.borrow_mut();
        // Agents of an older release do not answer.
        queries.retain(|_, senders| senders.iter().any(|sender| !sender.is_closed()));
        queries.entry(key).or_default().push(answers);
    }

    /// Asks the agent whether a request may be sent to a plain server; returns the receiver of its answer, or
    /// `None` if the link is down.
    pub(super) fn ask_send(&self, question: AskSend) -> Option<oneshot::Receiver<SendAnswer>> {
        let (number, receiver) = self.send_questions.open();
        let question = AskSend {
            question: number,
            ..question
        };
        self.send(ToAgentKind::AskSend(question))
            .then_some(receiver)
    }

    /// Asks the agent for units of a quota; returns the receiver of its answer, or `None` if the link is
    /// down.
    pub(super) fn ask_quota(
        &self,
        question: &QuotaQuestion,
    ) -> Option<oneshot::Receiver<QuotaGrant>> {
        let (number, receiver) = self.quota_questions.open();
        let question = AskQuota::new(number, question);
        self.send(ToAgentKind::AskQuota(question))
            .then_some(receiver)
    }

    fn answer_origin_queries(&self, answer: &OriginAnswer) {
        let senders = self.origin_queries.borrow_mut().remove(&answer.key);
        for sender in senders.unwrap_or_default() {
            // The queue has room for all agents that were asked.
            let _ = sender.try_send(answer.clone());
        }
    }

    /// Queues a notice for the entry. A notice that does not fit is lost, as if the link were down.
    fn notify(&self, notice: LinkNotice) {
        if self.notices.try_send(notice).is_err() {
            emit(
                EventId::RingFull,
                format_args!("notices agent={}", self.address),
            );
        }
    }

    /// Queues a message for the agent; returns `false` if the link is down or its queue is full.
    pub(super) fn send(&self, kind: ToAgentKind) -> bool {
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
            ToEntryKind::Crash(report) => {
                self.notify(LinkNotice::Crash(self.address.ip(), report));
            }
            ToEntryKind::Quarantine(change) => self.notify(LinkNotice::Quarantine(change)),
            ToEntryKind::Completed(notice) => self.notify(LinkNotice::Completed(notice)),
            ToEntryKind::QuarantinesSent(_) => self.notify(LinkNotice::QuarantinesSent),
            ToEntryKind::SendAnswer(answer) => {
                self.send_questions.answer(answer.question, answer);
            }
            ToEntryKind::QuotaAnswer(answer) => {
                self.quota_questions
                    .answer(answer.question, answer.content());
            }
            ToEntryKind::Configuration(copy) => self.notify(LinkNotice::Configuration(copy)),
            ToEntryKind::Fetches(fetches) => {
                self.notify(LinkNotice::Fetches(self.address.ip(), fetches));
            }
            ToEntryKind::Versions(versions) => self.notify(LinkNotice::Versions(versions)),
            ToEntryKind::FollowView(_) => self.notify(LinkNotice::FollowView(self.address.ip())),
            ToEntryKind::Origin(answer) => self.answer_origin_queries(&answer),
            ToEntryKind::Holdings(update) => self.holdings.borrow_mut().apply(&update),
            ToEntryKind::Refused(refused) => {
                let update = AttemptUpdate::Refused {
                    reason: EngineRefusal::from_repr(refused.reason)
                        .unwrap_or(EngineRefusal::Overloaded),
                    retry_after_ms: refused.retry_after_ms,
                };
                self.deliver_last(refused.attempt, update);
            }
            ToEntryKind::Head(head) => self.deliver(head.attempt, AttemptUpdate::Head(head)),
            ToEntryKind::Part(part) => self.deliver_part(part),
            ToEntryKind::Stalled(attempt) => self.deliver(attempt, AttemptUpdate::Stalled),
            ToEntryKind::End(attempt) => self.deliver_last(attempt, AttemptUpdate::End),
            ToEntryKind::Broken(attempt) => self.deliver_last(attempt, AttemptUpdate::Aborted),
        }
    }

    /// Queues an update for an attempt, and cancels the attempt if its queue is full.
    fn deliver(&self, attempt: u64, update: AttemptUpdate) {
        let is_queued = match self.attempts.borrow().get(&attempt) {
            Some(open) => open.updates.try_send(update).is_ok(),
            None => return,
        };
        if !is_queued {
            emit(
                EventId::RingFull,
                format_args!("attempt={attempt} agent={}", self.address),
            );
            self.cancel(attempt);
        }
    }

    /// Queues a part of a response, and cancels its attempt if too many bytes wait for the caller.
    fn deliver_part(&self, part: Part) {
        let held = match self.attempts.borrow().get(&part.attempt) {
            Some(open) => open.budget.hold(part.bytes.len()),
            None => return,
        };
        match held {
            Ok(held) => {
                let part_bytes = HeldPart {
                    bytes: part.bytes,
                    _held: held,
                };
                self.deliver(part.attempt, AttemptUpdate::Part(part_bytes));
            }
            Err(error) => {
                emit(
                    EventId::BufferFull,
                    format_args!(
                        "attempt={} agent={} held_bytes={} {error}",
                        part.attempt,
                        self.address,
                        self.buffered.held_bytes()
                    ),
                );
                self.cancel(part.attempt);
            }
        }
    }

    /// Queues the last update for an attempt and removes the attempt.
    fn deliver_last(&self, attempt: u64, update: AttemptUpdate) {
        self.deliver(attempt, update);
        self.attempts.borrow_mut().remove(&attempt);
    }
}

/// Connects the link, and reconnects it after a backoff whenever the connection ends.
async fn keep_connected(link: Rc<EngineLink>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        if let Ok(stream) = connect(link.address).await {
            let (connection, outbox) = Link::new(stream, LinkSettings::default());
            link.outbox.replace(Some(outbox));
            emit(EventId::LinkUp, format_args!("agent={}", link.address));
            link.notify(LinkNotice::Up(link.address.ip()));
            let receiver = Rc::clone(&link);
            let end = connection
                .run(async move |message: ToEntry| receiver.receive(message))
                .await;
            link.outbox.replace(None);
            link.notify(LinkNotice::Down(link.address.ip()));
            link.set_state(EngineState::default());
            // This closes the queues of all attempts, which aborts the attempts.
            link.attempts.borrow_mut().clear();
            link.origin_queries.borrow_mut().clear();
            link.send_questions.clear();
            link.quota_questions.clear();
            let cause = end
                .err()
                .map_or_else(|| "closed".to_owned(), |error| error.to_string());
            emit(
                EventId::LinkDown,
                format_args!("agent={}: {cause}", link.address),
            );
            backoff = INITIAL_BACKOFF;
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
