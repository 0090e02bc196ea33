//! Questions to an agent that it has not answered.

use {
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
    },
    tokio::sync::oneshot,
};

/// The questions of one kind on a link that wait for their answers, by their numbers.
pub(super) struct Questions<A> {
    next_number: Cell<u64>,
    senders: RefCell<HashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for Questions<A> {
    fn default() -> Self {
        Self {
            next_number: Cell::new(1),
            senders: RefCell::default(),
        }
    }
}

impl<A> Questions<A> {
    /// Returns the number of a new question, and the receiver of its answer.
    pub(super) fn open(&self) -> (u64, oneshot::Receiver<A>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        let mut senders = self.senders.borrow_mut();
        // Agents of an older release do not answer.
        senders.retain(|_, sender| !sender.is_closed());
        senders.insert(number, sender);
        (number, receiver)
    }

    /// Delivers the answer to the question with this number.
    pub(super) fn answer(&self, number: u64, answer: A) {
        if let Some(sender) = self.senders.borrow_mut().remove(&number) {
            // Nobody waits for an answer that comes too late.
            let _ = sender.send(answer);
        }
    }

    /// Drops all questions; their receivers get no answer.
    pub(super) fn clear(&self) {
        self.senders.borrow_mut().clear();
    }
}
