//! Bounded rings between the duties of a process.
//!
//! A full ring is a refusal that the sender sees and counts, never a wait.

use {
    crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError},
    std::time::Duration,
};

/// The writing end of a ring into a deciding duty.
#[derive(Debug)]
pub(crate) struct RingWriter<T> {
    sender: Sender<T>,
}

impl<T> Clone for RingWriter<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<T> RingWriter<T> {
    /// Adds an item, or gives it back if the ring is full.
    pub(crate) fn push(&self, item: T) -> Result<(), T> {
        self.sender.try_send(item).map_err(|error| match error {
            TrySendError::Full(item) | TrySendError::Disconnected(item) => item,
        })
    }
}

/// The reading end of a ring into a deciding duty.
#[derive(Debug)]
pub(crate) struct RingReader<T> {
    receiver: Receiver<T>,
}

impl<T> Clone for RingReader<T> {
    fn clone(&self) -> Self {
        Self {
            receiver: self.receiver.clone(),
        }
    }
}

impl<T> RingReader<T> {
    /// Takes the next item, or nothing after a timeout; returns false when all writers are gone.
    pub(crate) fn pop(&self, timeout: Duration) -> (Option<T>, bool) {
        match self.receiver.recv_timeout(timeout) {
            Ok(item) => (Some(item), true),
            Err(RecvTimeoutError::Timeout) => (None, true),
            Err(RecvTimeoutError::Disconnected) => (None, false),
        }
    }

    /// Takes the next item if there is one.
    pub(crate) fn try_pop(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }
}

/// Creates a ring of `capacity` items.
pub(crate) fn ring<T>(capacity: usize) -> (RingWriter<T>, RingReader<T>) {
    let (sender, receiver) = crossbeam_channel::bounded(capacity);
    (RingWriter { sender }, RingReader { receiver })
}
