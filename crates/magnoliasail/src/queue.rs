//! Bounded queues between the worker threads of a process.
//!
//! Sending never blocks: if a queue is full, the sender gets the item back and can refuse the
//! request and count the refusal.

use {
    crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError},
    std::time::Duration,
};

/// The sending half of a bounded queue to the worker that owns the core.
#[derive(Debug)]
pub(crate) struct QueueSender<T> {
    sender: Sender<T>,
}

impl<T> Clone for QueueSender<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<T> QueueSender<T> {
    /// Adds an item without waiting.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full or every receiver has been dropped.
    pub(crate) fn try_send(&self, item: T) -> Result<(), T> {
        self.sender.try_send(item).map_err(|error| match error {
            TrySendError::Full(item) | TrySendError::Disconnected(item) => item,
        })
    }
}

/// The receiving half of a bounded queue to the worker that owns the core.
#[derive(Debug)]
pub(crate) struct QueueReceiver<T> {
    receiver: Receiver<T>,
}

impl<T> Clone for QueueReceiver<T> {
    fn clone(&self) -> Self {
        Self {
            receiver: self.receiver.clone(),
        }
    }
}

impl<T> QueueReceiver<T> {
    /// Waits for the next item until the timeout elapses, and returns it if there is one.
    ///
    /// The second value is `false` if the queue is empty and every sender has been dropped.
    pub(crate) fn recv_timeout(&self, timeout: Duration) -> (Option<T>, bool) {
        match self.receiver.recv_timeout(timeout) {
            Ok(item) => (Some(item), true),
            Err(RecvTimeoutError::Timeout) => (None, true),
            Err(RecvTimeoutError::Disconnected) => (None, false),
        }
    }

    /// Returns the next item if one is queued, without waiting.
    pub(crate) fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }
}

/// Creates a bounded queue for up to `capacity` items.
pub(crate) fn bounded_queue<T>(capacity: usize) -> (QueueSender<T>, QueueReceiver<T>) {
    let (sender, receiver) = crossbeam_channel::bounded(capacity);
    (QueueSender { sender }, QueueReceiver { receiver })
}
