//! Limits on the bytes that a process holds for callers and servers that read or write slowly.
//!
//! A budget may be part of another one: that of a stream or a body is part of the process's. Bytes that are
//! held count towards all of them until their [`HeldBytes`] is dropped.

use {
    super::byte_limit::{ByteLimit, TooLong},
    std::{cell::Cell, ops::Range, rc::Rc},
};

/// Range of the retry delay for callers of requests that do not fit into the budget of a process.
pub(super) const FULL_RETRY_MS: Range<u64> = 500..1_500;

/// A limit on bytes that are held at the same time.
#[derive(Debug)]
pub(super) struct BufferBudget {
    limit: Cell<ByteLimit>,
    whole: Option<Rc<Self>>,
}

impl BufferBudget {
    /// Creates the budget of a process.
    pub(super) fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(ByteLimit::new(max_bytes)),
            whole: None,
        })
    }

    /// Creates the budget of a stream or a body, as a part of this one.
    pub(super) fn part(self: &Rc<Self>, max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(ByteLimit::new(max_bytes)),
            whole: Some(Rc::clone(self)),
        })
    }

    /// Returns the bytes that are held.
    pub(super) fn held_bytes(&self) -> usize {
        self.limit.get().read_bytes()
    }

    /// Holds bytes until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error, and holds nothing, if that exceeds this budget or one that it is part of.
    pub(super) fn hold(self: &Rc<Self>, bytes: usize) -> Result<HeldBytes, TooLong> {
        let mut held = self.hold_nothing();
        held.add(bytes)?;
        Ok(held)
    }

    /// Returns what holds no bytes yet.
    pub(super) fn hold_nothing(self: &Rc<Self>) -> HeldBytes {
        HeldBytes {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }

    fn add(&self, bytes: usize) -> Result<(), TooLong> {
        let mut limit = self.limit.get();
        limit.add(bytes)?;
        if let Some(whole) = &self.whole {
            whole.add(bytes)?;
        }
        self.limit.set(limit);
        Ok(())
    }

    fn remove(&self, bytes: usize) {
        let mut limit = self.limit.get();
        limit.remove(bytes);
        self.limit.set(limit);
        if let Some(whole) = &self.whole {
            whole.remove(bytes);
        }
    }
}

/// Bytes that are held and count towards a budget.
#[derive(Debug)]
pub(super) struct HeldBytes {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Holds further bytes.
    ///
    /// # Errors
    ///
    /// Returns an error, and holds no more than before, if that exceeds the budget.
    pub(super) fn add(&mut self, bytes: usize) -> Result<(), TooLong> {
        self.budget.add(bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.remove(self.bytes);
    }
}
