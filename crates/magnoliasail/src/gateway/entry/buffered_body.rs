//! A body that is read completely: a response before the caller gets it, or a caller's request.

use {
    crate::gateway::{
        buffer_budget::{BufferBudget, HeldBytes},
        byte_limit::TooLong,
    },
    bytes::{Bytes, BytesMut},
    std::rc::Rc,
};

/// A body that is being read. Its bytes count towards the budget of the process until it is dropped.
pub(super) struct BufferedBody {
    bytes: BytesMut,
    held: HeldBytes,
}

impl BufferedBody {
    /// Creates an empty body of at most `max_bytes`.
    pub(super) fn new(process: &Rc<BufferBudget>, max_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            held: process.part(max_bytes).hold_nothing(),
        }
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body, or all bodies together, become too long.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(), TooLong> {
        self.held.add(part.len())?;
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the complete body, with what counts towards the budget while it is kept.
    pub(super) fn finish(self) -> (Bytes, HeldBytes) {
        (self.bytes.freeze(), self.held)
    }
}
